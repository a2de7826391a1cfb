"""Decides when and on which engine a stream starts.

Load pattern: a flood, or the loss of a data centre, offers more prompts than the engines can
process within the target. Engines queue in order of arrival, so if every request is sent at once,
each one waits behind requests that are late already, and nearly all become late. Here a stream that
would be late waits at its instance until an engine has no prompt to process, or until it must start
to reach its caller before that gives up or to complete before its deadline. The queues of the
engines stay short, and streams that can be on time pass the late ones.

After the loss of engines, streams of which callers have received a part must be resumed beside new
ones. Their readers wait in the middle of a text, so they start before late streams and with the
order of streams on time, but at each engine only a few at once.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.core.placement.cost_terms import CostTerms
from sapphireledge.core.placement.refusal_reason import RefusalReason
from sapphireledge.core.placement.refuse_stream import RefuseStream
from sapphireledge.core.placement.start_stream import StartStream
from sapphireledge.core.placement.wait_for_engine import WaitForEngine

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from sapphireledge.core.placement.engine_view import EngineView
    from sapphireledge.core.placement.first_event_estimator import FirstEventEstimator
    from sapphireledge.core.placement.pending_stream import PendingStream
    from sapphireledge.core.placement.placement_limits import PlacementLimits

__all__ = ["PlacementRule"]


class PlacementRule:
    """Places streams on engines from fresh load reports."""

    def __init__(self, limits: PlacementLimits, rng: Random) -> None:
        """Creates the rule.

        Args:
            limits: Limits and weights.
            rng: Source of the jitter of waiting times.
        """
        self._limits = limits
        self._rng = rng

    def cost(self, stream: PendingStream, view: EngineView) -> float:
        """Computes the cost of an engine, in typical prompts that are processed there.

        Args:
            stream: The stream to place.
            view: Load of the engine.

        Returns:
            The cost; the engine with the lowest one is preferred.
        """
        return self.explain(stream, view).total

    def explain(self, stream: PendingStream, view: EngineView) -> CostTerms:
        """Computes the terms of the cost of an engine.

        What the engine keeps of the prompt is not processed again, which is weighed against what it
        processes first. A prompt that is kept at a busy engine is processed again elsewhere once
        that is sooner.

        Args:
            stream: The stream to place.
            view: Load of the engine.

        Returns:
            The terms.
        """
        limits = self._limits
        own_work = self.own_work(stream, view)
        return CostTerms(
            ahead=self.work_ahead(stream, view),
            own_work=own_work,
            running=limits.running_cost * view.running * own_work,
            remote=0.0 if view.is_local else limits.remote_cost,
            memory=0.0 if _has_room(stream, view) else limits.memory_full_cost,
        )

    def work_ahead(self, stream: PendingStream, view: EngineView) -> float:
        """Computes what an engine processes before a stream.

        Args:
            stream: The stream to place.
            view: Load of the engine.

        Returns:
            Typical prompts.
        """
        if view.tokens_ahead is None or not stream.typical_tokens:
            return view.prompts_ahead
        return view.tokens_ahead / stream.typical_tokens

    def own_work(self, stream: PendingStream, view: EngineView) -> float:
        """Computes what an engine has to process of a stream itself.

        Args:
            stream: The stream to place.
            view: Load of the engine.

        Returns:
            Typical prompts.
        """
        if not stream.typical_tokens or not stream.prompt_tokens:
            return 1.0
        return max(0, stream.prompt_tokens - view.kept_tokens) / stream.typical_tokens

    def decide(
        self,
        now: float,
        stream: PendingStream,
        views: Sequence[EngineView],
        estimator: FirstEventEstimator,
        *,
        may_wait: bool = True,
        start_share: float = 1.0,
        generation_time: float = 0.0,
        shortest_generation: float = 0.0,
        pace_generation: float = 0.0,
    ) -> StartStream | WaitForEngine | RefuseStream:
        """Decides whether a stream starts, waits or is refused.

        Args:
            now: Current time in seconds.
            stream: The stream.
            views: Candidate engines that sent a report, at least one.
            estimator: Estimate of the time to the first event.
            may_wait: Whether the stream may wait; not while the instance is stopping.
            start_share: Share of the streams that may start now, if they have been waiting; all
                instances see an engine become idle at the same time.
            generation_time: Expected seconds from the first event to the last one, 0 if unknown. A
                late stream that would end after its deadline is refused rather than processed in
                vain.
            shortest_generation: Seconds that a short one of recent generations would take, 0 if
                unknown. A stream that not even an idle engine could complete before its deadline is
                refused at once.
            pace_generation: Seconds from the first event to the last one at the pace of the streams
                that run now, 0 if unknown. A stream that would be cut by its deadline at this pace
                waits for a better one, and is refused if there is none when it must start.

        Returns:
            The decision.
        """
        limits = self._limits
        shortest = estimator.estimate(0.0) + shortest_generation
        if shortest_generation and now + shortest > stream.deadline and not stream.has_run:
            return RefuseStream(shortest, limits.shortest_retry_after, RefusalReason.TIME)
        best = min(views, key=lambda view: self.cost(stream, view))
        penalty = 0.0 if _has_room(stream, best) else limits.memory_full_cost
        ahead = best.prompts_ahead + penalty
        work = self.work_ahead(stream, best) + penalty
        estimate = estimator.estimate(work, self.own_work(stream, best))
        is_on_time = now + estimate <= stream.due_at and (
            not stream.rank_distance or ahead <= limits.lower_rank_ahead
        )
        must_start = (
            not may_wait
            or now + limits.late_reserve >= stream.deadline
            or now + estimator.estimate(limits.leave_reserve - 1.0) >= stream.leaves_at
        )
        slowest = limits.pace_margin * pace_generation
        is_cut = now + estimate + slowest > stream.deadline and not stream.has_run
        is_admitted = must_start or self._rng.random() < start_share
        if is_on_time and is_admitted and not is_cut:
            return StartStream(best.engine, estimate, False)
        if stream.delivered and (must_start or ahead <= limits.resume_ahead):
            return StartStream(best.engine, estimate, False)
        latest = min(stream.leaves_at, stream.deadline - generation_time)
        is_hopeless = now + estimator.estimate(0.0) >= latest
        if must_start and (longest := max(generation_time, pace_generation)):
            is_hopeless = is_hopeless or now + estimate + longest > stream.deadline
        if is_hopeless and not stream.has_run:
            # Spread over the time that the engines need for the prompts ahead.
            return RefuseStream(estimate, estimate * self._rng.uniform(0.5, 1.0))
        is_idle = is_admitted and ahead <= limits.late_start_ahead
        if must_start or (is_idle and not is_cut):
            return StartStream(best.engine, estimate, True)
        can_be_on_time = now + estimator.estimate(0.0) <= stream.due_at
        interval = limits.retry_interval if can_be_on_time else limits.late_retry_interval
        return WaitForEngine(interval * self._rng.uniform(0.6, 1.4), estimate)

    def decide_without_engine(
        self,
        now: float,
        stream: PendingStream,
        admission_at: float,
        estimator: FirstEventEstimator,
        *,
        may_wait: bool = True,
    ) -> WaitForEngine | RefuseStream:
        """Decides whether a stream waits while no engine takes requests.

        Args:
            now: Current time in seconds.
            stream: The stream.
            admission_at: Time at which the first engine takes a request.
            estimator: Estimate of the time to the first event.
            may_wait: Whether the stream may wait; not while the instance is stopping.

        Returns:
            The decision.
        """
        limits = self._limits
        delay = admission_at - now
        estimate = delay + estimator.estimate(0.0)
        if may_wait and now + estimate < min(stream.leaves_at, stream.deadline):
            interval = min(max(delay, 0.0), limits.retry_interval)
            return WaitForEngine(interval * self._rng.uniform(0.6, 1.4), estimate)
        retry_after = min(delay, limits.longest_retry_after) * self._rng.uniform(0.5, 1.0)
        delay = max(limits.shortest_retry_after, retry_after)
        return RefuseStream(estimate, delay, RefusalReason.ENGINES)

    def has_room_for_copies(self, stream: PendingStream, views: Sequence[EngineView]) -> bool:
        """Decides whether the KV cache of a stream is copied to a standby.

        Load pattern: in a flood, copies take the memory that new streams need.

        Args:
            stream: The stream.
            views: Candidate engines that sent a report, at least one.

        Returns:
            Whether half of the engines have room for the stream and its copy.
        """
        spare = sorted(_spare_tokens(stream, view) for view in views)
        needed = self._limits.standby_room * (stream.prompt_tokens + stream.output_tokens)
        return spare[len(spare) // 2] >= needed


def _has_room(stream: PendingStream, view: EngineView) -> bool:
    """Whether the KV cache of an engine has room for the whole stream, as far as is known."""
    return _spare_tokens(stream, view) >= stream.prompt_tokens + stream.output_tokens


def _spare_tokens(stream: PendingStream, view: EngineView) -> float:
    """Estimates the free memory of an engine after the requests that it has already accepted.

    An engine whose memory runs out interrupts a stream and processes its prompt again later. All
    streams are taken to be as long as this one, and half done. The memory of a prompt is taken when
    the engine begins to process it.
    """
    if view.free_tokens is None:
        return float("inf")
    queued = view.waiting + view.recently_sent
    return (
        view.free_tokens - queued * stream.prompt_tokens - 0.5 * view.running * stream.output_tokens
    )
