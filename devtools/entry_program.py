"""Command of the entry program, as the deploy file starts it."""

from __future__ import annotations

import os
import subprocess
import sys
import tomllib
from pathlib import Path

__all__ = ["ROOT", "build_launcher", "read_run_command"]

ROOT = Path(__file__).resolve().parent.parent

BUILT_FOLDER = "target/bin/"
"""Folder of the launcher in the deploy file."""


def build_launcher(folder: Path) -> None:
    """Builds the launcher for the interpreter that runs this code.

    Args:
        folder: Receives the launcher.
    """
    path = f"{Path(sys.executable).parent}{os.pathsep}{os.environ['PATH']}"
    command = ["sh", str(ROOT / "deploy" / "build.sh"), "launcher", str(folder)]
    subprocess.run(command, env={**os.environ, "PATH": path}, check=True)


def read_run_command(folder: Path) -> list[str]:
    """Reads the program and the arguments of the role `entry`.

    Args:
        folder: Folder of the launcher.

    Returns:
        The words of the command, which starts in the repository.
    """
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    program, *arguments = deploy["roles"]["entry"]["run"].split()
    if program.startswith(BUILT_FOLDER):
        program = str(folder / program.removeprefix(BUILT_FOLDER))
    return [program, *arguments]
