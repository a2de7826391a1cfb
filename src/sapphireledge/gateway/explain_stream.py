"""Explains where a stream would start now."""

from __future__ import annotations

import asyncio
from dataclasses import asdict, replace
from typing import TYPE_CHECKING

from sapphireledge.core.continuation import decide_take_up
from sapphireledge.core.explanation import Chance, ExplainedOutcome, ServerRole
from sapphireledge.core.placement import RefusalReason, RefuseStream
from sapphireledge.core.quarantine import hide_part
from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.gateway.decision_trace import DecisionTrace
from sapphireledge.gateway.describe_stream import is_repeat
from sapphireledge.gateway.explain_known_looks import KnownLooks
from sapphireledge.gateway.explain_servers import explain_servers, find_left_out
from sapphireledge.gateway.fetched_looks import REPORT_TIMEOUT
from sapphireledge.gateway.stream_continuation import (
    count_versions,
    explain_refusal,
    is_take_up,
)
from sapphireledge.gateway.stream_forwarder import refuse_overload
from sapphireledge.gateway.stream_progress import StreamProgress

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sapphireledge.core.explanation import Explanation
    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.engine_load import EngineLoad
    from sapphireledge.gateway.engine_selection import EngineSelection
    from sapphireledge.gateway.engine_selector import EngineSelector
    from sapphireledge.gateway.gateway_context import GatewayContext
    from sapphireledge.gateway.line_preview import LinePreview

__all__ = ["StreamExplainer"]

CHECK_BY_REASON = {RefusalReason.LINE: "line", RefusalReason.ENGINES: "servers"}
"""Step that refuses a stream; the other reasons belong to the placement."""


OLD_REPORT = 1.0
"""Age in seconds from which a report is listed as old; a placement asks for a new one."""


