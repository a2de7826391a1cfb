"""Loading and validation of a settings file."""

from __future__ import annotations

import difflib
from dataclasses import fields, is_dataclass
from pathlib import Path
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

import json5
import msgspec
from pydantic import TypeAdapter, ValidationError

from sapphireledge.settings.settings import Settings
from sapphireledge.settings.settings_problem import SettingsProblem

__all__ = ["load_checked_file", "load_settings"]

File = TypeVar("File")

SECRET_FIELDS = frozenset({"fleet_secret", "operator_secret"})
"""Fields whose values are never included in a problem."""

MAX_VALUE_CHARACTERS = 80
"""Maximum length of a value shown in a problem."""


def load_settings(path: Path) -> Settings | tuple[SettingsProblem, ...]:
    """Reads and validates a settings file.

    Args:
        path: JSON file, which may contain comments.

    Returns:
        The settings, or all problems found in the file.
    """
    return load_checked_file(path, Settings)


def load_checked_file(path: Path, kind: type[File]) -> File | tuple[SettingsProblem, ...]:
    """Reads and validates a file of JSON with comments.

    Args:
        path: The file.
        kind: Data class that describes the contents, see `setting`.

    Returns:
        The contents, or all problems found in the file.
    """
    file = str(path)
    try:
        data = json5.loads(path.read_text(encoding="utf-8"))
    except OSError as exc:
        return (SettingsProblem(file, "", f"cannot be read: {exc.strerror}"),)
    except (ValueError, UnicodeDecodeError) as exc:
        return (SettingsProblem(file, "", f"is not JSON with comments: {exc}"),)
    try:
        return TypeAdapter(kind).validate_python(data)
    except ValidationError as exc:
        return tuple(_to_problem(file, kind, error) for error in exc.errors())


def _to_problem(file: str, kind: type, error: Any) -> SettingsProblem:
    """Converts a validation error of pydantic to a problem."""
    location = tuple(str(part) for part in error["loc"])
    field = ".".join(location)
    if error["type"] in ("unexpected_keyword_argument", "extra_forbidden"):
        return SettingsProblem(file, field, _unknown_field_message(kind, location))
    if error["type"] in ("missing", "missing_argument"):
        return SettingsProblem(file, field, "is required")
    unit = _unit_of(kind, location)
    message = error["msg"] + (f" {unit}" if unit else "")
    value = "" if location[-1:] and location[-1] in SECRET_FIELDS else _format_value(error["input"])
    return SettingsProblem(file, field, message, value)


def _format_value(value: Any) -> str:
    """Formats an invalid value as JSON, truncated to MAX_VALUE_CHARACTERS."""
    text = msgspec.json.encode(value, enc_hook=str).decode()
    return text if len(text) <= MAX_VALUE_CHARACTERS else text[: MAX_VALUE_CHARACTERS - 1] + "…"


def _section_of(kind: type, location: tuple[str, ...]) -> Any:
    """Finds the data class that contains the last field of a path, None if there is none."""
    section: Any = kind
    for part in location[:-1]:
        if get_origin(section) is tuple:
            section = get_args(section)[0]
        else:
            section = get_type_hints(section).get(part) if is_dataclass(section) else None
    return section if is_dataclass(section) else None


def _unknown_field_message(kind: type, location: tuple[str, ...]) -> str:
    """Builds the message for an unknown field, with the most similar known field if any."""
    section = _section_of(kind, location)
    names = [field.name for field in fields(section)] if section else []
    close_matches = difflib.get_close_matches(location[-1], names, n=1)
    return "is unknown" + (f"; did you mean {close_matches[0]}?" if close_matches else "")


def _unit_of(kind: type, location: tuple[str, ...]) -> str:
    """Returns the unit of a field, empty if it has none or is unknown."""
    section = _section_of(kind, location)
    if section is None or not location:
        return ""
    info = getattr(section, "__pydantic_fields__", {}).get(location[-1])
    extra = info.json_schema_extra if info else None
    return str(extra.get("unit", "")) if isinstance(extra, dict) else ""
