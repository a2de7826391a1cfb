"""Admission of attempts and their assignment to backend servers."""

from __future__ import annotations

import asyncio
import time
from copy import deepcopy
from dataclasses import replace
from typing import TYPE_CHECKING

import structlog

from sapphireledge.backends import (
    CallFailure,
    CallFailureCause,
    EngineClient,
    prompt_text,
)
from sapphireledge.core.admission import (
    Capacity,
    DroppedWork,
    OutputEstimator,
    QueuedWork,
    RankScheduler,
    RetryBudget,
    divide_capacity,
    estimate_cost,
)
from sapphireledge.core.fleet import EngineState, choose_serving_version
from sapphireledge.core.fleet import ModelVersion as LoadedVersion
from sapphireledge.core.quarantine import ClearVerdict, IsolateVerdict, RequestContent
from sapphireledge.core.routing import Router, RouteRequest, hash_prefixes, is_software_gone
from sapphireledge.entry.death_checker import DeathChecker
from sapphireledge.entry.grant import Grant
from sapphireledge.entry.pool_rehearsal import PoolRehearsal
from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.telemetry import MetricName

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from sapphireledge.backends import AttemptStarted, ConnectionPools
    from sapphireledge.core.admission import UsageLedger
    from sapphireledge.core.config import ConfigState
    from sapphireledge.core.declarations import Deployment
    from sapphireledge.core.quarantine import Quarantine
    from sapphireledge.core.routing import BackendView, RouteChoice
    from sapphireledge.entry.caller_request import CallerRequest
    from sapphireledge.entry.pool_work import PoolWork
    from sapphireledge.entry.suspect_sink import SuspectSink
    from sapphireledge.settings import Settings
    from sapphireledge.telemetry import Metrics

__all__ = ["BackendPool"]

BYTES_PER_TOKEN = 4
"""Assumed bytes of prompt text per token, for cost estimates."""

BACKEND_TIMEOUT = 2.0
"""Seconds that an attempt waits for an available backend server before it is refused.

Together with the time to detect a silent engine it must stay below the 3 s within which output
must resume.
"""

BACKEND_POLL_INTERVAL = 0.05
"""Seconds between checks for an available backend server."""

ADMIT_INTERVAL = 0.02
"""Seconds between admission rounds while work is queued."""

MAX_COPIED = 256
"""Waiting requests of all models up to which the schedulers are copied to explain a decision."""

SERVING_VERSION_TTL = 0.5
"""Seconds for which the serving version of a deployment is cached, so that engines are not counted
for each request; load reports are no more recent than that."""


