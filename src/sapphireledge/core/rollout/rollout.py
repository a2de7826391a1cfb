"""Decides which version of a service each attempt uses while an operator moves to another one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.core.rollout.rollout_decision import RolloutDecision, RolloutStage
from sapphireledge.core.rollout.rollout_report import RolloutReport
from sapphireledge.core.rollout.rollout_state import RolloutState
from sapphireledge.core.rollout.version_rule import VersionChoice, VersionRule

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence
    from random import Random

    from sapphireledge.core.rollout.answer_quality import AnswerQuality
    from sapphireledge.core.rollout.rollout_limits import RolloutLimits
    from sapphireledge.core.rollout.rollout_order import RolloutOrder

__all__ = ["Rollout"]


class Rollout:
    """One order at one instance."""

    def __init__(
        self,
        limits: RolloutLimits,
        order: RolloutOrder,
        instance: str,
        now: float,
        rng: Random,
    ) -> None:
        """Creates the state of an order.

        Args:
            limits: Limits.
            order: The order.
            instance: Name of this instance, unique in the fleet.
            now: Time in seconds at which this instance learnt of the order.
            rng: Source of choices and of the incarnation.
        """
        self._limits = limits
        self._order = order
        self._instance = instance
        self._started_at = now
        self._rng = rng
        self._state = RolloutState.RUNNING
        self._incarnation = f"{rng.getrandbits(64):016x}"
        self._sequence = 0
        self._old_in_flight = 0

    @property
    def order(self) -> RolloutOrder:
        """The order."""
        return self._order

    def on_status(self, now: float, state: RolloutState) -> None:
        """Takes in the stored status; a final one is kept whatever follows.

        Args:
            now: Current time in seconds.
            state: State of this order.
        """
        if self._state is RolloutState.RUNNING:
            self._state = state

    def on_reports(self, now: float, reports: Sequence[RolloutReport]) -> None:
        """Takes in reports; those of other orders and older ones are ignored.

        Args:
            now: Current time in seconds.
            reports: Reports of other instances, of this one, or both.
        """

    def on_instances(self, now: float, instances: Collection[str]) -> None:
        """Takes in which instances are alive as far as is known, besides those that report.

        The old version is not left behind while one of them has not reported; never called, only
        the instances that reported count.

        Args:
            now: Current time in seconds.
            instances: Names of instances.
        """

    def on_feed_confirmed(self, now: float) -> None:
        """Takes in that the known reports were the newest in the store at a time.

        Args:
            now: That time in seconds.
        """

    def on_report_written(self, now: float, sequence: int) -> None:
        """Takes in that a report of this instance reached the store.

        Args:
            now: Time in seconds at which the report was made.
            sequence: Its sequence number.
        """

    def choose(
        self,
        now: float,
        *,
        may_repeat: bool,
        is_stream: bool,
        is_retry: bool,
        resumed_from: str | None = None,
    ) -> VersionRule:
        """Chooses the versions that an attempt may use, without side effect on the counts.

        Args:
            now: Current time in seconds.
            may_repeat: Whether the request may run again after a failure.
            is_stream: Whether the answer is a stream.
            is_retry: Whether the request was sent to a server before.
            resumed_from: Version that produced the first part of the stream, None for a new one.

        Returns:
            The rule, for an attempt that is sent at once.
        """
        if self._state is RolloutState.COMPLETED:
            return VersionRule(self._order.target, VersionChoice.NEW_ONLY)
        return VersionRule(self._order.target, VersionChoice.OLD_ONLY)

    def on_sent(self, now: float, route: str, version: str, *, is_retry: bool = False) -> None:
        """Counts an attempt that is sent to a server; exactly one `on_result` follows.

        Args:
            now: Current time in seconds.
            route: Route of the request.
            version: Version of the server.
            is_retry: Whether the request was sent to a server before.
        """
        if version != self._order.target:
            self._old_in_flight += 1

    def on_result(
        self,
        now: float,
        route: str,
        version: str,
        result: AnswerQuality,
        seconds: float | None,
        *,
        server: str = "",
    ) -> None:
        """Counts the end of an attempt.

        Args:
            now: Current time in seconds.
            route: Route of the request.
            version: Version of the server.
            result: What the end says about the server.
            seconds: Time to compare between versions: for a plain answer from sending to its end;
                for a stream the time to the first event plus the mean time between events times a
                fixed number. None if it cannot be compared, as that of a server that has just
                started and is still slow for that reason.
            server: Name of the server; failures of a few servers are not those of a version.
        """
        if version != self._order.target:
            self._old_in_flight -= 1

    def is_report_due(self, now: float) -> bool:
        """Whether the report should be written now.

        Args:
            now: Current time in seconds.

        Returns:
            Whether it is due.
        """
        return False

    def report(self, now: float) -> RolloutReport:
        """Makes the next report.

        Args:
            now: Current time in seconds.

        Returns:
            The report, with the next sequence number.
        """
        self._sequence += 1
        return RolloutReport(
            self._instance,
            self._order.order_id,
            self._incarnation,
            self._sequence,
            now - self._started_at,
            old_in_flight=self._old_in_flight,
        )

    def decide(self, now: float) -> RolloutDecision:
        """Evaluates the roll-out; called at least twice a second.

        Args:
            now: Current time in seconds.

        Returns:
            The decision.
        """
        stage = RolloutStage.WAITING
        if self._state is not RolloutState.RUNNING:
            stage = RolloutStage.DONE
        return RolloutDecision(stage, 0.0)
