"""Choice of the engine of a stream, and of the time at which it starts."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sapphireledge.core.placement import (
    EngineView,
    PendingStream,
    RefuseStream,
    StartStream,
    WaitForEngine,
    choose_candidates,
    compute_start_share,
)
from sapphireledge.errors import Failure
from sapphireledge.gateway.engine_looks import CACHE_CANDIDATES
from sapphireledge.gateway.engine_views import RECENT_DISPATCH_WINDOW
from sapphireledge.gateway.fetched_looks import REPORT_TIMEOUT
from sapphireledge_experiment.model.latencies import one_way_delay
from sapphireledge_experiment.model.simulated_instance import ENGINES
from sapphireledge_experiment.model.start_order import StartOrder

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge_experiment.model.modelled_request import ModelledRequest
    from sapphireledge_experiment.model.simulated_engine import SimulatedEngine
    from sapphireledge_experiment.model.simulated_instance import SimulatedInstance
    from sapphireledge_experiment.model.tried_engines import TriedEngines

__all__ = ["EnginePlacer"]


class EnginePlacer:
    """Places a stream by load reports, and repeats that while it has to wait.

    The order of the steps is that of `EngineSelector`, without its waiting line; each decision is
    the one that it calls.
    """

    def __init__(
        self,
        instance: SimulatedInstance,
        request: ModelledRequest,
        tried: TriedEngines,
        on_start: Callable[[StartOrder], None],
        on_refused: Callable[[float], None],
        on_failed: Callable[[], None],
    ) -> None:
        """Creates the placer of one call.

        Args:
            instance: The instance.
            request: The request.
            tried: What the call has tried so far.
            on_start: Called with the engine that runs the stream.
            on_refused: Called with the seconds after which the caller may return.
            on_failed: Called if there is no engine.
        """
        self._instance = instance
        self._world = instance.world
        self._clock = instance.world.clock
        self._request = request
        self._tried = tried
        self._on_start = on_start
        self._on_refused = on_refused
        self._on_failed = on_failed
        self._avoided: frozenset[str] = frozenset()
        self._work_id = ""
        self._is_stopped = False

    def begin(self, avoided: frozenset[str]) -> None:
        """Places the stream for another attempt.

        Args:
            avoided: Server ids of engines that are used only if there is no other.
        """
        self._avoided = avoided
        queue = self._instance.queue
        if queue is None:
            self.place()
            return
        admitted = queue.offer(self._request, self.place, self._on_refused)
        if isinstance(admitted, Failure):
            self._on_refused(admitted.retry_after or 0.0)
        else:
            self._work_id = admitted

    def on_event(self) -> None:
        """Counts an event of the stream against its workspace."""
        if self._instance.queue is not None:
            self._instance.queue.on_event(self._work_id, self._request.event_tokens)

    def end_run(self) -> None:
        """Releases the slot of the run."""
        if self._instance.queue is not None:
            self._instance.queue.end(self._work_id)

    def stop(self) -> None:
        """Ends the wait for an engine, because the call has ended."""
        self._is_stopped = True
        self.end_run()
        self.end_wait()

    def end_wait(self) -> None:
        """Removes the stream from those that wait at the instance."""
        self._instance.waiting_due.pop(self, None)

    def place(self, waits: int = 0) -> None:
        """Lists candidates and fetches their reports.

        Args:
            waits: How often this attempt has waited for an engine.
        """
        if self._is_stopped:
            return
        instance, registry, now = self._instance, self._instance.registry, self._clock.now
        holder = self._take_copy_holder()
        if holder is not None and registry.try_take(now, holder.name):
            self._on_start(StartOrder(holder, copy_of=self._tried.previous))
            return
        if self._request.delivered and not self._tried.contacted and not waits:
            keeper = self._find_keeper()
            if keeper is not None and registry.try_take(now, keeper.name):
                self._on_start(StartOrder(keeper))
                return
        excluded = self._choose_excluded()
        ranked = (
            registry.list_preferred(now, ENGINES, excluded)
            if waits
            else registry.rank_servers(now, ENGINES, self._request.key, excluded)
        )
        candidates = choose_candidates(
            (server for server in ranked if registry.admits(now, server.server_id)),
            lambda server: server.data_centre == str(instance.data_centre),
            waits,
            registry.list_rated(now, ENGINES, excluded),
        )
        if not candidates:
            self._wait_for_admission(excluded, waits)
            return
        engines = [self._world.engines.get(server.server_id) for server in candidates]
        delays = [
            (
                REPORT_TIMEOUT
                if engine is None or engine.is_dead or engine.is_silent
                else 2 * self._delay_to(engine)
            )
            for engine in engines
        ]
        self._clock.after(max(delays), lambda: self._decide(candidates, waits))

    def _choose_excluded(self) -> frozenset[str]:
        """Returns the engines to leave out; they are used if there are no others."""
        registry, now = self._instance.registry, self._clock.now
        failed = frozenset(self._tried.failed)
        for excluded in (failed | self._avoided, failed):
            if registry.next_admission(now, ENGINES, excluded) < math.inf:
                return excluded
        return frozenset()

    def _find_keeper(self) -> SimulatedEngine | None:
        """Finds an engine that kept the KV cache of a stream whose caller resumes it."""
        instance = self._instance
        ranked = instance.registry.rank_servers(self._clock.now, ENGINES, self._request.key)
        ranked.sort(key=lambda server: server.data_centre != str(instance.data_centre))
        for server in ranked[:CACHE_CANDIDATES]:
            engine = self._world.engines.get(server.server_id)
            if engine is not None and engine.keeps(self._request.number) and not engine.is_silent:
                return engine
        return None

    def _take_copy_holder(self) -> SimulatedEngine | None:
        """Returns the engine with the complete copy of the run that was lost, once."""
        run = self._tried.previous
        if run is None or run.copied_at is None or run.standby is None:
            return None
        is_complete = run.copied_at <= self._clock.now
        run.copied_at = None
        if not is_complete or run.standby.is_dead:
            return None
        return self._world.engines[run.standby.name]

    def _wait_for_admission(self, excluded: frozenset[str], waits: int) -> None:
        """Waits or refuses while no engine takes requests."""
        instance, now = self._instance, self._clock.now
        admission_at = instance.registry.next_admission(now, ENGINES, excluded)
        if admission_at == math.inf:
            self._on_failed()
            return
        decision = instance.rule.decide_without_engine(
            now, self._describe(), admission_at, instance.estimator
        )
        if isinstance(decision, RefuseStream):
            self._on_refused(decision.retry_after)
            return
        self._clock.after(decision.delay, lambda: self.place(waits + 1))

    def _decide(self, candidates: list[BackendServer], waits: int) -> None:
        """Decides by the reports whether the stream starts, waits or is refused."""
        if self._is_stopped:
            return
        instance, now = self._instance, self._clock.now
        views, engines = self._build_views(candidates)
        if not views:
            engine = self._world.engines.get(candidates[0].server_id)
            if engine is not None and instance.registry.try_take(now, engine.name):
                self._on_start(StartOrder(engine))
            else:
                self._clock.after(REPORT_TIMEOUT, lambda: self.place(waits + 1))
            return
        views = [view for view in views if instance.registry.admits(now, view.engine)]
        if not views:
            self.place(waits)
            return
        stream = self._describe()
        share = compute_start_share(instance.registry.count(ENGINES), self._world.count_instances())
        decision = instance.rule.decide(
            now,
            stream,
            views,
            instance.estimator,
            may_wait=self._world.policy.hold and instance.queue is None,
            start_share=share if waits else 1.0,
            generation_time=(
                instance.generation.estimate(self._request.output_tokens)
                if self._world.policy.finish_estimate
                else 0.0
            ),
        )
        decision = self._apply_ideas(decision, stream, views)
        if isinstance(decision, RefuseStream):
            self._on_refused(decision.retry_after)
        elif isinstance(decision, WaitForEngine):
            instance.waiting_due[self] = stream.due_at
            self._clock.after(decision.delay, lambda: self.place(waits + 1))
        elif instance.registry.try_take(now, decision.engine):
            view = next(view for view in views if view.engine == decision.engine)
            has_room = instance.rule.has_room_for_copies(stream, views)
            engine = engines[decision.engine]
            standby = self._choose_standby(engine) if has_room else None
            self._on_start(StartOrder(engine, standby, decision.is_late, view.prompts_ahead))
        else:
            self.place(waits)

    def _build_views(
        self, candidates: list[BackendServer]
    ) -> tuple[list[EngineView], dict[str, SimulatedEngine]]:
        """Builds the views of the candidates that sent a report."""
        instance, now = self._instance, self._clock.now
        views, engines = [], {}
        for server in candidates:
            engine = self._world.engines.get(server.server_id)
            if engine is None or engine.is_dead or engine.is_silent:
                instance.registry.on_unreachable(now, server)
                continue
            instance.apply_signals(engine.name, engine.signals)
            if engine.signals.is_leaving:
                continue
            waiting, prefilling, running, free = engine.report
            engines[engine.name] = engine
            views.append(
                EngineView(
                    engine.name,
                    engine.data_centre == instance.data_centre,
                    waiting,
                    prefilling,
                    running,
                    instance.count_dispatches(engine.name, RECENT_DISPATCH_WINDOW),
                    free * engine.cfg.block,
                )
            )
        return views, engines

    def _apply_ideas(
        self,
        decision: StartStream | WaitForEngine | RefuseStream,
        stream: PendingStream,
        views: list[EngineView],
    ) -> StartStream | WaitForEngine | RefuseStream:
        """Changes a decision by the ideas of the policy."""
        policy, instance = self._world.policy, self._instance
        if not isinstance(decision, StartStream):
            return decision
        if policy.refuse_early and not stream.has_run:
            best = min(view.prompts_ahead for view in views)
            if self._clock.now + instance.estimator.estimate(best) > stream.leaves_at:
                return RefuseStream(decision.estimate, decision.estimate)
        if policy.wait_in_order and not decision.is_late:
            earlier = (due for due in instance.waiting_due.values() if self._clock.now < due)
            if any(due < stream.due_at for due in earlier):
                return WaitForEngine(policy.placement.retry_interval, decision.estimate)
        limit = policy.resumes_per_engine
        if limit and stream.has_run and instance.count_resumes(decision.engine) >= limit:
            return WaitForEngine(policy.placement.retry_interval, decision.estimate)
        return decision

    def _choose_standby(self, engine: SimulatedEngine) -> SimulatedEngine | None:
        """Chooses the engine that receives a copy, in another data centre if possible."""
        policy, instance = self._world.policy, self._instance
        if not policy.copies:
            return None
        ranked = instance.registry.rank_servers(
            self._clock.now,
            ENGINES,
            self._request.key,
            {*self._tried.failed, engine.name},
            {*self._tried.lost_centres, str(engine.data_centre)},
        )
        if not ranked:
            return None
        first = ranked[0]
        if policy.spread_standby:
            remote = [s for s in ranked if s.data_centre != str(engine.data_centre)]
            first = instance.rng.choice(remote or ranked)
        return self._world.engines.get(first.server_id)

    def _describe(self) -> PendingStream:
        """Describes the stream to the placement rule."""
        request, now = self._request, self._clock.now
        return PendingStream(
            request.prompt_tokens,
            request.output_tokens,
            request.kind.rank,
            now if request.delivered else request.arrived + request.kind.target,
            request.leaves_at,
            request.deadline,
            self._tried.has_run,
        )

    def _delay_to(self, engine: SimulatedEngine) -> float:
        """One-way delay to an engine in seconds."""
        fleet = self._world.experiment.fleet
        return one_way_delay(fleet, self._instance.data_centre, engine.data_centre)
