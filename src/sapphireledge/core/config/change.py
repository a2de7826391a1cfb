"""Changes requested by operators, and their results."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ApplyResult", "Author", "Change", "DiffEntry"]


@dataclass(frozen=True, slots=True)
class Author:
    """Author of a change, with the reason for it."""

    who: str
    """Name of the operator."""

    why: str
    """Reason in the operator's words."""


@dataclass(frozen=True, slots=True)
class Change:
    """A change requested by an operator."""

    operation_id: str
    """UUID chosen by the operator; makes a repeated change idempotent."""

    kind: str
    """A value of `DeclarationKind`."""

    name: str
    """Name of the declared object."""

    spec: str
    """The declaration as JSON, empty for a deletion."""

    base_version: int
    """Object version that the change is based on, 0 for an object that never existed."""

    deleted: bool = False
    """Whether the change deletes the object."""


@dataclass(frozen=True, slots=True)
class ApplyResult:
    """Result of an accepted change."""

    operation_id: str
    """Operation id of the change."""

    version: int
    """Version of the object after the change."""

    changed: bool
    """Whether the new declaration differs from the previous one."""


@dataclass(frozen=True, slots=True)
class DiffEntry:
    """A declaration that differs from the stored one."""

    kind: str
    """A value of `DeclarationKind`."""

    name: str
    """Name of the declared object."""

    before: str
    """Stored JSON, empty if there is none."""

    after: str
    """Compared JSON, empty for a deletion."""

    version: int
    """Stored version, 0 if the object never existed."""
