"""Application of operators' changes through the object API."""

from __future__ import annotations

import re
import sys
import time
from typing import TYPE_CHECKING

import msgspec
from uuid6 import UUID

from sapphireledge.core.config.change import ApplyResult, Change, DiffEntry
from sapphireledge.core.config.change_record import ChangeRecord
from sapphireledge.core.config.stored_declaration import (
    CONFIG_PREFIX,
    StoredDeclaration,
    config_key,
)
from sapphireledge.core.declarations import DeclarationKind, parse_declaration
from sapphireledge.errors import ConflictFailure, ErrorKind, Failure, Ran
from sapphireledge.objects import WriteStatus, settle_write

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from sapphireledge.core.config.change import Author
    from sapphireledge.objects import ObjectStore, StoredObject, WriteResult
    from sapphireledge.settings import PlatformSettings

__all__ = ["ChangeApplier"]

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
"""Accepted object names; restricted because they are part of the object key."""

SETTLE_TIMEOUT_FACTOR = 3
"""Time limit for resolving a write, as a multiple of the timeout of one call."""

PAGE_SIZE = 500
"""Objects per page of a listing."""

MAX_HISTORY = 1_000
"""Maximum number of changes in a history."""


class ChangeApplier:
    """Applies changes: writes the change record, then the object, conditional on its base version.

    A change is accepted once the object is written. Each object refers to the change that wrote it
    and each change to the preceding one, so it can always be determined whether a change was
    accepted.
    """

    def __init__(
        self,
        store: ObjectStore,
        cfg: PlatformSettings,
        clock_unix: Callable[[], float] = time.time,
    ):
        self._store = store
        self._cfg = cfg
        self._clock_unix = clock_unix

    async def apply(self, change: Change, author: Author) -> ApplyResult | Failure:
        """Applies a change; idempotent for the same operation id.

        Args:
            change: The change.
            author: Author of the change.

        Returns:
            The result of the accepted change, or a failure: a `ConflictFailure` if the object is at
            another version; with `Ran.UNKNOWN` if the outcome could not be determined.
        """
        after = _validate(change)
        if isinstance(after, Failure):
            return after
        record = await self._read_record(change.operation_id)
        if isinstance(record, Failure):
            return record
        # Read the object after the record, so that it is not older than the record's base version.
        stored = await self._store.get(config_key(change.kind, change.name))
        if isinstance(stored, Failure):
            return stored
        if record is None:
            record = await self._write_record(change, after, author, stored)
        if isinstance(record, Failure):
            return record
        if not record.matches(change.kind, change.name, after, change.base_version):
            reason = f"operation_id: {change.operation_id} was already used for another change"
            return Failure(ErrorKind.INVALID_REQUEST, reason)
        if not record.changed:
            return ApplyResult(record.operation_id, record.base_version, False)
        return await self._write_object(record, stored)

    async def reapply(
        self, record_id: str, operation_id: str, base_version: int, author: Author
    ) -> ApplyResult | Failure:
        """Applies the content of an earlier change as a new change.

        Args:
            record_id: Operation id of the earlier change.
            operation_id: Operation id of the new change.
            base_version: Version that the new change is based on.
            author: Author of the new change.

        Returns:
            As for `apply`; a failure of kind not_found if the earlier change does not exist.
        """
        record = await self._read_record(record_id)
        if isinstance(record, Failure):
            return record
        if record is None:
            return Failure(ErrorKind.NOT_FOUND, f"record_id: change {record_id} does not exist")
        change = Change(
            operation_id,
            record.kind,
            record.name,
            record.after,
            base_version,
            deleted=not record.after,
        )
        return await self.apply(change, author)

    async def history(self, kind: str, name: str, limit: int) -> tuple[ChangeRecord, ...] | Failure:
        """Lists the accepted changes of an object.

        Args:
            kind: A value of `DeclarationKind`.
            name: Name of the declared object.
            limit: Maximum number of changes.

        Returns:
            Changes, newest first, each with the object version that it produced. The list ends with
            the first change, or where an object version was not written by a recorded change.
        """
        stored = await self._store.get(config_key(kind, name))
        if isinstance(stored, Failure):
            return stored
        if stored is None:
            return Failure(ErrorKind.NOT_FOUND, f"{kind}/{name} does not exist")
        return await self._walk_history(stored, min(limit, MAX_HISTORY), 0)

    async def diff(self, changes: Iterable[Change]) -> tuple[DiffEntry, ...] | Failure:
        """Compares declarations with the stored ones without changing anything.

        Args:
            changes: The declarations; operation ids and base versions are ignored.

        Returns:
            The differences, or the first failure.
        """
        wanted = list(changes)
        stored: dict[str, StoredObject] = {}
        for kind in sorted({change.kind for change in wanted}):
            listed = await self._list(f"{CONFIG_PREFIX}{kind}/")
            if isinstance(listed, Failure):
                return listed
            stored.update(listed)
        found: list[DiffEntry] = []
        for change in wanted:
            entry = _diff(change, stored.get(config_key(change.kind, change.name)))
            if isinstance(entry, Failure):
                return entry
            if entry is not None:
                found.append(entry)
        return tuple(found)

    async def _write_record(
        self, change: Change, after: str, author: Author, stored: StoredObject | None
    ) -> ChangeRecord | Failure:
        """Writes the change record; if another entry wrote one first, returns that one."""
        current = stored.version if stored is not None else 0
        if current != change.base_version:
            return _conflict_failure(change.kind, change.name, change.base_version, current)
        record = _build_record(change, after, author, stored, self._clock_unix())
        key = ChangeRecord.key(change.operation_id)
        value = msgspec.json.encode(record)
        # The value serves as its own nonce: an equal record from another entry is equivalent.
        result = await self._conditional_put(key, value, value.decode(), 0)
        if result.status is WriteStatus.WRITTEN:
            return record
        if result.status is WriteStatus.CONFLICT:
            earlier = await self._read_record(change.operation_id)
            if earlier is not None:
                return earlier
        sent = result.status is not WriteStatus.UNAVAILABLE
        return _unavailable_failure(change.operation_id, Ran.UNKNOWN if sent else Ran.NO)

    async def _write_object(
        self, record: ChangeRecord, stored: StoredObject | None
    ) -> ApplyResult | Failure:
        """Writes the object of a recorded change, or determines the outcome of the change."""
        current = stored.version if stored is not None else 0
        if current != record.base_version:
            return await self._find_outcome(record)
        value = StoredDeclaration(record.operation_id, record.after, not record.after)
        result = await self._conditional_put(
            config_key(record.kind, record.name),
            value.encode(),
            value.nonce(),
            record.base_version,
        )
        if result.status is WriteStatus.WRITTEN:
            return ApplyResult(record.operation_id, result.version, True)
        if result.status is WriteStatus.CONFLICT:
            return await self._find_outcome(record)
        return _unavailable_failure(record.operation_id, Ran.UNKNOWN)

    async def _find_outcome(self, record: ChangeRecord) -> ApplyResult | Failure:
        """Searches the changes accepted after the base version for a recorded change."""
        stored = await self._store.get(config_key(record.kind, record.name))
        if isinstance(stored, Failure):
            return _unavailable_failure(record.operation_id, Ran.UNKNOWN)
        if stored is None:
            return _conflict_failure(record.kind, record.name, record.base_version, 0)
        accepted = await self._walk_history(stored, sys.maxsize, record.base_version)
        if isinstance(accepted, Failure):
            return _unavailable_failure(record.operation_id, Ran.UNKNOWN)
        if not accepted or accepted[-1].base_version > record.base_version:
            reason = f"{record.kind}/{record.name}: the change history is incomplete"
            return Failure(ErrorKind.INTERNAL, reason, Ran.UNKNOWN)
        for found in accepted:
            if found.operation_id == record.operation_id:
                return ApplyResult(found.operation_id, found.version, True)
        return _conflict_failure(record.kind, record.name, record.base_version, stored.version)

    async def _walk_history(
        self, stored: StoredObject, limit: int, until_version: int
    ) -> tuple[ChangeRecord, ...] | Failure:
        """Lists the changes of an object after a version, newest first."""
        found: list[ChangeRecord] = []
        declaration = StoredDeclaration.decode(stored.value)
        operation_id = declaration.change if declaration is not None else ""
        version = stored.version
        while operation_id and len(found) < limit and version > until_version:
            record = await self._read_record(operation_id)
            if isinstance(record, Failure):
                return record
            if record is None:
                break
            found.append(msgspec.structs.replace(record, version=version))
            operation_id, version = record.previous, record.base_version
        return tuple(found)

    async def _read_record(self, operation_id: str) -> ChangeRecord | Failure | None:
        """Reads a change record."""
        stored = await self._store.get(ChangeRecord.key(operation_id))
        if stored is None or isinstance(stored, Failure):
            return stored
        try:
            return msgspec.json.decode(stored.value, type=ChangeRecord)
        except (msgspec.DecodeError, RecursionError):
            return Failure(ErrorKind.INTERNAL, f"the record of change {operation_id} is invalid")

    async def _list(self, prefix: str) -> dict[str, StoredObject] | Failure:
        """Lists all objects with a key prefix."""
        found: dict[str, StoredObject] = {}
        after = ""
        while True:
            page = await self._store.list(prefix, after, PAGE_SIZE)
            if isinstance(page, Failure):
                return page
            found.update((stored.key, stored) for stored in page.objects)
            after = page.next_after
            if not after:
                return found

    async def _conditional_put(
        self, key: str, value: bytes, nonce: str, expect_version: int
    ) -> WriteResult:
        """Writes one object conditionally and resolves the outcome if the answer is lost."""
        return await settle_write(
            self._store,
            key,
            value,
            nonce,
            expect_version,
            timeout=SETTLE_TIMEOUT_FACTOR * self._cfg.timeout,
            retry_delay=self._cfg.retry_base,
        )


