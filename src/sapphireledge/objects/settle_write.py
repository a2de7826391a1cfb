"""Resolution of writes whose answer was lost."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.errors import Failure
from sapphireledge.objects.write_result import WriteResult, WriteStatus

if TYPE_CHECKING:
    from sapphireledge.objects.object_store import ObjectStore

__all__ = ["settle_write"]

RETRY_DELAY = 0.1
"""Seconds between two tries to settle a write."""


async def settle_write(
    store: ObjectStore,
    key: str,
    value: bytes,
    nonce: str,
    expect_version: int,
    limit: float,
    retry_delay: float = RETRY_DELAY,
) -> WriteResult:
    """Writes an object and determines whether the write took effect.

    An ambiguous write is read back, and the nonce in the stored value shows that it took effect.
    If the object is still at the expected version, the write can yet arrive late. It is then sent
    again: whichever copy arrives first moves the version, and the other one fails. A conflict is
    read back as well, since the conflicting write can be an earlier copy of this one.

    Args:
        store: The object API.
        key: Key of the object.
        value: New value, which contains the nonce.
        nonce: Text that no other write contains.
        expect_version: Version that the object must have; 0 means that it must not exist.
        limit: Time limit of the whole resolution in seconds.
        retry_delay: Seconds between two tries.

    Returns:
        WRITTEN or CONFLICT once that is certain, UNAVAILABLE if nothing was ever sent, and
        AMBIGUOUS if the limit passed before the outcome was known.
    """
    sent = False
    try:
        async with asyncio.timeout(limit):
            while True:
                result = await _write_once(store, key, value, nonce, expect_version)
                if result.status in (WriteStatus.WRITTEN, WriteStatus.CONFLICT):
                    return result
                if result.status is WriteStatus.UNAVAILABLE and not sent:
                    return result
                sent = True
                await asyncio.sleep(retry_delay)
    except TimeoutError:
        return WriteResult(WriteStatus.AMBIGUOUS)


async def _write_once(
    store: ObjectStore, key: str, value: bytes, nonce: str, expect_version: int
) -> WriteResult:
    """Writes once; reads back unless the answer is certain."""
    result = await store.put(key, value, expect_version)
    if result.status in (WriteStatus.WRITTEN, WriteStatus.UNAVAILABLE):
        return result
    found = await store.get(key)
    if isinstance(found, Failure):
        return WriteResult(WriteStatus.AMBIGUOUS)
    if found is not None and nonce.encode() in found.value:
        return WriteResult(WriteStatus.WRITTEN, found.version)
    version = found.version if found is not None else 0
    if version != expect_version:
        return WriteResult(WriteStatus.CONFLICT, version)
    return WriteResult(WriteStatus.AMBIGUOUS)
