"""What one instance knows of an order: its own counts, and what the others report."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from sapphireledge.core.rollout.fleet_load import FleetLoad
from sapphireledge.core.rollout.fleet_members import FleetMembers
from sapphireledge.core.rollout.fleet_reports import FleetReports
from sapphireledge.core.rollout.own_counts import OwnCounts
from sapphireledge.core.rollout.report_writing import ReportWriting
from sapphireledge.core.rollout.rollout_schedule import RolloutSchedule

if TYPE_CHECKING:
    from sapphireledge.core.rollout.rollout_limits import RolloutLimits
    from sapphireledge.core.rollout.rollout_order import RolloutOrder
    from sapphireledge.core.rollout.rollout_report import RolloutReport

__all__ = ["FleetView"]

SETTLE_TIME = 3.0
"""Seconds after an order from which the number of instances is known from their reports."""


class FleetView:
    """What one instance knows of an order: its own counts, and what the others report."""

    def __init__(
        self, limits: RolloutLimits, order: RolloutOrder, instance: str, now: float
    ) -> None:
        """Creates the view of an instance that has just learnt of an order.

        Args:
            limits: Limits.
            order: The order.
            instance: Name of this instance.
            now: Time in seconds at which it learnt of the order.
        """
        self.limits = limits
        """Limits of this order."""

        self.schedule = RolloutSchedule.plan(limits, order.duration)
        """When the order passes from one stage to the next."""

        self.counts = OwnCounts()
        """Counts of this instance."""

        self.reports = FleetReports(order.order_id)
        """Reports of all instances."""

        self.load = FleetLoad()
        """Sums of the reports, as of the latest evaluation."""

        self.members = FleetMembers()
        """Instances that are known besides those that report."""

        self.writing = ReportWriting(limits)
        """What of this instance's counts has reached the store."""

        self.ordered_at = now
        """Time of the order, as far as it is known."""

        self._instance = instance
        self._learnt_at = now
        self._confirmed_at = -inf

    def on_report(self, now: float, report: RolloutReport) -> bool:
        """Takes in a report of another instance.

        Args:
            now: Current time in seconds.
            report: The report.

        Returns:
            Whether it is newer than what was known.
        """
        if not self.reports.add(now, report):
            return False
        self.ordered_at = min(self.ordered_at, now - report.age)
        return True

    def on_feed_confirmed(self, now: float) -> None:
        """Takes in that the known reports were the newest in the store at a time.

        Args:
            now: That time in seconds.
        """
        self._confirmed_at = max(self._confirmed_at, now)

    def age(self, now: float) -> float:
        """Computes the time since the order.

        Args:
            now: Current time in seconds.

        Returns:
            Seconds, as far as is known.
        """
        return now - self.ordered_at

    def is_settled(self, now: float) -> bool:
        """Whether this instance has known the order long enough to know the others.

        Args:
            now: Current time in seconds.

        Returns:
            Whether it has.
        """
        return now - self._learnt_at >= SETTLE_TIME

    @property
    def is_late(self) -> bool:
        """Whether this instance learnt of the order after most others."""
        return self._learnt_at - self.ordered_at > SETTLE_TIME

    @property
    def number_of_instances(self) -> int:
        """Number of instances, at least 1."""
        return max(len(self.members.alive), self.reports.number, 1)

    @property
    def is_mostly_left(self) -> bool:
        """Whether most of the other instances have left the old version."""
        others = [r for _, r in self.reports.current() if r.instance != self._instance]
        return 2 * sum(report.new_only for report in others) > len(others)

    def is_in_touch(self, now: float) -> bool:
        """Whether this instance hears the others and they can hear it, soon enough.

        Args:
            now: Current time in seconds.

        Returns:
            Whether both hold.
        """
        return self.writing.is_publishing(now, self.number_of_instances) and self.hears(now)

    def hears(self, now: float, factor: float = 1.0) -> bool:
        """Whether the reports of the others are recent enough.

        Args:
            now: Current time in seconds.
            factor: Multiple of the usual age that is allowed.

        Returns:
            Whether they are.
        """
        return now - self._confirmed_at <= factor * self.limits.hear_limit