def _validate(change: Change) -> str | Failure:
    """Validates a change; returns its declaration in canonical JSON, empty for a deletion."""
    try:
        UUID(change.operation_id)
    except ValueError:
        return Failure(ErrorKind.INVALID_REQUEST, "operation_id: must be a UUID")
    if NAME_PATTERN.fullmatch(change.name) is None:
        reason = f"name: {change.name!r} must match {NAME_PATTERN.pattern}"
        return Failure(ErrorKind.INVALID_REQUEST, reason)
    return _validate_spec(change)


def _validate_spec(change: Change) -> str | Failure:
    """Validates the declaration of a change; returns it as `_validate` does."""
    if change.deleted and change.kind in list(DeclarationKind):
        return ""
    declared = parse_declaration(change.kind, change.name, change.spec)
    if isinstance(declared, Failure):
        return declared
    return msgspec.json.encode(msgspec.json.decode(change.spec), order="sorted").decode()


def _build_record(
    change: Change, after: str, author: Author, stored: StoredObject | None, when_unix: float
) -> ChangeRecord:
    """Builds the record of a change from the stored object that it replaces."""
    declaration = StoredDeclaration.decode(stored.value) if stored is not None else None
    before = declaration.spec if declaration is not None else ""
    is_same = declaration is not None and _is_equivalent(change.kind, change.name, before, after)
    return ChangeRecord(
        operation_id=change.operation_id,
        kind=change.kind,
        name=change.name,
        who=author.who,
        why=author.why,
        when_unix=when_unix,
        base_version=change.base_version,
        before=before,
        after=after,
        previous=declaration.change if declaration is not None else "",
        changed=not is_same,
    )


