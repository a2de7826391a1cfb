"""Stored record of a change."""

from __future__ import annotations

import msgspec

__all__ = ["CHANGE_PREFIX", "ChangeRecord"]

CHANGE_PREFIX = "changes/"
"""Start of the keys of all change records."""


class ChangeRecord(msgspec.Struct, frozen=True):
    """Stored record of a change; written before the object, so that it can also have lost."""

    operation_id: str
    """The operation."""

    kind: str
    """A value of `DeclarationKind`."""

    name: str
    """Name of the declared object."""

    who: str
    """Name of the operator."""

    why: str
    """Reason in the operator's words."""

    when_unix: float
    """Wall-clock time of the record in seconds."""

    base_version: int
    """Version of the object that the change was based on."""

    before: str
    """JSON before the change, empty if there was none."""

    after: str
    """JSON after the change, empty for a deletion."""

    previous: str
    """Operation id of the change before, empty for the first one."""

    changed: bool = True
    """Whether the object was written; an equal declaration is only recorded."""

    version: int = 0
    """Version of the object after the change; known from the next change, not stored."""

    @staticmethod
    def key(operation_id: str) -> str:
        """Builds the object key of a record.

        Args:
            operation_id: The operation.

        Returns:
            The object key.
        """
        return f"{CHANGE_PREFIX}{operation_id}"

    def matches(self, kind: str, name: str, after: str, base_version: int) -> bool:
        """Whether the record belongs to a change with this content.

        Args:
            kind: A value of `DeclarationKind`.
            name: Name of the declared object.
            after: JSON after the change.
            base_version: Version that the change is based on.

        Returns:
            Whether object, content and base are the same.
        """
        mine = (self.kind, self.name, self.after, self.base_version)
        return mine == (kind, name, after, base_version)
