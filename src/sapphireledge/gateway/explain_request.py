"""Explains where a request would go now, without sending it."""

from __future__ import annotations

import asyncio
from dataclasses import asdict, replace
from typing import TYPE_CHECKING

from sapphireledge.core.explanation import Chance, Explanation
from sapphireledge.errors import ErrorKind, Failure
from sapphireledge.gateway.caller_request import CallerRequest
from sapphireledge.gateway.explain_plain import PlainExplainer
from sapphireledge.gateway.explain_stream import StreamExplainer
from sapphireledge.gateway.replay_rule import ReplayRule

if TYPE_CHECKING:
    from sapphireledge.core.explanation import Question
    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.gateway import Gateway
    from sapphireledge.gateway.route import Route
    from sapphireledge.gateway.routing_table import RoutingTable
    from sapphireledge.gateway.workspace_key import WorkspaceKey

__all__ = ["GatewayExplainer"]

ADMISSION_CHECKS = ("configuration", "route", "drain", "workspace", "service")
"""Steps of the admission, in order."""

CHECK_BY_KIND = {
    ErrorKind.NOT_CONFIGURED: "configuration",
    ErrorKind.PLATFORM_UNAVAILABLE: "configuration",
    ErrorKind.NOT_FOUND: "route",
    ErrorKind.SHUTTING_DOWN: "drain",
    ErrorKind.UNAUTHENTICATED: "workspace",
    ErrorKind.NO_BACKEND: "service",
}
"""Step of the admission that refuses with each error kind."""

KINDS = {
    ReplayRule.EVENT_STREAM: "stream",
    ReplayRule.IDEMPOTENT: "plain",
    ReplayRule.ONCE: "plain, at most once",
}
"""How requests of each rule are sent."""


class GatewayExplainer:
    """Explains where a request would go now, by the code that decides it."""

    def __init__(self, gateway: Gateway) -> None:
        """Creates the explainer.

        Args:
            gateway: The gateway that would receive the request.
        """
        self._gateway = gateway
        gateway.context.report_client.latest.is_enabled = True
        self._plain = PlainExplainer(gateway.context)
        self._streams = StreamExplainer(gateway.context, gateway.selector)

    async def explain(self, question: Question) -> Explanation | Failure:
        """Explains where a request would go now.

        Args:
            question: The request.

        Returns:
            The explanation, or why the question cannot be answered.
        """
        if not question.host or not question.path:
            return Failure(ErrorKind.INVALID_REQUEST, "host and path: are required")
        request = _build_request(question, asyncio.get_running_loop().time())
        admitted = self._gateway.admit(
            request,
            lambda table: _find_key(table, question),
            lambda route: _choose_service(route, question),
        )
        if isinstance(admitted, Failure):
            return self._explain_refusal(question, admitted)
        if question.service and question.service != admitted.service.name:
            reason = f"service: route {admitted.route.name} has no {question.service!r}"
            return Failure(ErrorKind.INVALID_REQUEST, reason)
        explanation = self._explain_admission(question, admitted)
        if admitted.route.replay is ReplayRule.EVENT_STREAM:
            return await self._streams.explain(admitted, explanation, fresh=question.fresh)
        return self._plain.explain(admitted, explanation)

    def _explain_refusal(self, question: Question, failure: Failure) -> Explanation:
        """Explains that the request would not be admitted."""
        check = CHECK_BY_KIND.get(failure.kind, "service")
        explanation = Explanation(workspace=question.workspace)
        table = self._gateway.config.table
        details = {} if table is None else self._describe_steps(question, table)
        for name in ADMISSION_CHECKS[: ADMISSION_CHECKS.index(check)]:
            explanation = explanation.passed(name, details.get(name, ""))
        if failure.kind is ErrorKind.UNAUTHENTICATED:
            reason = f"no API key belongs to the workspace {question.workspace!r}"
            if question.rank:
                reason += f" with rank {question.rank}"
            failure = replace(failure, reason=reason)
        return explanation.refused(check, failure)

    def _explain_admission(self, question: Question, admitted: AdmittedRequest) -> Explanation:
        """Explains why the request would be admitted."""
        route, service = admitted.route, admitted.service.name
        explanation = Explanation(
            route=route.name,
            service=service,
            workspace=admitted.workspace,
            rank=str(admitted.rank),
            kind=KINDS[route.replay],
            unknown=self._list_unknown(question),
            shared_load=self._describe_shared_load(),
        )
        table = self._gateway.config.table
        details = {} if table is None else self._describe_steps(question, table)
        details["workspace"] = _describe_workspace(admitted)
        total = sum(weight for _, weight in route.services)
        if len(route.services) > 1 and total:
            share = dict(route.services).get(service, 0.0) / total
            chance = Chance(f"service {service} of the route", share)
            explanation = replace(explanation, chances=(chance,))
        details["service"] = service
        for name in ADMISSION_CHECKS:
            explanation = explanation.passed(name, details.get(name, ""))
        return explanation

    def _describe_steps(self, question: Question, table: RoutingTable) -> dict[str, str]:
        """Describes the first steps of the admission."""
        age = self._gateway.config.age
        route = table.match(question.host, question.path)
        matched = "" if route is None else f"{route.name}, longest prefix {route.path_prefix}"
        is_stopping = self._gateway.context.is_stopping()
        return {
            "configuration": f"version {table.version}, confirmed {age:.1f} s ago",
            "route": matched,
            "drain": "shutting down, time is left" if is_stopping else "not shutting down",
        }

    def _list_unknown(self, question: Question) -> tuple[str, ...]:
        """Lists what could change the result and is not known here."""
        unknown = []
        if self._gateway.context.crashes.quarantine.has_deaths:
            unknown.append("whether this very request crashed servers: its body is not given")
        if question.last_event is not None:
            unknown.append("which engine keeps the prompt: a resumed stream asks engines first")
        table = self._gateway.config.table
        ranks = set() if table is None else {rank for rank, _ in _list_keys(table, question)}
        if len(ranks) > 1 and not question.rank:
            unknown.append(f"the key: those of the workspace have ranks {', '.join(sorted(ranks))}")
        if not question.parts:
            unknown.append("which of equal servers: without parts, the id of the request decides")
        return tuple(unknown)

    def _describe_shared_load(self) -> str:
        """Describes what is known of the load of other instances."""
        shared = self._gateway.context.shared_load.copy()
        summary = asdict(shared.summary(asyncio.get_running_loop().time()))
        return ", ".join(f"{name} {value}" for name, value in summary.items())


