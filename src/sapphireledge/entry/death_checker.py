"""Detection of engine deaths and of the requests that were running."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import structlog

from sapphireledge.backends import CallFailure, CallFailureCause
from sapphireledge.core.quarantine import DeathRecord
from sapphireledge.telemetry import LogEvent

if TYPE_CHECKING:
    from sapphireledge.backends import EngineClient
    from sapphireledge.core.quarantine import Quarantine
    from sapphireledge.core.routing import BackendView
    from sapphireledge.entry.grant import Grant
    from sapphireledge.entry.suspect_sink import SuspectSink

__all__ = ["DeathChecker"]

CHECK_TIMEOUT = 0.3
"""Seconds that a new attempt waits for the check whether the previous engine died."""


class DeathChecker:
    """Tracks the fingerprints of running attempts and records the deaths of their engines."""

    def __init__(self, view: BackendView, quarantine: Quarantine, suspects: SuspectSink) -> None:
        """Creates the checker.

        Args:
            view: View of the backend servers.
            quarantine: Attribution of deaths to requests.
            suspects: Receives the confirmed deaths.
        """
        self._view = view
        self._quarantine = quarantine
        self._suspects = suspects
        self._fingerprints: dict[str, str] = {}
        self._isolated: set[str] = set()
        self._checks: dict[str, asyncio.Task[None]] = {}
        self._log = structlog.get_logger()

    @property
    def running(self) -> int:
        """Number of running attempts."""
        return len(self._fingerprints)

    def track(self, work_id: str, fingerprint: str, isolated: bool) -> None:
        """Registers a running attempt.

        Args:
            work_id: Identifier of the attempt.
            fingerprint: Fingerprint of its request.
            isolated: Whether it runs isolated from other suspects.
        """
        self._fingerprints[work_id] = fingerprint
        if isolated:
            self._isolated.add(work_id)

    def untrack(self, work_id: str) -> None:
        """Removes an attempt that ended.

        Args:
            work_id: Identifier of the attempt.
        """
        self._fingerprints.pop(work_id, None)
        self._isolated.discard(work_id)

    def check(self, grant: Grant) -> None:
        """Starts a check whether the engine of a failed attempt died.

        Only one check runs per engine; it covers all attempts that were running there.

        Args:
            grant: Grant of the attempt that failed.
        """
        state = self._view.state(grant.backend)
        if grant.backend in self._checks or state is None:
            return
        in_flight = {*state.in_flight, grant.work_id}
        suspects = {self._fingerprints[w] for w in in_flight if w in self._fingerprints}
        isolated = {self._fingerprints[w] for w in in_flight & self._isolated}
        record = DeathRecord(
            backend=grant.backend,
            boot_id=grant.boot_id or state.boot_id,
            time_unix=time.time(),
            suspects=tuple(sorted(suspects)),
            isolated=tuple(sorted(isolated)),
        )
        task = asyncio.create_task(self._confirm(record, grant.client))
        self._checks[grant.backend] = task
        task.add_done_callback(lambda _: self._checks.pop(grant.backend, None))

    async def wait_for_checks(self) -> None:
        """Waits for running checks, so that the next quarantine verdict includes their results."""
        if self._checks:
            await asyncio.wait(self._checks.values(), timeout=CHECK_TIMEOUT)

    async def _confirm(self, record: DeathRecord, client: EngineClient) -> None:
        """Confirms the death on a new connection: it is refused, or the boot id differs."""
        report = await client.load()
        if isinstance(report, CallFailure):
            if report.cause is not CallFailureCause.NOT_CONNECTED:
                return
        elif report.boot_id == record.boot_id:
            return
        self._log.warning(
            LogEvent.BACKEND_DEAD, backend=record.backend, suspects=len(record.suspects)
        )
        self._quarantine.on_engine_death(time.time(), record)
        self._suspects.report_death(record)