class StreamExplainer:
    """Places a stream on copies of the state that a placement changes."""

    def __init__(self, context: GatewayContext, selector: EngineSelector) -> None:
        """Creates the explainer.

        Args:
            context: Components of the instance.
            selector: Selects the engines of streams.
        """
        self._context = context
        self._selector = selector

    async def explain(
        self, admitted: AdmittedRequest, explanation: Explanation, *, fresh: bool
    ) -> Explanation:
        """Explains where a stream would start now.

        Args:
            admitted: The request.
            explanation: Its way so far.
            fresh: Whether to fetch the reports that a placement would ask for.

        Returns:
            The complete explanation.
        """
        context = self._context
        now = asyncio.get_running_loop().time()
        progress = StreamProgress(admitted.request.last_event)
        version = self._explain_version(admitted, explanation)
        if version.failure is not None:
            return version
        explanation = version
        verdict = context.crashes.judge(admitted)
        if isinstance(verdict, Failure):
            return explanation.refused("quarantine", hide_part(verdict))
        explanation = explanation.passed("quarantine", f"{verdict.deaths} deaths count against it")
        if not progress.permits_attempt(admitted, now):
            reason = f"{admitted.deadline - now:.1f} s until the deadline are too short"
            failure = Failure(ErrorKind.OVERLOADED, reason, Ran.NO)
            return explanation.refused("time", failure)
        time_left = f"{admitted.deadline - now:.1f} s until the deadline"
        explanation = explanation.passed("time", time_left)
        avoided = context.crashes.avoided_servers(verdict)
        looks = KnownLooks(context.report_client.latest.get)
        known = await self._place(admitted, explanation, avoided, looks)
        if not fresh:
            unknown = (*known.unknown, *self._list_uncertain(looks))
            return replace(known, unknown=unknown)
        reports = await self._fetch(looks.asked)
        looks = KnownLooks(lambda server: reports.get(server.server_id))
        found = await self._place(admitted, explanation, avoided, looks)
        silent = ", ".join(server.server_id for server in looks.missing)
        if silent:
            load = f"the load of {silent}: no report of this incarnation arrived in time"
            found = replace(found, unknown=(*found.unknown, load))
        return found

    def _explain_version(self, admitted: AdmittedRequest, explanation: Explanation) -> Explanation:
        """Explains at which version a stream goes on that its caller takes up."""
        if not is_take_up(admitted):
            return explanation
        context, service = self._context, admitted.service.name
        origin = self._find_origin(admitted)
        rule = None if origin is None else context.rollouts.continuation(service, origin)
        servers = count_versions(context, service)
        failure = explain_refusal(decide_take_up(rule, servers), origin)
        if origin is None:
            attempt = "what other instances recorded: a take-up waits a short time for it"
            if not admitted.request.resumes:
                attempt = "the attempt that brought the first event, which a caller names"
            explanation = replace(explanation, unknown=(*explanation.unknown, attempt))
        if failure is not None:
            return explanation.refused("version", failure)
        detail = f"{servers[origin or '']} servers have version {origin!r}, which began the stream"
        return explanation.passed("version", detail)

    def _find_origin(self, admitted: AdmittedRequest) -> str | None:
        """Finds the version that began a stream, None if it is not known or is no matter."""
        if not is_take_up(admitted):
            return None
        origins = self._context.origins
        return origins.version_of(admitted.service.name, admitted.request.resumes)

    async def _fetch(self, servers: Sequence[BackendServer]) -> dict[str, EngineLoad]:
        """Fetches reports, without those that another incarnation sent."""
        reports = await self._context.report_client.fetch_reports(servers, REPORT_TIMEOUT)
        return {
            server.server_id: reports[server.server_id]
            for server in servers
            if server.server_id in reports and reports[server.server_id].is_from(server)
        }

    def _list_uncertain(self, looks: KnownLooks) -> list[str]:
        """Lists the engines of which a placement would learn more than is known."""
        latest, now = self._context.report_client.latest, asyncio.get_running_loop().time()
        missing = ", ".join(server.server_id for server in looks.missing)
        ages = {server.server_id: latest.age(now, server) or 0.0 for server in looks.asked}
        old = ", ".join(f"{name} ({age:.1f} s)" for name, age in ages.items() if age > OLD_REPORT)
        uncertain = []
        if missing:
            load = f"the load of {missing}: a placement would ask for it, as --fresh does"
            uncertain.append(load)
        if old:
            uncertain.append(f"the load now of engines with old reports, as --fresh asks: {old}")
        return uncertain

    async def _place(
        self,
        admitted: AdmittedRequest,
        explanation: Explanation,
        avoided: frozenset[str],
        looks: KnownLooks,
    ) -> Explanation:
        """Places the stream by known reports, and explains the result."""
        service, trace = admitted.service.name, DecisionTrace()
        progress = StreamProgress(admitted.request.last_event)
        progress.version = self._find_origin(admitted)
        context = self._context.copy_for(service, admitted.request, trace)
        repeat = is_repeat(admitted, progress)
        left_out = find_left_out(
            context, admitted, avoided, is_retry=repeat, origin=progress.version
        )
        selector, line = self._selector.copy_for(context, looks, service)
        waiting = line.order.snapshot(asyncio.get_running_loop().time()).length_by_rank
        result = await selector.select(admitted, progress, avoided)
        explanation = replace(
            explanation,
            servers=explain_servers(
                context,
                service,
                {name: asdict(terms) for name, terms in trace.costs.items()},
                left_out,
                _name_roles(result),
                looks.candidates,
            ),
            estimate=None if trace.placement is None else trace.placement.estimate,
            waiting={str(rank): count for rank, count in waiting.items()},
        )
        if isinstance(result, RefuseStream):
            check = CHECK_BY_REASON.get(result.reason, "placement")
            return explanation.refused(check, refuse_overload(result))
        if result is None and line.position is None:
            failure = Failure(ErrorKind.OVERLOADED, progress.last_reason, Ran.NO)
            return explanation.refused("servers", failure)
        if result is None:
            return _explain_wait(explanation, line, selector.start_share(service))
        explanation = replace(explanation, is_late=result.is_late)
        return explanation.passed("placement", _describe_start(result, explanation))


def _explain_wait(explanation: Explanation, line: LinePreview, start_share: float) -> Explanation:
    """Explains that a stream joins the line."""
    chance = Chance("a waiting stream is offered an engine that looks idle", start_share)
    waits = replace(
        explanation,
        outcome=ExplainedOutcome.WAITS,
        position=line.position,
        chances=(*explanation.chances, chance),
    )
    return waits.passed("line", f"{line.position} streams go before it")


def _name_roles(result: EngineSelection | RefuseStream | None) -> dict[str, ServerRole]:
    """Names the parts of the engines that were selected."""
    if result is None or isinstance(result, RefuseStream):
        return {}
    roles = {result.server.server_id: ServerRole.CHOSEN}
    if result.standby is not None:
        roles[result.standby.server_id] = ServerRole.STANDBY
    return roles


def _describe_start(selection: EngineSelection, explanation: Explanation) -> str:
    """Describes why the engine was selected."""
    name = selection.server.server_id
    if selection.prompts_ahead is None:
        return f"{name} is the first candidate, without a known report"
    when = "late" if selection.is_late else "on time"
    return (
        f"{name} has the lowest cost, first event expected in {explanation.estimate:.1f} s, {when}"
    )