def _build_request(question: Question, now: float) -> CallerRequest:
    """Builds the request as if it had arrived now."""
    parts = question.parts
    return CallerRequest(
        method=question.method.encode(),
        target=question.path.encode(),
        host=question.host,
        headers=(),
        body=b"",
        received_at=now,
        wait_limit=question.deadline,
        last_event=question.last_event,
        resumes=question.first_attempt,
        prompt_tokens=question.prompt_length,
        output_tokens=question.output_tokens,
        affinity=parts[-1].part_id if parts else "",
        shared_parts=tuple(part.part_id for part in parts[:-1]),
        parts=parts,
    )


def _find_key(table: RoutingTable, question: Question) -> WorkspaceKey | None:
    """Finds a key of the workspace, with the wanted rank if there is one."""
    keys = _list_keys(table, question)
    return next((key for rank, key in keys if question.rank in ("", rank)), None)


def _list_keys(table: RoutingTable, question: Question) -> list[tuple[str, WorkspaceKey]]:
    """Lists the keys of the workspace, each with the rank of requests that use it."""
    route = table.match(question.host, question.path)
    route_rank = None if route is None else route.rank
    return [
        (str(route_rank if key.rank is None else key.rank), key)
        for key in table.keys.values()
        if key.workspace == question.workspace
    ]


def _choose_service(route: Route, question: Question) -> str:
    """Chooses the service that is asked for, or else the one with the largest weight."""
    names = [name for name, _ in route.services]
    if question.service in names:
        return question.service
    return max(route.services, key=lambda service: service[1])[0]


def _describe_workspace(admitted: AdmittedRequest) -> str:
    """Describes for whom a request counts."""
    if not admitted.workspace:
        return f"no API key is needed, rank {admitted.rank} of the route"
    source = "route" if admitted.rank == admitted.route.rank else "key"
    return f"{admitted.workspace}, rank {admitted.rank} of the {source}"
