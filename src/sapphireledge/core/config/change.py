"""A change that an operator asks for."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ApplyResult", "Author", "Change", "DiffEntry"]


@dataclass(frozen=True, slots=True)
class Author:
    """Who makes a change, and why."""

    who: str
    """Name of the operator."""

    why: str
    """Reason in the operator's words."""


@dataclass(frozen=True, slots=True)
class Change:
    """A change that an operator asks for."""

    operation_id: str
    """UUID chosen by the operator; a repeated change has the same outcome."""

    kind: str
    """A value of `DeclarationKind`."""

    name: str
    """Name of the declared object."""

    spec: str
    """The declaration as JSON, empty for a deletion."""

    base_version: int
    """Version that the change is based on, 0 for an object that never existed."""

    deleted: bool = False
    """Whether the object is deleted."""


@dataclass(frozen=True, slots=True)
class ApplyResult:
    """An accepted change."""

    operation_id: str
    """The operation."""

    version: int
    """Version of the object after the change."""

    changed: bool
    """Whether the declared object differs from the one before."""


@dataclass(frozen=True, slots=True)
class DiffEntry:
    """One declaration that differs from the one in force."""

    kind: str
    """A value of `DeclarationKind`."""

    name: str
    """Name of the declared object."""

    before: str
    """JSON in force, empty if there is none."""

    after: str
    """JSON that was compared, empty for a deletion."""

    version: int
    """Version in force, 0 if the object never existed."""
