"""Work of an instance on one call for a stream."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sapphireledge.core.liveness import RunSighting, StreamWatch
from sapphireledge.core.placement import (
    EngineView,
    PendingStream,
    RefuseStream,
    StartStream,
    WaitForEngine,
    choose_candidates,
    compute_start_share,
)
from sapphireledge.gateway.engine_selector import (
    CACHE_CANDIDATES,
    RECENT_DISPATCH_WINDOW,
    REPORT_TIMEOUT,
)
from sapphireledge.gateway.stream_attempt import LATE_RANK_OFFSET
from sapphireledge.gateway.stream_forwarder import MIN_ATTEMPT_TIME
from sapphireledge_experiment.model.engine_run import EngineRun
from sapphireledge_experiment.model.latencies import one_way_delay
from sapphireledge_experiment.model.simulated_instance import ENGINES

if TYPE_CHECKING:
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge_experiment.model.modelled_request import ModelledRequest
    from sapphireledge_experiment.model.simulated_caller import SimulatedCaller
    from sapphireledge_experiment.model.simulated_engine import SimulatedEngine
    from sapphireledge_experiment.model.simulated_instance import SimulatedInstance

__all__ = ["StreamDriver"]


class StreamDriver:
    """Makes attempts until the stream is complete or none is left to make.

    The order of the steps is that of `StreamForwarder` and `EngineSelector`; each decision is the
    one that they call.
    """

    def __init__(
        self, instance: SimulatedInstance, request: ModelledRequest, caller: SimulatedCaller
    ) -> None:
        """Begins the call.

        Args:
            instance: The instance.
            request: The request; events that the caller has are not generated again.
            caller: Receiver of events and of the end.
        """
        self._instance = instance
        self._world = instance.world
        self._clock = instance.world.clock
        self._request = request
        self._caller = caller
        self._run: EngineRun | None = None
        self._engine: SimulatedEngine | None = None
        self._watch: StreamWatch | None = None
        self._previous: EngineRun | None = None
        self._ahead: int | None = None
        self._sent_at = self._first_event_at = 0.0
        self._failed: set[str] = set()
        self._lost_centres: set[str] = set()
        self._contacted = 0
        self._has_run = request.runs > 0
        self._is_over = False
        instance.drivers[self] = None
        self._begin_attempt()

    def on_instance_died(self) -> None:
        """Ends the work because the instance died."""
        self._leave_engine("instance lost")
        self._end()
        self._caller.on_cut(self)

    def cancel(self, cause: str) -> None:
        """Ends the work because the caller left.

        Args:
            cause: Cause of the tokens in vain.
        """
        self._leave_engine(cause)
        self._end()

    # Attempts.

    def _begin_attempt(self) -> None:
        """Checks the limits for another attempt and selects an engine."""
        kind, now = self._request.kind, self._clock.now
        allowance = self._instance.allowance(ENGINES)
        if self._contacted >= kind.max_attempts or self._request.deadline - now < MIN_ATTEMPT_TIME:
            return self._fail()
        if not self._contacted:
            allowance.on_request()
        elif allowance.try_spend(now):
            self._world.retries += 1
        else:
            return self._fail()
        return self._select(0)

    def _fail(self) -> None:
        """Ends the call without a complete stream."""
        self._end()
        if self._has_run or self._request.delivered:
            self._caller.on_cut(self)
        else:
            self._caller.on_refused(0.5)

    def _end(self) -> None:
        """Forgets the call."""
        self._is_over = True
        self._release_copy()
        self._instance.drivers.pop(self, None)
        self._instance.waiting_due.pop(self, None)

    # Selection of an engine.

    def _select(self, placement: int) -> None:
        """Lists candidates and fetches their reports."""
        if self._is_over:
            return
        instance, registry, now = self._instance, self._instance.registry, self._clock.now
        holder = self._take_copy_holder()
        if holder is not None and registry.try_take(now, holder.name):
            self._send(holder, None, False, copy_of=self._previous)
            return
        if self._request.delivered and not self._contacted and not placement:
            keeper = self._find_keeper()
            if keeper is not None and registry.try_take(now, keeper.name):
                self._send(keeper, None, False)
                return
        excluded: frozenset[str] = frozenset(self._failed)
        if registry.next_admission(now, ENGINES, excluded) == math.inf:
            excluded = frozenset()
        ranked = (
            registry.list_preferred(now, ENGINES, excluded)
            if placement
            else registry.rank_servers(now, ENGINES, self._request.key, excluded)
        )
        candidates = choose_candidates(
            (server for server in ranked if registry.admits(now, server.server_id)),
            lambda server: server.data_centre == str(instance.data_centre),
            placement,
        )
        if not candidates:
            self._wait_for_admission(excluded, placement)
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
        self._clock.after(max(delays), lambda: self._decide(candidates, placement))

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
        run = self._previous
        if run is None or run.copied_at is None or run.standby is None:
            return None
        is_complete = run.copied_at <= self._clock.now
        run.copied_at = None
        return run.standby if is_complete and not run.standby.is_dead else None

    def _release_copy(self) -> None:
        """Frees the copy of the run that was lost."""
        if self._previous is not None:
            self._previous.release_copy()
            self._previous = None

    def _wait_for_admission(self, excluded: frozenset[str], placement: int) -> None:
        """Waits or refuses while no engine takes requests."""
        instance, now = self._instance, self._clock.now
        admission_at = instance.registry.next_admission(now, ENGINES, excluded)
        if admission_at == math.inf:
            self._fail()
            return
        decision = instance.rule.decide_without_engine(
            now, self._describe(), admission_at, instance.estimator
        )
        if isinstance(decision, RefuseStream):
            self._refuse(decision)
            return
        self._clock.after(decision.delay, lambda: self._select(placement + 1))

    def _decide(self, candidates: list[BackendServer], placement: int) -> None:
        """Decides by the reports whether the stream starts, waits or is refused."""
        if self._is_over:
            return
        instance, now = self._instance, self._clock.now
        views, engines = self._build_views(candidates)
        if not views:
            engine = self._world.engines.get(candidates[0].server_id)
            if engine is not None and instance.registry.try_take(now, engine.name):
                self._send(engine, None, False)
            else:
                self._clock.after(REPORT_TIMEOUT, lambda: self._select(placement + 1))
            return
        stream = self._describe()
        share = compute_start_share(instance.registry.count(ENGINES), self._world.count_instances())
        decision = instance.rule.decide(
            now,
            stream,
            views,
            instance.estimator,
            may_wait=self._world.policy.hold,
            start_share=share if placement else 1.0,
            generation_time=(
                instance.generation.estimate(self._request.output_tokens)
                if self._world.policy.finish_estimate
                else 0.0
            ),
        )
        decision = self._apply_ideas(decision, stream, views)
        if isinstance(decision, RefuseStream):
            self._refuse(decision)
        elif isinstance(decision, WaitForEngine):
            instance.waiting_due[self] = stream.due_at
            self._clock.after(decision.delay, lambda: self._select(placement + 1))
        elif instance.registry.try_take(now, decision.engine):
            view = next(view for view in views if view.engine == decision.engine)
            has_room = instance.rule.has_room_for_copies(stream, views)
            engine = engines[decision.engine]
            standby = self._choose_standby(engine) if has_room else None
            self._send(engine, standby, decision.is_late, ahead=view.prompts_ahead)
        else:
            self._select(placement + 1)

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
            {*self._failed, engine.name},
            {*self._lost_centres, str(engine.data_centre)},
        )
        if not ranked:
            return None
        first = ranked[0]
        if policy.spread_standby:
            remote = [s for s in ranked if s.data_centre != str(engine.data_centre)]
            first = instance.rng.choice(remote or ranked)
        return self._world.engines.get(first.server_id)

    def _refuse(self, decision: RefuseStream) -> None:
        """Refuses the call as not run."""
        self._end()
        self._caller.on_refused(decision.retry_after)

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
            self._has_run,
        )

    # One run.

    def _send(
        self,
        engine: SimulatedEngine,
        standby: SimulatedEngine | None,
        is_late: bool,
        copy_of: EngineRun | None = None,
        ahead: int | None = None,
    ) -> None:
        """Sends the request to an engine and begins to watch the run."""
        instance, request, now = self._instance, self._request, self._clock.now
        instance.waiting_due.pop(self, None)
        instance.record_dispatch(engine.name, self._contacted > 0)
        if copy_of is None:
            self._release_copy()
        self._previous = None
        state = instance.registry.state(engine.name)
        if state is not None:
            state.in_flight += 1
        rank = request.kind.rank + (LATE_RANK_OFFSET if is_late else 0)
        run = EngineRun(
            request,
            rank,
            request.delivered,
            self._on_event,
            self._on_reset,
            standby=standby,
            first_generated=request.delivered,
        )
        self._run, self._engine, self._sent_at, self._ahead = run, engine, now, ahead
        self._contacted += 1
        self._watch = StreamWatch(self._world.policy.silence, now, request.delivered)
        delay = self._delay_to(engine)
        self._clock.after(delay, lambda: self._arrive(run, engine, copy_of))
        self._clock.after(self._watch.check_delay(now), lambda: self._check(run))

    def _arrive(self, run: EngineRun, engine: SimulatedEngine, copy_of: EngineRun | None) -> None:
        """Delivers the request to the engine."""
        if run is not self._run:
            if copy_of is not None:
                engine.release_copy(copy_of)
            return
        if engine.is_dead:
            if copy_of is not None:
                engine.release_copy(copy_of)
            self._on_connection_refused(run)
            return
        self._world.count_arrival(engine)
        is_accepted = engine.accept(run, copy_of)
        if copy_of is not None:
            engine.release_copy(copy_of)
        if is_accepted:
            self._has_run = True
            self._request.runs += 1
            return
        self._instance.apply_signals(engine.name, engine.signals)
        state = self._instance.registry.state(engine.name)
        if state is not None:
            state.on_failure(self._clock.now, suspend=False)
        self._finish_run("rejected")
        self._failed.add(engine.name)
        self._begin_attempt()

    def _on_connection_refused(self, run: EngineRun) -> None:
        """Goes on elsewhere after a connection to an engine that has ended."""
        if run is self._run:
            run.ended = True
            self._lose("engine lost")

    def _on_event(self, run: EngineRun) -> None:
        """Delivers an event that the engine has just generated."""
        if run is not self._run or self._is_over:
            return
        engine, watch = self._engine, self._watch
        assert engine is not None and watch is not None
        at = self._clock.now + self._delay_to(engine)
        if not watch.has_events:
            self._first_event_at = at
            self._instance.apply_signals(engine.name, engine.signals)
            if self._ahead is not None:
                self._instance.estimator.observe(self._ahead, at - self._sent_at)
        watch.on_event(at)
        self._caller.on_event(self, at)
        if run.is_complete:
            state = self._instance.registry.state(engine.name)
            if state is not None:
                state.on_success()
            if run.first_generated == 0:
                duration = at - self._first_event_at
                self._instance.generation.observe(self._request.output_tokens, duration)
            self._finish_run("")
            self._end()
            self._caller.on_complete()

    def _on_reset(self, run: EngineRun) -> None:
        """Learns after a delay that the engine has ended."""
        if run is self._run and self._engine is not None:
            delay = self._delay_to(self._engine)
            self._clock.after(delay, lambda: run is self._run and self._lose("engine lost"))

    def _check(self, run: EngineRun) -> None:
        """Fetches a report if the stream has been silent, and schedules the next check."""
        engine, watch = self._engine, self._watch
        if run is not self._run or engine is None or watch is None:
            return
        delay = watch.check_delay(self._clock.now)
        if delay > 0:
            self._clock.after(delay, lambda: self._check(run))
        elif engine.is_dead or engine.is_silent:
            self._clock.after(watch.report_timeout, lambda: self._judge(run, None))
        else:
            sighting = RunSighting(engine.find_generated(self._request.number))
            self._clock.after(2 * self._delay_to(engine), lambda: self._judge(run, sighting))

    def _judge(self, run: EngineRun, sighting: RunSighting | None) -> None:
        """Decides from a report whether the run is lost."""
        watch = self._watch
        if run is not self._run or watch is None:
            return
        if watch.check_delay(self._clock.now) <= 0 and watch.find_loss(self._clock.now, sighting):
            self._lose("engine silent")
            return
        self._check(run)

    def _lose(self, cause: str) -> None:
        """Gives up a run and goes on elsewhere."""
        engine = self._engine
        assert engine is not None
        state = self._instance.registry.state(engine.name)
        if state is not None:
            self._instance.registry.on_unreachable(self._clock.now, state.server)
        self._failed.add(engine.name)
        self._lost_centres.add(str(engine.data_centre))
        self._leave_engine(cause)
        self._begin_attempt()

    def _leave_engine(self, cause: str) -> None:
        """Cancels the run, which an engine that is silent notices when it goes on."""
        run, engine = self._run, self._engine
        if run is None or engine is None:
            return
        # The standby keeps its copy until the stream goes on there or elsewhere.
        self._previous = run
        engine.cancel(run)
        self._finish_run(cause)

    def _finish_run(self, cause: str) -> None:
        """Records the end of a run."""
        run, engine = self._run, self._engine
        assert run is not None and engine is not None
        state = self._instance.registry.state(engine.name)
        if state is not None and state.in_flight:
            state.in_flight -= 1
        self._world.record_run(run, cause)
        self._run = self._watch = None

    def _delay_to(self, engine: SimulatedEngine) -> float:
        """One-way delay to an engine in seconds."""
        fleet = self._world.experiment.fleet
        return one_way_delay(fleet, self._instance.data_centre, engine.data_centre)
