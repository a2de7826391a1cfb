"""Helper that declares a settings field with its bounds and unit."""

from __future__ import annotations

from typing import Any

from pydantic import Field

__all__ = ["setting"]


def setting(
    default: Any,
    *,
    unit: str = "",
    ge: float | None = None,
    le: float | None = None,
    min_length: int | None = None,
) -> Any:
    """Declares a settings field.

    Args:
        default: Value if the file does not contain the field; `...` makes it required.
        unit: Unit of the value, shown by `settings show` and in error messages.
        ge: Minimum value.
        le: Maximum value.
        min_length: Minimum length of a string or list.

    Returns:
        The pydantic field.
    """
    bounds: dict[str, Any] = {"ge": ge, "le": le, "min_length": min_length}
    given = {name: value for name, value in bounds.items() if value is not None}
    return Field(default=default, json_schema_extra={"unit": unit}, **given)