def _is_equivalent(kind: str, name: str, before: str, after: str) -> bool:
    """Whether two declarations are equal once defaults are filled in."""
    if not before or not after:
        return before == after
    return parse_declaration(kind, name, before) == parse_declaration(kind, name, after)


def _diff(change: Change, stored: StoredObject | None) -> DiffEntry | Failure | None:
    """Compares one declaration with the stored one; returns None if they are equivalent."""
    after = _validate_spec(change)
    if isinstance(after, Failure):
        return after
    declaration = StoredDeclaration.decode(stored.value) if stored is not None else None
    before = declaration.spec if declaration is not None else ""
    if _is_equivalent(change.kind, change.name, before, after):
        return None
    version = stored.version if stored is not None else 0
    return DiffEntry(change.kind, change.name, before, after, version)


def _conflict_failure(kind: str, name: str, base: int, current: int) -> ConflictFailure:
    """Builds the failure for a change that is not based on the current version."""
    reason = f"{kind}/{name} is at version {current}; the change was based on version {base}"
    return ConflictFailure(ErrorKind.CONFLICT, reason, base_version=base, current_version=current)


def _unavailable_failure(operation_id: str, ran: Ran) -> Failure:
    """Builds the failure for a change whose two writes could not both be confirmed."""
    what = "was not applied" if ran is Ran.NO else "may have been applied"
    reason = f"operation {operation_id} {what}; retry with the same operation id"
    return Failure(ErrorKind.PLATFORM_UNAVAILABLE, reason, ran)
