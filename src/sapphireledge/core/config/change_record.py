"""Stored record of a change."""

from __future__ import annotations

import msgspec

__all__ = ["CHANGE_PREFIX", "ChangeRecord"]

CHANGE_PREFIX = "changes/"
"""Key prefix of all change records."""


class ChangeRecord(msgspec.Struct, frozen=True):
    """Stored record of a change.

    It is written before the object, so a record may belong to a change that was not accepted.
    """

    operation_id: str
    """Operation id of the change."""

    kind: str
    """A value of `DeclarationKind`."""

    name: str
    """Name of the declared object."""

    who: str
    """Name of the operator."""

    why: str
    """Reason in the operator's words."""

    when_unix: float
    """Time of the record in Unix seconds."""

    base_version: int
    """Object version that the change was based on."""

    before: str
    """JSON before the change, empty if there was none."""

    after: str
    """JSON after the change, empty for a deletion."""

    previous: str
    """Operation id of the preceding change, empty for the first one."""

    changed: bool = True
    """Whether the object has to be written; an equivalent declaration is only recorded."""

    version: int = 0
    """Object version after the change; filled in when a history is read, always 0 in the store."""

    @staticmethod
    def key(operation_id: str) -> str:
        """Builds the object key of a record.

        Args:
            operation_id: Operation id of the change.

        Returns:
            The object key.
        """
        return f"{CHANGE_PREFIX}{operation_id}"

    def matches(self, kind: str, name: str, after: str, base_version: int) -> bool:
        """Whether the record describes a change with this content.

        Args:
            kind: A value of `DeclarationKind`.
            name: Name of the declared object.
            after: JSON after the change.
            base_version: Version that the change is based on.

        Returns:
            True if object, content and base version are equal.
        """
        own_content = (self.kind, self.name, self.after, self.base_version)
        return own_content == (kind, name, after, base_version)
