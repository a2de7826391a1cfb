"""Object store of the platform stand-in, with a bounded history of writes."""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections import deque

import msgspec

__all__ = ["ObjectPage", "ObjectRow", "ObjectTable", "WriteResult"]


class ObjectRow(msgspec.Struct, frozen=True):
    """One object at one version."""

    key: str
    """Object key."""

    value: bytes
    """Object value, base64-encoded in JSON."""

    version: int
    """Store version at which the object was written."""

    deleted: bool = False
    """Whether this write is a deletion."""


class WriteResult(msgspec.Struct, frozen=True):
    """Result of a conditional write."""

    written: bool
    """Whether the write took effect."""

    version: int
    """New version if written; otherwise the current version, 0 if the object does not exist."""


class ObjectPage(msgspec.Struct, frozen=True):
    """Result of a listing or a watch."""

    objects: list[ObjectRow]
    """Objects sorted by key, or writes sorted by version."""

    version: int
    """Store version that the result reflects."""

    next_after: str = ""
    """Key after which the next page starts, empty on the last page."""


class ObjectTable:
    """Objects with one shared version counter and a history of the latest writes."""

    def __init__(self, history_writes: int, history_bytes: int):
        self.version = 0
        self._rows: dict[str, ObjectRow] = {}
        self._keys: list[str] = []
        self._history: deque[ObjectRow] = deque()
        self._max_history_writes = history_writes
        self._max_history_bytes = history_bytes
        self._used_history_bytes = 0
        self._dropped_version = 0

    def get(self, key: str) -> ObjectRow | None:
        """Reads one object.

        Args:
            key: Key of the object.

        Returns:
            The object, None if it does not exist.
        """
        return self._rows.get(key)

    def put(self, key: str, value: bytes, expect_version: int) -> WriteResult:
        """Writes an object if it has the expected version.

        Args:
            key: Key of the object.
            value: New value.
            expect_version: Version that the object must have, 0 if it must not exist.

        Returns:
            Whether the object was written, and its version.
        """
        current = self._current_version(key)
        if current != expect_version:
            return WriteResult(False, current)
        if current == 0:
            insort(self._keys, key)
        self.version += 1
        row = ObjectRow(key, value, self.version)
        self._rows[key] = row
        self._record(row)
        return WriteResult(True, self.version)

    def delete(self, key: str, expect_version: int) -> WriteResult:
        """Deletes an object if it has the expected version.

        Args:
            key: Key of the object.
            expect_version: Version that the object must have.

        Returns:
            Whether the object was deleted, and the version of the deletion.
        """
        current = self._current_version(key)
        if current != expect_version or current == 0:
            return WriteResult(False, current)
        self.version += 1
        del self._rows[key]
        del self._keys[bisect_left(self._keys, key)]
        self._record(ObjectRow(key, b"", self.version, True))
        return WriteResult(True, self.version)

    def list(self, prefix: str, after: str, limit: int) -> ObjectPage:
        """Lists objects sorted by key.

        Args:
            prefix: Prefix of the keys.
            after: Key after which the page starts.
            limit: Maximum number of objects in the page.

        Returns:
            One page of objects.
        """
        found: list[ObjectRow] = []
        if after >= prefix and after:
            index = bisect_right(self._keys, after)
        else:
            index = bisect_left(self._keys, prefix)
        while index < len(self._keys) and self._keys[index].startswith(prefix):
            if len(found) == limit:
                return ObjectPage(found, self.version, found[-1].key)
            found.append(self._rows[self._keys[index]])
            index += 1
        return ObjectPage(found, self.version)

    def since(self, prefix: str, from_version: int) -> ObjectPage | None:
        """Returns the writes to keys with a prefix after a version.

        Args:
            prefix: Prefix of the keys.
            from_version: Version after which writes are returned.

        Returns:
            The writes, None if the version is older than the history or newer than the store.
        """
        if from_version < self._dropped_version or from_version > self.version:
            return None
        found: list[ObjectRow] = []
        for row in reversed(self._history):
            if row.version <= from_version:
                break
            if row.key.startswith(prefix):
                found.append(row)
        return ObjectPage(found[::-1], self.version)

    def _current_version(self, key: str) -> int:
        """Returns the version of an object, 0 if it does not exist."""
        row = self._rows.get(key)
        return row.version if row else 0

    def _record(self, row: ObjectRow) -> None:
        """Appends a write to the history and drops the oldest ones beyond its limits."""
        self._history.append(row)
        self._used_history_bytes += len(row.value)
        while self._history and (
            len(self._history) > self._max_history_writes
            or self._used_history_bytes > self._max_history_bytes
        ):
            oldest = self._history.popleft()
            self._used_history_bytes -= len(oldest.value)
            self._dropped_version = oldest.version
