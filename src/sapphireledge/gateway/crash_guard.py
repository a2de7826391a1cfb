"""Attribution of crashed backend servers to requests, and refusal of what crashes them."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace
from itertools import count
from typing import TYPE_CHECKING

import structlog
import xxhash

from sapphireledge.core.quarantine import (
    ClearVerdict,
    DeathRecord,
    IsolateVerdict,
    Quarantine,
    RequestContent,
    RunningRequests,
    ServiceSize,
    draw_trial,
    find_avoided_servers,
)
from sapphireledge.errors import ErrorKind, Failure
from sapphireledge.gateway.gateway_event import GatewayEvent

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sapphireledge.core.quarantine import ClearingRecord
    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.quarantine_settings import QuarantineSettings
    from sapphireledge.gateway.request_telemetry import RequestTelemetry

__all__ = ["CrashGuard"]

CONNECT_TIMEOUT = 0.3
"""Seconds allowed for a new connection to a server that closed one; a live server in another region
accepts it within 60 ms, or after one retransmission."""


async def _assume_reachable(server: BackendServer) -> bool:
    """Assumes that other servers can be reached."""
    return True


class CrashGuard:
    """Keeps requests that crash backend servers away from them.

    Whether a request crashes servers is decided by `Quarantine`; this class feeds it with what
    happens to the requests of this instance.
    """

    def __init__(self, cfg: QuarantineSettings, telemetry: RequestTelemetry) -> None:
        """Creates a guard that knows of no crash.

        Args:
            cfg: Limits of the quarantine.
            telemetry: Logging and metrics of requests.
        """
        self.quarantine = Quarantine(cfg)
        """Deaths of backend servers and what they are attributed to."""

        self.on_death: Callable[[DeathRecord], None] = lambda record: None
        """Called with each death that this instance detected."""

        self.on_clearing: Callable[[ClearingRecord], None] = lambda record: None
        """Called when a suspected request was answered completely."""

        self.on_news: Callable[[], None] = lambda: None
        """Called when a survival may have to be shared: a server survived the beginning of an
        answer after deaths, or new deaths are on record."""

        self.measure_service: Callable[[str], ServiceSize] = ServiceSize
        """Returns the size of a service."""

        self.reaches_another: Callable[[BackendServer], Awaitable[bool]] = _assume_reachable
        """Finds out whether this instance reaches other servers than one that has failed."""

        self._running = RunningRequests()
        self._work_ids = count()
        self._cfg = cfg
        self._telemetry = telemetry
        self._checks: dict[str, asyncio.Task[None]] = {}
        self._condemned_parts: frozenset[str] = frozenset()
        self._condemned_scopes: frozenset[str] = frozenset()
        self._log = structlog.get_logger()

    @property
    def retention(self) -> float:
        """Seconds for which deaths are kept."""
        return self._cfg.retention

    def fingerprint(self, admitted: AdmittedRequest) -> str:
        """Computes the fingerprint under which deaths are attributed to a request.

        Args:
            admitted: The request.

        Returns:
            The fingerprint in hexadecimal.
        """
        return self._content(admitted).fingerprint

    def judge(self, admitted: AdmittedRequest) -> ClearVerdict | IsolateVerdict | Failure:
        """Decides whether and how a request may run.

        Args:
            admitted: The request.

        Returns:
            A verdict of the quarantine.
        """
        if not self.quarantine.has_deaths:
            return ClearVerdict()
        content = self._content(admitted)
        verdict = self.quarantine.verdict(
            time.time(),
            content.fingerprint,
            content.parts,
            content.scope,
            draw_trial(admitted.request.request_id),
        )
        if isinstance(verdict, Failure) and verdict.kind is ErrorKind.REQUEST_CONDEMNED:
            return replace(verdict, retry_after=verdict.retry_after or self._cfg.retention)
        return verdict

    async def wait_for_verdict(
        self, admitted: AdmittedRequest
    ) -> ClearVerdict | IsolateVerdict | Failure:
        """Decides like `judge`, after the deaths that concern the request are attributed.

        Args:
            admitted: A request that has been sent before.

        Returns:
            A verdict of the quarantine.
        """
        verdict = self.judge(admitted)
        if (
            isinstance(verdict, Failure)
            and verdict.kind is ErrorKind.OVERLOADED
            and (verdict.retry_after or 0.0) <= self.quarantine.attribution_time
        ):
            await asyncio.sleep(verdict.retry_after or 0.0)
            verdict = self.judge(admitted)
        return verdict

    def avoided_servers(self, verdict: ClearVerdict | IsolateVerdict) -> frozenset[str]:
        """Lists the servers on which a request may not run beside other suspects.

        Args:
            verdict: Verdict on the request.

        Returns:
            Ids of the servers.
        """
        return find_avoided_servers(time.time(), verdict, self.quarantine, self._running)

    def begin(
        self, admitted: AdmittedRequest, server: BackendServer, *, isolated: bool = False
    ) -> str:
        """Registers a request that is sent to a server.

        Args:
            admitted: The request.
            server: Server to which it is sent.
            isolated: Whether it runs isolated from other suspects.

        Returns:
            Identifier of the attempt for the other methods.
        """
        work_id = str(next(self._work_ids))
        self._running.add(
            time.monotonic(),
            work_id,
            server.server_id,
            self._content(admitted),
            isolated=isolated,
        )
        return work_id

    def on_begun(self, work_id: str) -> None:
        """Records that a server has begun to answer.

        Args:
            work_id: Identifier of the attempt.
        """
        self._running.on_begun(work_id)

    def on_progress(self, work_id: str) -> None:
        """Records that an answer goes on.

        Args:
            work_id: Identifier of the attempt.
        """
        content = self._running.on_progress(time.monotonic(), work_id)
        if content is not None:
            self._record_survival(content)

    def on_answered(self, work_id: str) -> None:
        """Clears a request that a server answered completely.

        Args:
            work_id: Identifier of the attempt.
        """
        content = self._running.content(work_id)
        if content is None:
            return
        self._record_survival(content)
        clearing = self.quarantine.on_completed(time.time(), content.fingerprint)
        if clearing is not None:
            self.on_clearing(clearing)

    def on_unanswered(self, work_id: str) -> None:
        """Records that a server has gone silent during a request; call it before `end`.

        The server may be slow or cut off. If the platform removes it soon, it has crashed.

        Args:
            work_id: Identifier of the attempt.
        """
        self._running.on_unanswered(time.monotonic(), work_id)

    def end(self, work_id: str) -> None:
        """Removes an attempt that ended.

        Args:
            work_id: Identifier of the attempt.
        """
        self._running.remove(time.monotonic(), work_id)

    def on_connection_lost(self, server: BackendServer) -> None:
        """Checks whether a server died that closed a connection during a request.

        Call it before `end`. Only one check runs for each server; it covers all requests that this
        instance had there.

        Args:
            server: The server.
        """
        if server.server_id in self._checks:
            return
        record = self._running.record_death(
            time.monotonic(),
            time.time(),
            server.server_id,
            str(server.started_at_ms),
            self.measure_service(server.service),
        )
        task = asyncio.create_task(self._confirm(server, record))
        self._checks[server.server_id] = task
        task.add_done_callback(lambda _: self._checks.pop(server.server_id, None))

    def is_dead(self, server: BackendServer) -> bool:
        """Whether the death of a server is on record.

        Args:
            server: The server.

        Returns:
            Whether it is.
        """
        return self.quarantine.has_died(server.server_id, str(server.started_at_ms))

    def has_died_since(self, server: BackendServer, since_unix: float) -> bool:
        """Whether a server is known to have died after a time.

        Args:
            server: The server.
            since_unix: Time in Unix seconds.

        Returns:
            Whether a death of it after that time is on record.
        """
        return self.quarantine.has_died_since(since_unix, server.server_id)

    def on_server_gone(self, server: BackendServer) -> None:
        """Records a server that ended unannounced, unless its death is on record.

        Such servers show how often deaths meet no request. All instances see them, so the record is
        shared only if requests of this instance may have caused the end.

        Args:
            server: The server.
        """
        if self.is_dead(server):
            # Requests that were sent to it afterwards did not cause its death.
            return
        record = self._running.record_silent_death(
            time.monotonic(),
            time.time(),
            server.server_id,
            str(server.started_at_ms),
            self.measure_service(server.service),
        )
        if not record.suspects:
            record = DeathRecord(
                server.server_id, str(server.started_at_ms), time.time(), service=server.service
            )
        if self.quarantine.on_engine_death(time.time(), record):
            if record.suspects:
                self._telemetry.record_server_death(server, record, "silent and removed")
                self.on_death(record)
            self.on_changed()

    def on_changed(self) -> None:
        """Logs parts of prompts and scopes that are refused from now on, or no longer."""
        now = time.time()
        parts = self.quarantine.crashing_parts(now)
        for part in parts - self._condemned_parts:
            self._log.warning(GatewayEvent.PART_CONDEMNED, part=part)
        for part in self._condemned_parts - parts:
            self._log.info(GatewayEvent.PART_CLEARED, part=part)
        self._condemned_parts = parts
        scopes = self.quarantine.crashing_scopes(now)
        for scope in scopes - self._condemned_scopes:
            self._log.warning(GatewayEvent.SCOPE_CONDEMNED, scope=scope)
        for scope in self._condemned_scopes - scopes:
            self._log.info(GatewayEvent.SCOPE_CLEARED, scope=scope)
        self._condemned_scopes = scopes

    def _content(self, admitted: AdmittedRequest) -> RequestContent:
        """Determines the content of a request; its ids and deadlines do not affect it."""
        request = admitted.request
        digest = xxhash.xxh3_128(request.method)
        for value in (
            request.host.encode(),
            request.target,
            admitted.workspace.encode(),
            *(part.encode() for part in request.shared_parts),
            request.affinity.encode() if request.shared_parts else b"",
            request.body,
        ):
            digest.update(len(value).to_bytes(8, "big") + value)
        scope = "" if request.shared_parts else f"{admitted.route.name}/{admitted.workspace}"
        return RequestContent(
            digest.hexdigest(), request.shared_parts, admitted.service.name, scope
        )

    def _record_survival(self, content: RequestContent) -> None:
        """Records that a server survived the beginning of an answer."""
        self.quarantine.on_survived(time.time(), content.parts)
        if self.quarantine.has_deaths:
            self.on_news()

    async def _confirm(self, server: BackendServer, record: DeathRecord) -> None:
        """Records a death unless the server accepts a new connection."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                _, writer = await asyncio.open_connection(server.host, server.port)
        except (OSError, TimeoutError) as exc:
            reason = repr(exc)
        else:
            writer.close()
            return
        if not await self.reaches_another(server):
            self._log.warning(
                GatewayEvent.DEATH_UNCONFIRMED, server=server.server_id, reason=reason
            )
            return
        self._telemetry.record_server_death(server, record, reason)
        if self.quarantine.on_engine_death(time.time(), record):
            self.on_death(record)
            self.on_changed()
