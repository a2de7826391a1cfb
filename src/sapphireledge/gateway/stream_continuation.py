"""Ties streams to the software version that began them."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from sapphireledge.core.continuation import TakeUpDecision, decide_take_up
from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.gateway.fetched_looks import REPORT_TIMEOUT

if TYPE_CHECKING:
    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.engine_selection import EngineSelection
    from sapphireledge.gateway.gateway_context import GatewayContext
    from sapphireledge.gateway.stream_progress import StreamProgress

__all__ = ["StreamContinuation", "count_versions", "explain_refusal", "is_take_up"]

RETRY_AFTER = 1.0
"""Retry-After in seconds for take-ups that cannot go on; crashed servers restart, and what other
instances have recorded arrives, within seconds."""

ORIGIN_MARGIN = 5.0
"""Seconds after the caller's deadline for which the origin of a stream is kept; the attempts of one
caller do not state quite the same deadline."""

SERVERS_WAIT = 0.5
"""Longest time in seconds for which a take-up waits for the first listing of servers. After a loss
of power of all instances, callers may return before it."""

SERVERS_POLL_INTERVAL = 0.02
"""Seconds between two looks for it."""


class StreamContinuation:
    """Finds the version at which a stream goes on, and records that of new streams."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context

    async def take_up(self, admitted: AdmittedRequest, progress: StreamProgress) -> Failure | None:
        """Ties a stream that its caller takes up to the version that began it.

        Args:
            admitted: The request.
            progress: Progress of the stream, which receives the version.

        Returns:
            The refusal if the stream cannot go on, None otherwise or if it is no take-up.
        """
        if not is_take_up(admitted):
            return None
        context, service = self._context, admitted.service.name
        started = asyncio.get_running_loop().time()
        time_left = max(0.0, admitted.deadline - started)
        origin = await context.origins.find(service, admitted.request.resumes, time_left)
        rule = None if origin is None else context.rollouts.continuation(service, origin)
        if rule is not None:
            await self._wait_for_servers(min(SERVERS_WAIT, time_left))
        servers = count_versions(context, service)
        decision = decide_take_up(rule, servers)
        waited = asyncio.get_running_loop().time() - started
        telemetry = context.telemetry.continuations
        telemetry.record_take_up(admitted, rule, servers, decision, waited)
        progress.version = origin
        return explain_refusal(decision, origin)

    async def _wait_for_servers(self, timeout: float) -> None:
        """Waits until an instance that has just started knows any servers, or the time is over."""
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + timeout
        while not len(self._context.registry) and loop.time() < give_up_at:
            await asyncio.sleep(SERVERS_POLL_INTERVAL)

    def on_begun(self, admitted: AdmittedRequest, version: str) -> None:
        """Records the version that delivers the first event of a stream.

        Args:
            admitted: The request, which is no take-up.
            version: The version.
        """
        if is_take_up(admitted) or not admitted.route.resumable:
            return
        now = asyncio.get_running_loop().time()
        lifetime = max(0.0, admitted.caller_deadline - now) + ORIGIN_MARGIN
        request_id = admitted.request.request_id
        self._context.origins.record(admitted.service.name, request_id, version, lifetime)

    async def is_unchanged(self, progress: StreamProgress, selection: EngineSelection) -> bool:
        """Checks that an engine still runs the version that its entry names.

        An engine can restart with other software while its entry is old. Placements by reports have
        checked that already, and a restarted holder has no copy.

        Args:
            progress: Progress of the stream.
            selection: Engines of the next attempt.

        Returns:
            False if another incarnation reports; the engine is removed then.
        """
        is_checked = selection.prompts_ahead is not None or selection.replica_source is not None
        if progress.version is None or is_checked:
            return True
        context, server = self._context, selection.server
        report = await context.report_client.fetch_report(server, REPORT_TIMEOUT)
        if report is None or report.is_from(server):
            return True
        state = context.registry.state(server.server_id)
        if state is not None and not state.server.is_restart_of(server):
            # Otherwise the entry of the other incarnation has arrived meanwhile.
            context.registry.remove(server.server_id)
            context.pool.drop(server.server_id)
        return False

    def refuse_gone(self, admitted: AdmittedRequest, progress: StreamProgress) -> Failure | None:
        """Refuses a stream for which no server of its version is left.

        Args:
            admitted: The request.
            progress: Progress of the stream.

        Returns:
            The refusal, None if the stream has no version or there are servers of it.
        """
        context, service, origin = self._context, admitted.service.name, progress.version
        if origin is None:
            return None
        rule = context.rollouts.continuation(service, origin)
        excluded = context.rollouts.excluded_from_continuation(service, origin)
        now = asyncio.get_running_loop().time()
        if context.registry.next_admission(now, service, excluded) < float("inf"):
            return None
        context.telemetry.continuations.record_gone(admitted, rule, progress.delivered)
        return explain_refusal(TakeUpDecision.GONE, origin)


def is_take_up(admitted: AdmittedRequest) -> bool:
    """Whether a caller takes up a stream of which it has received a part.

    The route may have ceased to permit that since the stream began.

    Args:
        admitted: The request.

    Returns:
        Whether it does.
    """
    return admitted.request.last_event is not None


def count_versions(context: GatewayContext, service: str) -> Counter[str]:
    """Counts the servers of a service that take requests, or will after a pause.

    Args:
        context: Components of the instance.
        service: Name of the service.

    Returns:
        Their number by version.
    """
    return Counter(
        server.version
        for server in context.registry.list_servers(service)
        if context.registry.is_available(server.server_id)
    )


def explain_refusal(decision: TakeUpDecision, origin: str | None) -> Failure | None:
    """Builds the failure of a stream that cannot go on.

    Args:
        decision: What becomes of the stream.
        origin: Version that began it, None if it is not known.

    Returns:
        The failure, None if the stream goes on.
    """
    if decision is TakeUpDecision.CONTINUED:
        return None
    if decision is TakeUpDecision.UNKNOWN:
        reason = "the version of the server that began the stream is not known"
        return Failure(ErrorKind.NO_BACKEND, reason, Ran.NO, RETRY_AFTER)
    reason = f"no server of version {origin!r}, which began the stream, takes requests"
    return Failure(ErrorKind.VERSION_GONE, reason, Ran.NO, RETRY_AFTER)
