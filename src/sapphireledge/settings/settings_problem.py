"""One problem found in a settings file."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["SettingsProblem"]


@dataclass(frozen=True, slots=True)
class SettingsProblem:
    """One problem found in a settings file."""

    file: str
    """Path of the file as it was given."""

    field: str
    """Dotted path of the field, empty for the file as a whole."""

    message: str
    """What is wrong, with the bounds and the unit."""

    value: str = ""
    """The offending value as JSON, shortened."""

    def __str__(self) -> str:
        shown = f" (value {self.value})" if self.value else ""
        return f"{self.file}: {self.field or 'file'}: {self.message}{shown}"
