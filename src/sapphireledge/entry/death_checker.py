"""Detection of deaths of backend servers and of the requests that were running."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import structlog

from sapphireledge.backends import CallFailure, CallFailureCause
from sapphireledge.core.quarantine import DeathRecord, RunningRequests, ServiceSize, draw_trial
from sapphireledge.errors import ErrorKind, Failure
from sapphireledge.telemetry import LogEvent

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Collection

    from sapphireledge.backends import EngineClient
    from sapphireledge.core.quarantine import (
        ClearVerdict,
        IsolateVerdict,
        Quarantine,
        RequestContent,
    )
    from sapphireledge.core.routing import BackendView
    from sapphireledge.entry.grant import Grant
    from sapphireledge.entry.suspect_sink import SuspectSink

__all__ = ["DeathChecker"]

CHECK_TIMEOUT = 0.3
"""Seconds that a new attempt waits for the check whether the previous server died, and that a live
server needs at most to accept a connection."""

UNLISTED_TIME = 30.0
"""Seconds within which the instance list no longer has a backend server that died."""

RESTART_TIME = 1.0
"""Seconds in which a plain service, which does not name its incarnation, dies once at most."""


class DeathChecker:
    """Tracks the content of running attempts and records the deaths of their backend servers."""

    def __init__(
        self,
        view: BackendView,
        quarantine: Quarantine,
        suspects: SuspectSink,
        count_entries: Callable[[], int],
    ) -> None:
        """Creates the checker.

        Args:
            view: View of the backend servers.
            quarantine: Attribution of deaths to requests.
            suspects: Receives the confirmed deaths.
            count_entries: Returns the number of live instances, which share the backend servers.
        """
        self._view = view
        self._quarantine = quarantine
        self._suspects = suspects
        self._count_entries = count_entries
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

    async def judge(
        self, content: RequestContent, request_id: str
    ) -> ClearVerdict | IsolateVerdict | Failure:
        """Decides whether a request may run, after recent deaths are attributed.

        Args:
            content: Content of the request.
            request_id: Id of the request.

        Returns:
            A verdict of the quarantine.
        """
        verdict = self.judge_now(content, request_id)
        if (
            isinstance(verdict, Failure)
            and verdict.kind is ErrorKind.OVERLOADED
            and (verdict.retry_after or 0.0) <= self._quarantine.attribution_time
        ):
            # The verdict after the wait is final.
            await asyncio.sleep(verdict.retry_after or 0.0)
            verdict = self.judge_now(content, request_id)
        return verdict

    def judge_now(
        self, content: RequestContent, request_id: str
    ) -> ClearVerdict | IsolateVerdict | Failure:
        """Decides whether a request may run, by the deaths that are attributed.

        Args:
            content: Content of the request.
            request_id: Id of the request.

        Returns:
            A verdict of the quarantine.
        """
        return self._quarantine.verdict(
            time.time(), content.fingerprint, content.parts, content.scope, draw_trial(request_id)
        )

    def on_answered(self, content: RequestContent) -> None:
        """Clears a request that a backend server answered completely.

        Args:
            content: Content of the request.
        """
        self._suspects.report_completion(content.fingerprint)

    def check_service(self, backend: str, address: str) -> None:
        """Starts to check whether a plain service died that closed a connection during a call.

        Args:
            backend: Name of the backend server.
            address: "host:port" of the backend server.
        """
        state = self._view.state(backend)
        if backend in self._checks or state is None:
            return
        boot_id = f"until-{int(time.time() / RESTART_TIME)}"
        self._start_check(backend, self._record_death(backend, boot_id), _is_refused(address))

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
        record = self._record_death(grant.backend, boot_id)
        self._start_check(grant.backend, record, _has_engine_ended(grant.client, boot_id))

    def on_listed(self, names: Collection[str]) -> None:
        """Records backend servers that ended unannounced without a call, by the instance list.

        They show how often deaths meet no call. All instances see the list, so the records are not
        shared. Call it before the list is applied to the view.

        Args:
            names: Names in the instance list.
        """
        now = time.time()
        for state in self._view.states():
            name = state.instance.name
            if name in names or state.leaving:
                continue
            if not self._quarantine.has_died_since(now - UNLISTED_TIME, name):
                boot_id = f"unlisted-{now:.0f}"
                record = DeathRecord(name, boot_id, now, service=state.instance.role)
                self._quarantine.on_engine_death(now, record)

    async def wait_for_checks(self) -> None:
        """Waits for running checks, so that the next quarantine verdict includes their results."""
        if self._checks:
            await asyncio.wait(self._checks.values(), timeout=CHECK_TIMEOUT)

    def _record_death(self, backend: str, boot_id: str) -> DeathRecord:
        """Builds the record of a death."""
        role = next(
            (s.instance.role for s in self._view.states() if s.instance.name == backend), ""
        )
        servers = sum(1 for state in self._view.states() if state.instance.role == role)
        size = ServiceSize(role, max(1, servers), max(1, self._count_entries()))
        return self._running.record_death(time.monotonic(), time.time(), backend, boot_id, size)

    def _start_check(self, backend: str, record: DeathRecord, check: Awaitable[bool]) -> None:
        """Confirms a death in the background."""
        task = asyncio.create_task(self._confirm(record, check))
        self._checks[backend] = task
        task.add_done_callback(lambda _: self._checks.pop(backend, None))

    async def _confirm(self, record: DeathRecord, check: Awaitable[bool]) -> None:
        """Records a death if the check confirms it."""
        if not await check:
            return
        self._log.warning(
            LogEvent.BACKEND_DEAD, backend=record.backend, suspects=len(record.suspects)
        )
        self._quarantine.on_engine_death(time.time(), record)
        self._suspects.report_death(record)


async def _has_engine_ended(client: EngineClient, boot_id: str) -> bool:
    """Whether an engine refuses a new connection or is another incarnation."""
    report = await client.load()
    if isinstance(report, CallFailure):
        return report.cause is CallFailureCause.NOT_CONNECTED
    return report.boot_id != boot_id


async def _is_refused(address: str) -> bool:
    """Whether a plain service refuses a new connection."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(CHECK_TIMEOUT):
            _, writer = await asyncio.open_connection(host, int(port))
    except (OSError, TimeoutError):
        return True
    writer.close()
    return False
