"""Declarations in files under version control."""

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
    """The file."""

    kind: str
    """rank, workspace, deployment or service."""

    name: str
    """Name of the object."""

    spec: str
    """Content as JSON."""


def read_declarations(paths: list[Path]) -> list[DeclarationFile]:
    """Reads declarations from files and directories.

    A file holds one object or a list of objects of the form {"kind": ..., "spec": {...}}, comments
    allowed; directories are searched for *.json.

    Args:
        paths: Files and directories.

    Returns:
        The declarations in the order of paths and file names.

    Raises:
        ValueError: A file is malformed; the message names it and the field.
    """
    found: list[DeclarationFile] = []
    for path in paths:
        files = sorted(path.rglob("*.json")) if path.is_dir() else [path]
        for file in files:
            found.extend(_read_file(file))
    return found


def _read_file(path: Path) -> list[DeclarationFile]:
    """Reads one file."""
    try:
        content = json5.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as exc:
        raise ValueError(f"{path}: {exc}") from exc
    items = content if isinstance(content, list) else [content]
    return [_parse_declaration(path, index, item) for index, item in enumerate(items)]


def _parse_declaration(path: Path, index: int, item: object) -> DeclarationFile:
    """Checks the outer form of one declaration."""
    location = f"{path}: declaration {index + 1}"
    if not isinstance(item, dict) or set(item) != {"kind", "spec"}:
        raise ValueError(f"{location}: must have exactly the fields kind and spec")
    spec = item["spec"]
    if not isinstance(spec, dict) or not isinstance(spec.get("name"), str):
        raise ValueError(f"{location}: spec.name: must be a string")
    text = msgspec.json.encode(spec, order="sorted").decode()
    return DeclarationFile(path, str(item["kind"]), spec["name"], text)
