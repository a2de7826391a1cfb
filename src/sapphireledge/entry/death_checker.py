"""Detection of engine deaths and of the requests that were running."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import structlog

from sapphireledge.backends import CallFailure, CallFailureCause
from sapphireledge.core.quarantine import RunningRequests, ServiceSize
from sapphireledge.telemetry import LogEvent

if TYPE_CHECKING:
    from sapphireledge.backends import EngineClient
    from sapphireledge.core.quarantine import DeathRecord, Quarantine, RequestContent
    from sapphireledge.core.routing import BackendView
    from sapphireledge.entry.grant import Grant
    from sapphireledge.entry.suspect_sink import SuspectSink

__all__ = ["DeathChecker"]

CHECK_TIMEOUT = 0.3
"""Seconds that a new attempt waits for the check whether the previous engine died."""


class DeathChecker:
    """Tracks the content of running attempts and records the deaths of their engines."""

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
        self._running = RunningRequests()
        self._checks: dict[str, asyncio.Task[None]] = {}
        self._log = structlog.get_logger()

    @property
    def running(self) -> int:
        """Number of running attempts."""
        return len(self._running)

    def track(self, work_id: str, backend: str, content: RequestContent, *, isolated: bool) -> None:
        """Registers a running attempt.

        Args:
            work_id: Identifier of the attempt.
            backend: Name of the engine's backend server.
            content: Content of its request.
            isolated: Whether it runs isolated from other suspects.
        """
        self._running.add(time.monotonic(), work_id, backend, content, isolated=isolated)

    def on_begun(self, work_id: str) -> None:
        """Records that the engine began to answer.

        Args:
            work_id: Identifier of the attempt.
        """
        self._running.on_begun(work_id)

    def on_progress(self, work_id: str) -> None:
        """Records that the answer goes on.

        Args:
            work_id: Identifier of the attempt.
        """
        content = self._running.on_progress(time.monotonic(), work_id)
        if content is not None:
            self.on_survived(content.parts)

    def on_survived(self, parts: tuple[str, ...]) -> None:
        """Records that an engine survived the beginning of an answer.

        Args:
            parts: Fingerprints of the parts of its prompt.
        """
        self._quarantine.on_survived(time.time(), parts)
        self._suspects.report_survival()

    def untrack(self, work_id: str) -> None:
        """Removes an attempt that ended.

        Args:
            work_id: Identifier of the attempt.
        """
        self._running.remove(time.monotonic(), work_id)

    def check(self, grant: Grant) -> None:
        """Starts to check whether the engine of a failed attempt died.

        Only one check runs per engine; it covers all attempts that were running there.

        Args:
            grant: Grant of the attempt that failed.
        """
        state = self._view.state(grant.backend)
        if grant.backend in self._checks or state is None:
            return
        boot_id = grant.boot_id or state.boot_id
        record = self._running.record_death(
            time.monotonic(), time.time(), grant.backend, boot_id, ServiceSize()
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
