"""Conditional write whose outcome is determined even if its response is lost."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.errors import Failure
from sapphireledge.objects.write_result import WriteResult, WriteStatus

if TYPE_CHECKING:
    from sapphireledge.objects.object_store import ObjectStore

__all__ = ["settle_write"]

RETRY_DELAY = 0.1
"""Default delay between two attempts of a write, in seconds."""


async def settle_write(
    store: ObjectStore,
    key: str,
    value: bytes,
    nonce: str,
    expect_version: int,
    timeout: float,
    retry_delay: float = RETRY_DELAY,
) -> WriteResult:
    """Writes an object and determines whether the write took effect.

    After an ambiguous write the object is read back; the nonce in the stored value shows that the
    write took effect. If the object is still at the expected version, the write may be delayed and
    still arrive. It is then sent again: the copy that arrives first changes the version, so the
    other one fails. The object is also read back after a conflict, since the conflicting write can
    be an earlier copy of this one.

    Args:
        store: The object API.
        key: Key of the object.
        value: New value, which contains the nonce.
        nonce: Text that the value of no other write contains.
        expect_version: Version that the object must have; 0 means that it must not exist.
        timeout: Seconds for all attempts together.
        retry_delay: Seconds between two attempts.

    Returns:
        WRITTEN or CONFLICT once the outcome is certain, UNAVAILABLE if the write cannot have taken
        effect, and AMBIGUOUS if the timeout expired before the outcome was known.
    """
    sent = False
    try:
        async with asyncio.timeout(timeout):
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
    """Writes once and reads the object back unless the response shows the outcome."""
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
