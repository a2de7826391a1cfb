"""Background recording of claim outcomes."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

import structlog

from sapphireledge.core.claims import Claim, ClaimState
from sapphireledge.errors import Failure
from sapphireledge.objects import WriteStatus
from sapphireledge.telemetry import LogEvent

if TYPE_CHECKING:
    from random import Random

    from sapphireledge.core.claims import RecordOutcome
    from sapphireledge.objects import ObjectStore
    from sapphireledge.settings import PlatformSettings

__all__ = ["OutcomeRecorder"]

MAX_PENDING = 10_000
"""Maximum number of queued outcomes; beyond it the oldest is dropped and stays unknown."""

MAX_WRITE_ATTEMPTS = 4
"""Maximum conditional writes per call of `record`; each conflict is followed by a read."""


class OutcomeRecorder:
    """Records outcomes in order and retries them during a platform outage.

    Writing one outcome at a time limits the write rate when the platform is reachable again.
    """

    def __init__(self, store: ObjectStore, cfg: PlatformSettings, rng: Random):
        self.dropped = 0
        """Number of outcomes dropped because the queue was full."""

        self._store = store
        self._cfg = cfg
        self._rng = rng
        self._pending: deque[RecordOutcome] = deque()
        self._has_pending = asyncio.Event()
        self._empty = asyncio.Event()
        self._empty.set()

    def add(self, outcome: RecordOutcome) -> None:
        """Queues an outcome for recording.

        Args:
            outcome: Outcome to record.
        """
        if len(self._pending) >= MAX_PENDING:
            self._pending.popleft()
            self.dropped += 1
        self._pending.append(outcome)
        self._empty.clear()
        self._has_pending.set()

    async def wait_until_empty(self) -> None:
        """Waits until no outcome is queued."""
        await self._empty.wait()

    async def run(self) -> None:
        """Records queued outcomes until the task is cancelled."""
        failures = 0
        while True:
            await self._has_pending.wait()
            outcome = self._pending[0]
            if await self.record(outcome):
                failures = 0
                self._remove(outcome)
                continue
            max_delay = min(self._cfg.retry_cap, self._cfg.retry_base * 2**failures)
            failures = min(failures + 1, 32)
            await asyncio.sleep(max_delay * self._rng.uniform(0.5, 1.0))

    async def record(self, outcome: RecordOutcome) -> bool:
        """Tries to record one outcome.

        Args:
            outcome: Outcome to record.

        Returns:
            Whether no retry is needed: the outcome is recorded, or the claim can no longer be
            replaced because it is gone, has a final outcome, or belongs to another call.
        """
        version = outcome.version
        for _ in range(MAX_WRITE_ATTEMPTS):
            if version or not outcome.version:
                result = await self._store.put(outcome.key, outcome.claim.encode(), version)
                if result.status is WriteStatus.WRITTEN:
                    self._log_recorded(outcome.claim)
                    return True
                if result.status is WriteStatus.UNAVAILABLE:
                    return False
            found = await self._store.get(outcome.key)
            if isinstance(found, Failure):
                return False
            if found is not None and not _is_replaceable(Claim.decode(found.value), outcome.claim):
                return True
            if found is None and outcome.version:
                return True
            version = found.version if found else 0
        return False

    def _remove(self, outcome: RecordOutcome) -> None:
        """Removes a recorded outcome, unless it was dropped in the meantime."""
        if self._pending and self._pending[0] is outcome:
            self._pending.popleft()
        if not self._pending:
            self._has_pending.clear()
            self._empty.set()

    def _log_recorded(self, claim: Claim) -> None:
        """Logs a recorded outcome."""
        structlog.get_logger().info(
            LogEvent.CLAIM_SETTLED, state=claim.state, kind=claim.kind, status=claim.status
        )


def _is_replaceable(stored: Claim | None, claim: Claim) -> bool:
    """Whether the stored claim has the same nonce and no final outcome yet."""
    if stored is None or stored.nonce != claim.nonce:
        return False
    if stored.state is ClaimState.UNKNOWN:
        return claim.state is not ClaimState.UNKNOWN
    return stored.state is ClaimState.CLAIMED
