"""Explains where a request whose response is not a stream would go now."""

from __future__ import annotations

import asyncio
from dataclasses import asdict, replace
from typing import TYPE_CHECKING

from sapphireledge.core.explanation import Chance, ExplainedOutcome, ServerRole
from sapphireledge.core.quarantine import hide_part
from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.gateway.decision_trace import DecisionTrace
from sapphireledge.gateway.explain_servers import explain_servers, find_left_out
from sapphireledge.gateway.plain_choice import PlainChoice

if TYPE_CHECKING:
    from sapphireledge.core.explanation import Explanation
    from sapphireledge.core.quarantine import ClearVerdict, IsolateVerdict
    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.gateway_context import GatewayContext

__all__ = ["PlainExplainer"]


class PlainExplainer:
    """Chooses a server for a request on copies of the state that a choice changes."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context

    def explain(self, admitted: AdmittedRequest, explanation: Explanation) -> Explanation:
        """Explains where a request would go now.

        Args:
            admitted: The request.
            explanation: Its way so far.

        Returns:
            The complete explanation.
        """
        now = asyncio.get_running_loop().time()
        service = admitted.service.name
        context = self._context.copy_for(service, admitted.request, DecisionTrace())
        shedder = context.load_shedder(service)
        chance = shedder.on_arrival(now, admitted.rank, admitted.workspace)
        if chance < 1.0:
            forwarded = Chance("forwarded although the service is overloaded", chance)
            explanation = replace(explanation, chances=(*explanation.chances, forwarded))
            detail = f"the service is overloaded, forwarded with probability {chance:.2f}"
            explanation = explanation.passed("load shedding", detail)
        else:
            explanation = explanation.passed("load shedding", "all requests are forwarded")
        verdict = context.crashes.judge(admitted)
        if isinstance(verdict, Failure):
            return explanation.refused("quarantine", hide_part(verdict))
        explanation = explanation.passed("quarantine", f"{verdict.deaths} deaths count against it")
        choice = PlainChoice(context)
        if not choice.permits_attempt(admitted, set()):
            reason = f"{admitted.deadline - now:.2f} s until the deadline are too short"
            return explanation.refused("time", Failure(ErrorKind.OVERLOADED, reason, Ran.NO))
        time_left = f"{admitted.deadline - now:.1f} s until the deadline"
        return self._choose(context, admitted, verdict, explanation.passed("time", time_left))

    def _choose(
        self,
        context: GatewayContext,
        admitted: AdmittedRequest,
        verdict: ClearVerdict | IsolateVerdict,
        explanation: Explanation,
    ) -> Explanation:
        """Explains the choice of the server, or the wait for one."""
        now = asyncio.get_running_loop().time()
        service, choice = admitted.service.name, PlainChoice(context)
        avoided = context.crashes.avoided_servers(verdict)
        left_out = find_left_out(context, admitted, avoided, is_retry=False)
        terms = {
            server.server_id: asdict(cost)
            for server in context.registry.list_servers(service)
            if server.server_id not in left_out
            and (cost := context.registry.explain_cost(now, server.server_id)) is not None
        }
        server, _ = choice.choose(admitted, set(), verdict)
        reserved = None if server is not None else choice.reserve(admitted, set(), verdict)
        chosen = server if reserved is None else reserved[0]
        roles = {} if chosen is None else {chosen.server_id: ServerRole.CHOSEN}
        servers = explain_servers(context, service, terms, left_out, roles)
        explanation = replace(explanation, servers=servers)
        if server is not None:
            detail = f"{server.server_id} has the lowest cost; affinity decides among equal ones"
            return explanation.passed("servers", detail)
        if reserved is None:
            reason = "no backend server takes the request"
            return explanation.refused("servers", Failure(ErrorKind.OVERLOADED, reason, Ran.NO))
        wait = reserved[1] - now
        waits = replace(explanation, outcome=ExplainedOutcome.WAITS, estimate=wait)
        return waits.passed("servers", f"{reserved[0].server_id} takes a request in {wait:.2f} s")
