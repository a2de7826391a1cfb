"""One problem found in a settings file."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["SettingsProblem"]


@dataclass(frozen=True, slots=True)
class SettingsProblem:
    """One problem found in a settings file."""

    file: str
    """Path of the file as passed to `load_settings`."""

    field: str
    """Dotted path of the field, empty for a problem of the entire file."""

    message: str
    """Description of the problem with bounds and unit."""

    value: str = ""
    """Invalid value as truncated JSON, empty if there is none or it is secret."""

    def __str__(self) -> str:
        shown = f" (value {self.value})" if self.value else ""
        return f"{self.file}: {self.field or 'file'}: {self.message}{shown}"
