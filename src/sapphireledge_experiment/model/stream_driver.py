"""Work of an instance on one call for a stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.core.liveness import RunSighting, StreamWatch
from sapphireledge.errors import ErrorKind, Failure
from sapphireledge.gateway.stream_attempt import LATE_RANK_OFFSET
from sapphireledge.gateway.stream_progress import MIN_ATTEMPT_TIME
from sapphireledge_experiment.model.engine_placer import EnginePlacer
from sapphireledge_experiment.model.engine_run import EngineRun
from sapphireledge_experiment.model.latencies import one_way_delay
from sapphireledge_experiment.model.simulated_instance import ENGINES
from sapphireledge_experiment.model.tried_engines import TriedEngines

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge.core.quarantine import ClearVerdict, IsolateVerdict
    from sapphireledge_experiment.model.answer_receiver import AnswerReceiver
    from sapphireledge_experiment.model.modelled_request import ModelledRequest
    from sapphireledge_experiment.model.simulated_engine import SimulatedEngine
    from sapphireledge_experiment.model.simulated_instance import SimulatedInstance
    from sapphireledge_experiment.model.start_order import StartOrder

__all__ = ["StreamDriver"]


class StreamDriver:
    """Makes attempts until the stream is complete or none is left to make.

    The order of the steps is that of `StreamForwarder`; each decision is the one that it calls.
    """

    def __init__(
        self, instance: SimulatedInstance, request: ModelledRequest, caller: AnswerReceiver
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
        self._ahead: int | None = None
        self._work_id = ""
        self._sent_at = self._first_event_at = 0.0
        self._tried = TriedEngines(has_run=request.runs > 0)
        self._placer = EnginePlacer(
            instance, request, self._tried, self._send, self._refuse, self._fail
        )
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
        """Makes another attempt unless the stream crashes engines."""
        self._check_quarantine(self._select_engine)

    def _check_quarantine(
        self,
        proceed: Callable[[ClearVerdict | IsolateVerdict], None],
        *,
        may_wait: bool = True,
    ) -> None:
        """Decides whether the stream may crash the next engine, too, and goes on if not."""
        if self._is_over:
            return
        verdict = self._instance.crashes.judge(self._request)
        if not isinstance(verdict, Failure):
            proceed(verdict)
        elif verdict.kind is ErrorKind.OVERLOADED and self._tried.contacted and may_wait:
            delay = verdict.retry_after or 0.0
            self._clock.after(delay, lambda: self._check_quarantine(proceed, may_wait=False))
        elif self._tried.contacted:
            self._fail()
        else:
            self._refuse(verdict.retry_after or self._world.policy.quarantine.retention)

    def _select_engine(self, verdict: ClearVerdict | IsolateVerdict) -> None:
        """Checks the limits for another attempt and selects an engine."""
        kind, now = self._request.kind, self._clock.now
        allowance = self._instance.allowance(ENGINES)
        if (
            self._tried.contacted >= kind.max_attempts
            or self._request.deadline - now < MIN_ATTEMPT_TIME
        ):
            return self._fail()
        if not self._tried.contacted:
            allowance.on_request()
        elif allowance.try_spend(now):
            self._world.retries += 1
        else:
            return self._fail()
        return self._placer.begin(self._instance.crashes.find_avoided(verdict))

    def _fail(self) -> None:
        """Ends the call without a complete stream."""
        self._end()
        if self._tried.has_run or self._request.delivered:
            self._caller.on_cut(self)
        else:
            self._caller.on_refused(0.5)

    def _end(self) -> None:
        """Forgets the call."""
        self._is_over = True
        self._tried.release_copy()
        self._instance.drivers.pop(self, None)
        self._placer.stop()

    def _refuse(self, retry_after: float) -> None:
        """Refuses the call as not run."""
        self._end()
        self._caller.on_refused(retry_after)

    # One run.

    def _send(self, order: StartOrder) -> None:
        """Sends the request to an engine unless others died of its content in the meantime."""
        self._check_quarantine(lambda verdict: self._start_run(order, verdict))

    def _start_run(self, order: StartOrder, verdict: ClearVerdict | IsolateVerdict) -> None:
        """Sends the request to an engine and begins to watch the run."""
        instance, request, now = self._instance, self._request, self._clock.now
        engine, tried = order.engine, self._tried
        self._placer.end_wait()
        instance.record_dispatch(engine.name, tried.contacted > 0)
        if order.copy_of is None:
            tried.release_copy()
        tried.previous = None
        state = instance.registry.state(engine.name)
        if state is not None:
            state.in_flight += 1
        rank = request.kind.rank + (LATE_RANK_OFFSET if order.is_late else 0)
        run = EngineRun(
            request,
            rank,
            request.delivered,
            self._on_event,
            self._on_reset,
            standby=order.standby,
            first_generated=request.delivered,
        )
        self._run, self._engine, self._sent_at = run, engine, now
        self._ahead = order.prompts_ahead
        self._work_id = instance.crashes.begin(request, engine, verdict)
        self._tried.contacted += 1
        self._watch = StreamWatch(self._world.policy.silence, now, request.delivered)
        delay = self._delay_to(engine)
        self._clock.after(delay, lambda: self._arrive(run, engine, order.copy_of))
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
            self._on_connection_lost(run)
            return
        self._world.count_arrival(engine)
        is_accepted = engine.accept(run, copy_of)
        if copy_of is not None:
            engine.release_copy(copy_of)
        if is_accepted:
            self._tried.has_run = True
            self._request.runs += 1
            return
        self._instance.apply_signals(engine.name, engine.signals)
        state = self._instance.registry.state(engine.name)
        if state is not None:
            state.on_failure(self._clock.now, suspend=False)
        self._finish_run("rejected")
        self._tried.failed.add(engine.name)
        self._begin_attempt()

    def _on_connection_lost(self, run: EngineRun) -> None:
        """Goes on elsewhere after a connection was reset or refused by an engine that has ended."""
        if run is self._run:
            assert self._engine is not None
            run.ended = True
            delay = 2 * self._delay_to(self._engine)
            self._instance.crashes.on_connection_lost(self._engine, delay)
            self._lose("engine lost")

    def _on_event(self, run: EngineRun) -> None:
        """Delivers an event that the engine has just generated."""
        if run is not self._run or self._is_over:
            return
        engine, watch = self._engine, self._watch
        assert engine is not None and watch is not None
        self._instance.crashes.on_event(self._work_id)
        self._placer.on_event()
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
            self._instance.crashes.on_answered(self._work_id)
            if run.first_generated == 0:
                duration = at - self._first_event_at
                self._instance.generation.observe(self._request.output_tokens, duration)
            self._finish_run("")
            self._end()
            self._caller.on_complete()
        elif self._world.policy.hand_over and self._can_hand_over(run, engine):
            self._tried.failed.add(engine.name)
            self._leave_engine("handed over")
            self._begin_attempt()

    def _can_hand_over(self, run: EngineRun, engine: SimulatedEngine) -> bool:
        """Whether the engine leaves and the standby has a complete copy of the run."""
        state = self._instance.registry.state(engine.name)
        if state is None or not state.backpressure.is_leaving:
            return False
        has_copy = run.copied_at is not None and run.copied_at <= self._clock.now
        return has_copy and run.standby is not None and not run.standby.is_dead

    def _on_reset(self, run: EngineRun) -> None:
        """Learns after a delay that the engine has ended."""
        if run is self._run and self._engine is not None:
            delay = self._delay_to(self._engine)
            self._clock.after(delay, lambda: self._on_connection_lost(run))

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
        self._tried.failed.add(engine.name)
        self._tried.lost_centres.add(str(engine.data_centre))
        self._leave_engine(cause)
        self._begin_attempt()

    def _leave_engine(self, cause: str) -> None:
        """Cancels the run, which an engine that is silent notices when it goes on."""
        run, engine = self._run, self._engine
        if run is None or engine is None:
            return
        # The standby keeps its copy until the stream goes on there or elsewhere.
        self._tried.previous = run
        engine.cancel(run)
        self._finish_run(cause)

    def _finish_run(self, cause: str) -> None:
        """Records the end of a run."""
        run, engine = self._run, self._engine
        assert run is not None and engine is not None
        state = self._instance.registry.state(engine.name)
        if state is not None and state.in_flight:
            state.in_flight -= 1
        self._instance.crashes.end(self._work_id)
        self._placer.end_run()
        self._world.record_run(run, cause)
        self._run = self._watch = None

    def _delay_to(self, engine: SimulatedEngine) -> float:
        """One-way delay to an engine in seconds."""
        fleet = self._world.experiment.fleet
        return one_way_delay(fleet, self._instance.data_centre, engine.data_centre)
