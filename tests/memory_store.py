"""In-memory `ObjectStore` with fault injection, for tests."""

from __future__ import annotations

import asyncio
from collections import Counter
from enum import Enum

from sapphireledge.errors import ErrorKind, Failure
from sapphireledge.objects import ObjectPage, StoredObject, WriteResult, WriteStatus
from sapphireledge_standins._platform_objects import ObjectTable

__all__ = ["MemoryStore", "StoreFault"]


class StoreFault(Enum):
    """Fault injected into one call."""

    NONE = "none"
    """The call succeeds."""

    REFUSED = "refused"
    """The call has no effect and reports that."""

    LOST_REQUEST = "lost_request"
    """The call has no effect, but its outcome is unknown to the client."""

    LOST_ANSWER = "lost_answer"
    """The call takes effect, but its outcome is unknown to the client."""

    LATE = "late"
    """The outcome is unknown to the client; `apply_late_writes` lets the write take effect."""


class MemoryStore:
    """`ObjectStore` in memory. `fault` selects the fault of each call from its operation and key.

    With `rng`, each call yields to the event loop a random number of times.
    """

    def __init__(self, table: ObjectTable | None = None, fault=None, rng=None):
        self.rng = rng
        self.table = table or ObjectTable(10_000, 1 << 30)
        self.fault = fault or (lambda operation, key: StoreFault.NONE)
        self.calls: Counter[str] = Counter()
        self.late_writes: list[tuple] = []

    def apply_late_writes(self) -> None:
        """Applies the delayed writes in the order in which they were sent."""
        late_writes, self.late_writes = self.late_writes, []
        for operation, *args in late_writes:
            getattr(self.table, operation)(*args)

    async def get(self, key):
        if self._has_fault("get", key):
            return Failure(ErrorKind.PLATFORM_UNAVAILABLE, "get")
        await self._yield_to_loop()
        row = self.table.get(key)
        await self._yield_to_loop()
        return row and StoredObject(key, row.value, row.version)

    async def put(self, key, value, expect_version):
        return await self._write("put", key, value, expect_version)

    async def delete(self, key, expect_version):
        return await self._write("delete", key, expect_version)

    async def list(self, prefix, after="", limit=500):
        if self._has_fault("list", prefix):
            return Failure(ErrorKind.PLATFORM_UNAVAILABLE, "list")
        await self._yield_to_loop()
        part = self.table.list(prefix, after, limit)
        await self._yield_to_loop()
        return _page(part)

    async def watch(self, prefix, from_version, wait):
        if self._has_fault("watch", prefix):
            return Failure(ErrorKind.PLATFORM_UNAVAILABLE, "watch")
        await self._yield_to_loop()
        part = self.table.since(prefix, from_version)
        await self._yield_to_loop()
        if part is None:
            return Failure(ErrorKind.NOT_FOUND, "too old")
        return _page(part)

    async def _yield_to_loop(self):
        for _ in range(self.rng.randrange(4) if self.rng else 1):
            await asyncio.sleep(0)

    def _has_fault(self, operation, key):
        self.calls[operation] += 1
        return self.fault(operation, key) is not StoreFault.NONE

    async def _write(self, operation, key, *args):
        self.calls[operation] += 1
        fault = self.fault(operation, key)
        await self._yield_to_loop()
        if fault is StoreFault.REFUSED:
            return WriteResult(WriteStatus.UNAVAILABLE)
        if fault is StoreFault.LATE:
            self.late_writes.append((operation, key, *args))
        if fault in (StoreFault.LATE, StoreFault.LOST_REQUEST):
            return WriteResult(WriteStatus.AMBIGUOUS)
        answer = getattr(self.table, operation)(key, *args)
        await self._yield_to_loop()
        if fault is StoreFault.LOST_ANSWER:
            return WriteResult(WriteStatus.AMBIGUOUS)
        status = WriteStatus.WRITTEN if answer.written else WriteStatus.CONFLICT
        return WriteResult(status, answer.version)


def _page(part):
    objects = tuple(StoredObject(r.key, r.value, r.version, r.deleted) for r in part.objects)
    return ObjectPage(objects, part.version, part.next_after)
