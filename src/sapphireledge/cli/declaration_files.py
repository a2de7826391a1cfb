"""Reads declarations from files, which operators keep under version control."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import json5
import msgspec

__all__ = ["DeclarationFile", "read_declarations"]


@dataclass(frozen=True, slots=True)
class DeclarationFile:
    """One declaration read from a file."""

    path: Path
    """File that contains the declaration."""

    kind: str
    """Kind of the object: rank, workspace, deployment or service."""

    name: str
    """Name of the object."""

    spec: str
    """Content as JSON with sorted keys."""


def read_declarations(paths: list[Path]) -> list[DeclarationFile]:
    """Reads declarations from files and directories.

    A file contains one object or a list of objects of the form {"kind": ..., "spec": {...}};
    comments are allowed. Directories are searched recursively for *.json.

    Args:
        paths: Files and directories.

    Returns:
        The declarations in the order of the paths, within a directory sorted by file.

    Raises:
        ValueError: A file is unreadable or malformed; the message names the file and the fault.
    """
    found: list[DeclarationFile] = []
    for path in paths:
        files = sorted(path.rglob("*.json")) if path.is_dir() else [path]
        for file in files:
            found.extend(_read_file(file))
    return found


def _read_file(path: Path) -> list[DeclarationFile]:
    """Reads the declarations of one file."""
    try:
        content = json5.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as exc:
        raise ValueError(f"{path}: {exc}") from exc
    items = content if isinstance(content, list) else [content]
    return [_parse_declaration(path, index, item) for index, item in enumerate(items)]


def _parse_declaration(path: Path, index: int, item: object) -> DeclarationFile:
    """Checks the kind, spec and name fields; the server validates the content of the spec."""
    location = f"{path}: declaration {index + 1}"
    if not isinstance(item, dict) or set(item) != {"kind", "spec"}:
        raise ValueError(f"{location}: must have exactly the fields kind and spec")
    spec = item["spec"]
    if not isinstance(spec, dict) or not isinstance(spec.get("name"), str):
        raise ValueError(f"{location}: spec.name: must be a string")
    text = msgspec.json.encode(spec, order="sorted").decode()
    return DeclarationFile(path, str(item["kind"]), spec["name"], text)
