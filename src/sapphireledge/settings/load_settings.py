"""Loading and validation of a settings file."""

from __future__ import annotations

import difflib
from dataclasses import fields, is_dataclass
from pathlib import Path
from typing import Any, get_type_hints

import json5
import msgspec
from pydantic import TypeAdapter, ValidationError

from sapphireledge.settings.settings import Settings
from sapphireledge.settings.settings_problem import SettingsProblem

__all__ = ["load_settings"]

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
    file = str(path)
    try:
        data = json5.loads(path.read_text(encoding="utf-8"))
    except OSError as exc:
        return (SettingsProblem(file, "", f"cannot be read: {exc.strerror}"),)
    except (ValueError, UnicodeDecodeError) as exc:
        return (SettingsProblem(file, "", f"is not JSON with comments: {exc}"),)
    try:
        return TypeAdapter(Settings).validate_python(data)
    except ValidationError as exc:
        return tuple(_to_problem(file, error) for error in exc.errors())


def _to_problem(file: str, error: Any) -> SettingsProblem:
    """Converts a validation error of pydantic to a problem."""
    location = tuple(str(part) for part in error["loc"])
    field = ".".join(location)
    if error["type"] in ("unexpected_keyword_argument", "extra_forbidden"):
        return SettingsProblem(file, field, _unknown_field_message(location))
    if error["type"] in ("missing", "missing_argument"):
        return SettingsProblem(file, field, "is required")
    unit = _unit_of(location)
    message = error["msg"] + (f" {unit}" if unit else "")
    value = "" if location[-1:] and location[-1] in SECRET_FIELDS else _format_value(error["input"])
    return SettingsProblem(file, field, message, value)


def _format_value(value: Any) -> str:
    """Formats an invalid value as JSON, truncated to MAX_VALUE_CHARACTERS."""
    text = msgspec.json.encode(value, enc_hook=str).decode()
    return text if len(text) <= MAX_VALUE_CHARACTERS else text[: MAX_VALUE_CHARACTERS - 1] + "…"


def _section_of(location: tuple[str, ...]) -> Any:
    """Finds the settings class that contains the last field of a path, None if there is none."""
    section: Any = Settings
    for part in location[:-1]:
        section = get_type_hints(section).get(part) if is_dataclass(section) else None
    return section if is_dataclass(section) else None


def _unknown_field_message(location: tuple[str, ...]) -> str:
    """Builds the message for an unknown field, with the most similar known field if any."""
    section = _section_of(location)
    names = [field.name for field in fields(section)] if section else []
    close_matches = difflib.get_close_matches(location[-1], names, n=1)
    return "is unknown" + (f"; did you mean {close_matches[0]}?" if close_matches else "")


def _unit_of(location: tuple[str, ...]) -> str:
    """Returns the unit of a field, empty if it has none or is unknown."""
    section = _section_of(location)
    if section is None or not location:
        return ""
    info = section.__pydantic_fields__.get(location[-1])
    extra = info.json_schema_extra if info else None
    return str(extra.get("unit", "")) if isinstance(extra, dict) else ""
