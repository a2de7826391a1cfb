"""Explains where a request to the own interface would go now, without sending it."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import asdict, replace
from random import Random
from typing import TYPE_CHECKING

from sapphireledge.core.admission import Capacity, QueuedWork
from sapphireledge.core.explanation import (
    ExplainedOutcome,
    ExplainedServer,
    Explanation,
    ServerRole,
)
from sapphireledge.core.quarantine import hide_part
from sapphireledge.core.routing import Router, RouteRequest
from sapphireledge.entry.authenticate import authorize_rank
from sapphireledge.entry.caller_request import CallerRequest
from sapphireledge.entry.pool_work import PoolWork
from sapphireledge.entry.service_call import ServiceCall
from sapphireledge.errors import ErrorKind, Failure, Ran

if TYPE_CHECKING:
    from sapphireledge.core.declarations import Workspace
    from sapphireledge.core.explanation import Question
    from sapphireledge.core.quarantine import Quarantine
    from sapphireledge.core.routing import BackendState, BackendView
    from sapphireledge.entry.entry_parts import EntryParts
    from sapphireledge.entry.pool_rehearsal import PoolRehearsal

__all__ = ["RouteExplainer"]

TRIALS = 200
"""Choices by which the probability of each server is estimated; candidates are drawn at random."""

UNLIMITED = Capacity(1_000_000, 1_000_000)
"""Capacity at which a scheduler starts all that waits, in order."""

DEFAULT_OUTPUT = 512
"""Output in tokens if the question names none, as for a request that sets none."""


class RouteExplainer:
    """Explains where a request would go now, by the code that decides it."""

    def __init__(self, parts: EntryParts, view: BackendView, quarantine: Quarantine) -> None:
        """Creates the explainer.

        Args:
            parts: Components of the instance.
            view: State of the backend servers.
            quarantine: Quarantine of requests that crash backend servers.
        """
        self._parts = parts
        self._view = view
        self._quarantine = quarantine
        self._router = Router(parts.cfg.routing)

    async def explain(self, question: Question) -> Explanation | Failure:
        """Explains where a request would go now.

        Args:
            question: The request; load reports are polled all the time, so `fresh` has no effect.

        Returns:
            The explanation, or why the question cannot be answered.
        """
        if bool(question.model) == bool(question.service):
            return Failure(ErrorKind.INVALID_REQUEST, "model or service: one of them is required")
        name = question.workspace or self._parts.cfg.callers.default_workspace
        explanation = Explanation(
            service=question.model or question.service,
            workspace=name,
            unknown=("what other instances send in the meantime",),
        )
        refused = self._parts.lifecycle.refuse_new_work()
        if refused is not None:
            check = "drain" if refused.kind is ErrorKind.SHUTTING_DOWN else "configuration"
            return explanation.refused(check, refused)
        version = self._parts.config.applied_version
        explanation = explanation.passed("configuration", f"version {version}")
        workspace = self._parts.config.workspaces.get(name)
        if workspace is None:
            failure = Failure(ErrorKind.UNKNOWN_WORKSPACE, f"workspace {name!r} is not declared")
            return explanation.refused("workspace", failure)
        explanation = explanation.passed("workspace", name)
        if question.service:
            return self._explain_call(question, workspace, explanation)
        return self._explain_generation(question, workspace, explanation)

    def _explain_generation(
        self, question: Question, workspace: Workspace, explanation: Explanation
    ) -> Explanation:
        """Explains where a generation would start."""
        rank = question.rank or self._parts.cfg.callers.default_rank
        explanation = replace(explanation, rank=rank, kind="stream")
        forbidden = authorize_rank(workspace, rank)
        if forbidden is None and rank not in self._parts.config.ranks:
            forbidden = Failure(ErrorKind.INVALID_REQUEST, f"rank {rank!r} is not declared")
        if forbidden is not None:
            return explanation.refused("rank", forbidden)
        explanation = explanation.passed("rank", rank)
        now = time.monotonic()
        work = PoolWork(_build_request(question, workspace, rank), 1, 0, 0, "", "", (), now)
        rehearsal = self._parts.ctx.pool.rehearse(work, question.prompt_length)
        if isinstance(rehearsal, Failure):
            is_unknown = rehearsal.kind is ErrorKind.UNKNOWN_MODEL
            check = "route" if is_unknown else "quarantine"
            return explanation.refused(check, hide_part(rehearsal))
        request = rehearsal.request
        target = f"{request.model} {request.version}, role {request.role}"
        explanation = explanation.passed("route", target).passed("quarantine", "not held back")
        unknown = (
            *explanation.unknown,
            "which engine has the prompt cached: its text is not given",
        )
        explanation = replace(explanation, unknown=unknown)
        return self._choose(now, request, self._explain_admission(now, rehearsal, explanation))

    def _explain_admission(
        self, now: float, rehearsal: PoolRehearsal, explanation: Explanation
    ) -> Explanation:
        """Offers the request to a copy of the scheduler."""
        scheduler, queued = rehearsal.scheduler, rehearsal.queued
        explanation = replace(explanation, waiting=rehearsal.waiting, decided_by="admission")
        if scheduler is None:
            return _explain_long_queue(explanation)
        admitted = scheduler.offer(now, queued)
        if isinstance(admitted, Failure):
            return explanation.refused("admission", admitted)
        started = _list_started(scheduler.next(now, rehearsal.capacity))
        if queued.work_id in started:
            explanation = replace(explanation, decided_by="")
            return explanation.passed("admission", "a slot of this instance's share is free")
        order = _list_started(scheduler.next(now, UNLIMITED))
        position = order.index(queued.work_id) if queued.work_id in order else len(order)
        waits = replace(
            explanation,
            outcome=ExplainedOutcome.WAITS,
            position=position,
            estimate=admitted.wait,
        )
        detail = f"{position} requests go before it, wait of {admitted.wait:.1f} s expected"
        return waits.passed("admission", detail)

    def _explain_call(
        self, question: Question, workspace: Workspace, explanation: Explanation
    ) -> Explanation:
        """Explains where a call to a plain service would go."""
        service = self._parts.config.services.get(question.service)
        if service is None:
            reason = f"service: {question.service!r} is not declared"
            return explanation.refused("route", Failure(ErrorKind.NOT_FOUND, reason))
        once = question.method not in service.idempotent_methods
        explanation = replace(explanation, kind="plain, at most once" if once else "plain")
        explanation = explanation.passed("route", f"service {service.name}")
        path = question.path or "/"
        call = ServiceCall(service.name, question.method, path, b"", 0.0, workspace.name)
        content = call.content
        verdict = self._quarantine.verdict(
            time.time(), content.fingerprint, content.parts, content.scope
        )
        if isinstance(verdict, Failure):
            return explanation.refused("quarantine", hide_part(verdict))
        explanation = explanation.passed("quarantine", "not held back")
        return self._choose(time.monotonic(), RouteRequest(role=service.name), explanation)

    def _choose(self, now: float, request: RouteRequest, explanation: Explanation) -> Explanation:
        """Chooses a server many times, as the candidates are drawn at random."""
        if explanation.outcome is ExplainedOutcome.REFUSED:
            return explanation
        rng = Random(0)
        choices: Counter[str] = Counter()
        for _ in range(TRIALS):
            choice = self._router.choose(now, request, self._view, rng)
            if isinstance(choice, Failure):
                refused = explanation.refused("servers", replace(choice, ran=Ran.NO))
                return replace(refused, servers=self._list_servers(now, request, choices))
            choices[choice.backend] += 1
        chosen, count = choices.most_common(1)[0]
        explanation = replace(explanation, servers=self._list_servers(now, request, choices))
        return explanation.passed("servers", f"{chosen} is chosen in {count} of {TRIALS} draws")

    def _list_servers(
        self, now: float, request: RouteRequest, choices: Counter[str]
    ) -> tuple[ExplainedServer, ...]:
        """Lists the servers that run the model or service, the most probable first."""
        pool = self._view.pool(now, (request.model, request.version, request.role))
        cached = self._router.find_cached(now, request, self._view)
        best = choices.most_common(1)[0][0] if choices else ""
        found = []
        for state in self._view.states():
            name = state.instance.name
            reason = _find_reason(now, state, request)
            if reason is None:
                continue
            is_selected = pool is not None and pool.is_selected(name)
            if is_selected:
                role = ServerRole.CHOSEN if name == best else ServerRole.CANDIDATE
                reason = "" if self._view.is_fresh(state) else "its load report is too old"
            else:
                role = ServerRole.LEFT_OUT if reason else ServerRole.NOT_ASKED
            terms = self._router.explain(state, request, self._view, cached.get(name, 0.0))
            found.append(
                ExplainedServer(
                    name,
                    state.instance.data_centre,
                    request.version,
                    role,
                    reason,
                    None if state.report is None else now - state.report.as_of,
                    asdict(terms) if is_selected else {},
                    choices[name] / TRIALS if is_selected and choices else None,
                )
            )
        return tuple(sorted(found, key=lambda each: (-(each.chance or 0.0), each.name)))


def _explain_long_queue(explanation: Explanation) -> Explanation:
    """Explains a wait without the place in the line: a copy of a long line takes too much time."""
    count = sum(explanation.waiting.values())
    unknown = f"the place in the line and whether it is admitted: {count} requests wait"
    waits = replace(
        explanation, outcome=ExplainedOutcome.WAITS, unknown=(*explanation.unknown, unknown)
    )
    return waits.passed("admission", f"{count} requests wait, too many to tell its place")


def _find_reason(now: float, state: BackendState, request: RouteRequest) -> str | None:
    """Finds why a server takes no request; empty if it takes some, None if it serves others."""
    if state.instance.role != request.role and (
        state.report is None or state.report.role != request.role
    ):
        return None
    if state.leaving:
        return "leaving"
    if state.unreachable_since is not None:
        return "unreachable"
    if state.held_until is not None and state.held_until > now:
        return f"asked for a pause or names a limit, {state.held_until - now:.1f} s left"
    if request.model and state.report is None:
        return "no report is known"
    if request.model and not any(
        (model.model, model.version) == (request.model, request.version)
        for model in (state.report.models if state.report is not None else ())
    ):
        return f"has not loaded {request.model} {request.version}"
    return ""


def _list_started(items: list[object]) -> list[str]:
    """Lists the ids of the work that a scheduler started."""
    return [item.work_id for item in items if isinstance(item, QueuedWork)]


def _build_request(question: Question, workspace: Workspace, rank: str) -> CallerRequest:
    """Builds the request of a generation without its prompt."""
    return CallerRequest(
        request_id="",
        workspace=workspace.name,
        rank=rank,
        model=question.model,
        chat=False,
        stream=True,
        prompt="",
        max_tokens=question.output_tokens or DEFAULT_OUTPUT,
        body={},
        parts=tuple(part.part_id for part in question.parts),
        deadline=question.deadline,
    )