class BackendPool:
    """Admits attempts and assigns them to backend servers.

    `RankScheduler`, `Router` and `Quarantine` make the decisions; this class manages the waiting
    tasks and reports events to them.
    """

    def __init__(
        self,
        cfg: Settings,
        config: ConfigState,
        view: BackendView,
        ledger: UsageLedger,
        quarantine: Quarantine,
        pools: ConnectionPools,
        suspects: SuspectSink,
        metrics: Metrics,
        rng: Random,
        count_entries: Callable[[], int],
    ) -> None:
        """Creates the pool.

        Args:
            cfg: Settings of the instance.
            config: Declarations in force.
            view: View of the backend servers.
            ledger: Usage of workspaces.
            quarantine: Quarantine of requests that crash engines.
            pools: Connections to backend servers.
            suspects: Receives engine deaths, completed requests and leaving backend servers.
            metrics: Metrics of the instance.
            rng: Random number generator for routing.
            count_entries: Returns the number of live instances, which share the backend servers.
        """
        self._cfg = cfg
        self._config = config
        self._view = view
        self._ledger = ledger
        self._pools = pools
        self._suspects = suspects
        self._metrics = metrics
        self._rng = rng
        self._count_entries = count_entries
        self._router = Router(cfg.routing)
        self._retry_budget = RetryBudget(cfg.admission)
        self._output_estimator = OutputEstimator()
        self._schedulers: dict[tuple[str, str], RankScheduler] = {}
        self._waiting: dict[str, asyncio.Future[Failure | None]] = {}
        self._clients: dict[str, EngineClient] = {}
        self._deaths = DeathChecker(view, quarantine, suspects, count_entries)
        self._serving_versions: dict[str, tuple[str, float]] = {}
        self._work_queued = asyncio.Event()
        self._log = structlog.get_logger()

    @property
    def running(self) -> int:
        """Number of running attempts."""
        return self._deaths.running

    @property
    def queued(self) -> int:
        """Number of queued attempts."""
        return sum(scheduler.queued for scheduler in self._schedulers.values())

    def schedulers(self) -> tuple[RankScheduler, ...]:
        """Lists the schedulers.

        Returns:
            One scheduler for each model version in use.
        """
        return tuple(self._schedulers.values())

    def get_client(self, address: str) -> EngineClient:
        """Returns the client of an engine, creating it if necessary.

        Args:
            address: Address in the form IP:port.

        Returns:
            The client.
        """
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = EngineClient(address, self._pools)
        return client

    async def run(self) -> None:
        """Admits queued work until the task is cancelled."""
        while True:
            self.admit_ready()
            if self._waiting:
                await asyncio.sleep(ADMIT_INTERVAL)
                continue
            self._work_queued.clear()
            await self._work_queued.wait()

    def admit_ready(self) -> None:
        """Admits the queued work for which there is capacity now."""
        now = time.monotonic()
        for (model, version), scheduler in self._schedulers.items():
            if not scheduler.queued:
                continue
            capacity = self._compute_capacity(now, model, version, scheduler)
            for item in scheduler.next(now, capacity):
                if isinstance(item, DroppedWork):
                    self._resolve(item.work.work_id, item.failure)
                else:
                    self._resolve(item.work_id, None)

    async def acquire(self, work: PoolWork) -> Grant | Failure:
        """Waits for admission and chooses a backend server.

        Args:
            work: The attempt.

        Returns:
            The grant, or why the attempt is refused.
        """
        deployment = self._find_deployment(work.req.model)
        if isinstance(deployment, Failure):
            return deployment
        refused = await self._reject_early(work)
        if refused is not None:
            return refused
        version = work.version or self._get_serving_version(deployment)
        request = self._build_route_request(work, deployment, version)
        scheduler = self._get_scheduler(work.req.model, version)
        queued = self._build_queued_work(work, request)
        refused = await self._wait_in_queue(scheduler, queued, request)
        if refused is not None:
            return refused
        choice = await self._choose_backend(request)
        if isinstance(choice, Failure):
            scheduler.withdraw(queued.work_id)
            return choice
        return self._create_grant(work, request, scheduler, choice, version)

    def rehearse(self, work: PoolWork, prompt_tokens: int) -> PoolRehearsal | Failure:
        """Prepares a decision about an attempt that is not carried out.

        Args:
            work: The attempt; its request has no prompt.
            prompt_tokens: Length of the prompt in tokens.

        Returns:
            What decides about it, or why it is refused.
        """
        req = work.req
        deployment = self._find_deployment(req.model)
        if isinstance(deployment, Failure):
            return deployment
        verdict = self._deaths.judge_now(_describe_content(req), req.request_id)
        if isinstance(verdict, Failure):
            return verdict
        version = choose_serving_version(deployment, self._list_engine_states())
        request = self._build_route_request(work, deployment, version)
        request = replace(request, prompt_tokens=max(1, prompt_tokens))
        known = self._schedulers.get((req.model, version))
        copied = self._copy_scheduler(known)
        loads = () if known is None else known.loads()
        waiting = {load.rank: load.queued for load in loads if load.queued}
        capacity = self._compute_capacity(time.monotonic(), req.model, version, known or copied)
        queued = self._build_queued_work(work, request)
        return PoolRehearsal(request, queued, copied, capacity, waiting)

    def _copy_scheduler(self, known: RankScheduler | None) -> RankScheduler | None:
        """Copies a scheduler, or creates one; returns None if a copy takes too much time.

        All schedulers watch the ledger, so a copy of one has copies of the others.
        """
        is_short = sum(each.queued for each in self._schedulers.values()) <= MAX_COPIED
        if known is None:
            ledger = deepcopy(self._ledger) if is_short else None
            return RankScheduler(self._config.ranks, self._cfg.admission, ledger)
        if not is_short:
            return None
        copied = deepcopy(known)
        copied.set_ranks(self._config.ranks)
        return copied

    def on_completed(self, req: CallerRequest, tokens: int) -> None:
        """Handles an answer that completed.

        Args:
            req: The request.
            tokens: Number of tokens of the answer.
        """
        self._output_estimator.on_finished(f"{req.model}/{req.rank}", tokens)
        self._deaths.on_survived(req.parts)
        self._suspects.report_completion(req.fingerprint)

    def on_started(self, grant: Grant, event: AttemptStarted) -> None:
        """Handles an engine that began to answer.

        Args:
            grant: Grant of the attempt.
            event: What the engine answered.
        """
        self._view.on_response(time.monotonic(), grant.backend, event.signals)
        self._view.on_software(grant.backend, event.software)
        self._deaths.on_begun(grant.work_id)

    def on_token(self, grant: Grant) -> None:
        """Handles a token of an answer.

        Args:
            grant: Grant of the attempt.
        """
        self._deaths.on_progress(grant.work_id)

    def on_call_failure(self, grant: Grant, event: CallFailure) -> None:
        """Handles a failed call to an engine.

        Args:
            grant: Grant of the attempt.
            event: How the call failed.
        """
        now = time.monotonic()
        if event.signals is not None:
            self._view.on_response(now, grant.backend, event.signals)
        if event.cause is CallFailureCause.LEAVING:
            self._view.on_leaving(now, grant.backend, grant.boot_id)
            self._suspects.report_leaving(grant.backend)
        elif event.cause in (CallFailureCause.NOT_CONNECTED, CallFailureCause.CONNECTION_LOST):
            self._view.on_unreachable(now, grant.backend)
            if event.cause is CallFailureCause.CONNECTION_LOST:
                self._deaths.check(grant)
        elif event.cause in (CallFailureCause.NO_ANSWER, CallFailureCause.TRUNCATED):
            self._view.on_unreachable(now, grant.backend)

    def on_probe_failed(self, grant: Grant) -> None:
        """Handles an engine that did not respond to a probe.

        Args:
            grant: Grant of the attempt.
        """
        self._view.on_unreachable(time.monotonic(), grant.backend)

    def _create_grant(
        self,
        work: PoolWork,
        request: RouteRequest,
        scheduler: RankScheduler,
        choice: RouteChoice,
        version: str,
    ) -> Grant:
        """Records the dispatch to the chosen backend server and creates the grant."""
        content = _describe_content(work.req)
        self._deaths.track(work.work_id, choice.backend, content, isolated=request.isolate)
        self._view.on_dispatch(
            time.monotonic(),
            choice.backend,
            work.work_id,
            suspect=request.suspect,
            isolate=request.isolate,
            prefixes=request.prefixes,
        )
        rank = self._config.ranks.get(work.req.rank)
        return Grant(
            work.work_id,
            choice,
            version,
            rank.order if rank is not None else 0,
            self.get_client(choice.address),
            scheduler,
            self._on_release,
        )

    def _on_release(self, grant: Grant, now: float) -> None:
        """Removes an ended attempt and admits further work."""
        self._deaths.untrack(grant.work_id)
        self._view.on_end(now, grant.backend, grant.work_id)
        self.admit_ready()

    async def _reject_early(self, work: PoolWork) -> Failure | None:
        """Rejects condemned requests, and retries beyond the retry budget; resumes are exempt."""
        now = time.monotonic()
        if work.attempt == 1:
            self._retry_budget.on_first_attempt(now)
        else:
            await self._deaths.wait_for_checks()
        req = work.req
        verdict = await self._deaths.judge(_describe_content(req), req.request_id)
        if isinstance(verdict, Failure):
            return verdict
        if work.attempt > 1 and work.offset == 0 and not self._retry_budget.try_spend(now):
            reason = "the retry budget is exhausted"
            return Failure(ErrorKind.OVERLOADED, reason, retry_after=1.0)
        return None

    def _build_route_request(
        self, work: PoolWork, deployment: Deployment, version: str
    ) -> RouteRequest:
        """Builds the routing request of the attempt."""
        req = work.req
        verdict = self._deaths.judge_now(_describe_content(req), req.request_id)
        output = self._output_estimator.expected(f"{req.model}/{req.rank}")
        prompt_tokens = max(1, len(req.prompt) // BYTES_PER_TOKEN) + work.offset
        _, output_tokens = estimate_cost(prompt_tokens, 0.0, output, req.max_tokens - work.offset)
        return RouteRequest(
            model=req.model,
            version=version,
            role=deployment.role,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            prefixes=hash_prefixes(prompt_text(req.body)),
            prefer=(work.prefer,) if work.prefer else (),
            avoid=work.avoid,
            suspect=not isinstance(verdict, ClearVerdict),
            isolate=isinstance(verdict, IsolateVerdict),
            resume=work.offset > 0,
            software=work.software,
        )

    def _build_queued_work(self, work: PoolWork, request: RouteRequest) -> QueuedWork:
        """Builds the queue entry of the attempt."""
        req = work.req
        workspace = self._config.workspaces.get(req.workspace)
        deadline = None if req.deadline is None else work.arrived_at + req.deadline
        return QueuedWork(
            work_id=work.work_id,
            rank=req.rank,
            workspace=req.workspace,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            weight=workspace.weight if workspace is not None else 1.0,
            deadline=deadline if work.offset == 0 else None,
            delivered=work.offset,
        )

    async def _wait_in_queue(
        self, scheduler: RankScheduler, queued: QueuedWork, request: RouteRequest
    ) -> Failure | None:
        """Waits until the scheduler admits the work."""
        missing = await self._wait_for_backend(request)
        if missing is not None:
            return missing
        now = time.monotonic()
        scheduler.set_ranks(self._config.ranks)
        admitted = scheduler.offer(now, queued)
        if isinstance(admitted, Failure):
            return admitted
        future = asyncio.get_running_loop().create_future()
        self._waiting[queued.work_id] = future
        self.admit_ready()
        self._work_queued.set()
        try:
            refused = await future
        except asyncio.CancelledError:
            scheduler.withdraw(queued.work_id)
            raise
        finally:
            self._waiting.pop(queued.work_id, None)
        waited = time.monotonic() - now
        self._metrics.time(MetricName.QUEUE_WAIT, waited, queued.rank)
        return refused

    async def _wait_for_backend(self, request: RouteRequest) -> Failure | None:
        """Waits until a backend server serves the model version, for at most `BACKEND_TIMEOUT`."""
        deadline = time.monotonic() + BACKEND_TIMEOUT
        while True:
            now = time.monotonic()
            refused = self._check_software(request)
            if refused is not None:
                return refused
            if self._view.capacity(now, request.model, request.version, request.role).total > 0:
                return None
            if now >= deadline:
                what = f"{request.model} {request.version}"
                reason = f"no backend server serves {what}"
                ran = Ran.YES if request.resume else Ran.NO
                return Failure(ErrorKind.NO_BACKEND, reason, ran, retry_after=1.0)
            await asyncio.sleep(BACKEND_POLL_INTERVAL)

    def _check_software(self, request: RouteRequest) -> Failure | None:
        """Refuses a resume if the software version that began the answer is gone."""
        if not request.resume or not is_software_gone(self._view, request):
            return None
        wanted = request.software or "unknown"
        reason = f"no backend server of software version {wanted} is left to resume the answer"
        return Failure(ErrorKind.NO_BACKEND, reason, Ran.YES)

    async def _choose_backend(self, request: RouteRequest) -> RouteChoice | Failure:
        """Chooses a backend server, waiting for at most `BACKEND_TIMEOUT` if none is available."""
        deadline = time.monotonic() + BACKEND_TIMEOUT
        while True:
            now = time.monotonic()
            refused = self._check_software(request)
            if refused is not None:
                return refused
            choice = self._router.choose(now, request, self._view, self._rng)
            if not isinstance(choice, Failure) or now >= deadline:
                return choice
            await asyncio.sleep(BACKEND_POLL_INTERVAL)

    def _compute_capacity(
        self, now: float, model: str, version: str, scheduler: RankScheduler
    ) -> Capacity:
        """Computes this instance's share of the capacity for a model version."""
        capacity = self._view.capacity(now, model, version, self._get_role(model))
        own_running = sum(load.running for load in scheduler.loads())
        return divide_capacity(capacity, self._count_entries(), own_running)

    def _get_serving_version(self, deployment: Deployment) -> str:
        """Returns the version for new requests: the old one until enough engines have the new."""
        now = time.monotonic()
        version, expires_at = self._serving_versions.get(deployment.name, ("", 0.0))
        if now >= expires_at:
            version = choose_serving_version(deployment, self._list_engine_states())
            self._serving_versions[deployment.name] = version, now + SERVING_VERSION_TTL
        return version

    def _list_engine_states(self) -> list[EngineState]:
        """Lists the reported state of the engines that are not leaving."""
        return [
            EngineState(
                state.instance.name,
                state.report.role,
                frozenset(LoadedVersion(m.model, m.version) for m in state.report.models),
            )
            for state in self._view.states()
            if state.report is not None and not state.leaving
        ]

    def _get_scheduler(self, model: str, version: str) -> RankScheduler:
        """Returns the scheduler of a model version, creating it if necessary."""
        key = (model, version)
        scheduler = self._schedulers.get(key)
        if scheduler is None:
            scheduler = RankScheduler(self._config.ranks, self._cfg.admission, self._ledger)
            self._schedulers[key] = scheduler
        return scheduler

    def _find_deployment(self, model: str) -> Deployment | Failure:
        """Returns the deployment of a model, or a refusal."""
        deployment = self._config.index.deployment_for(model)
        if deployment is None:
            return Failure(ErrorKind.UNKNOWN_MODEL, f"model: {model!r} is not declared")
        return deployment

    def _get_role(self, model: str) -> str:
        """Returns the role of the engines that serve a model."""
        deployment = self._config.index.deployment_for(model)
        return deployment.role if deployment is not None else "drafting"

    def _resolve(self, work_id: str, failure: Failure | None) -> None:
        """Completes the wait of queued work; a failure refuses it."""
        future = self._waiting.get(work_id)
        if future is not None and not future.done():
            future.set_result(failure)


def _describe_content(req: CallerRequest) -> RequestContent:
    """Describes by what engine deaths are attributed to a request."""
    scope = "" if req.parts else f"{req.model}/{req.workspace}"
    return RequestContent(req.fingerprint, req.parts, req.model, scope)
