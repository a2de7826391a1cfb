"""Reports of all instances for one order, and how they stood some time ago."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator
from math import inf

from sapphireledge.core.rollout.rollout_report import RolloutReport

__all__ = ["FleetReports", "ReportKey"]

SNAPSHOT_INTERVAL = 1.0
"""Seconds between two snapshots."""

HISTORY = 32.0
"""Seconds for which snapshots are kept; the longest window of a comparison."""

ReportKey = tuple[str, str]
"""Instance and incarnation."""


class FleetReports:
    """Latest report of each incarnation of each instance, and snapshots of them.

    Counts of an incarnation that has ended stay part of the evidence. Reports from a store that
    came back older are ignored. The incarnation of an instance is the one that was heard last.
    """

    def __init__(self, order_id: str) -> None:
        """Creates an empty collection.

        Args:
            order_id: Order whose reports are taken.
        """
        self._order_id = order_id
        self._latest: dict[ReportKey, RolloutReport] = {}
        self._incarnations: dict[str, str] = {}
        self._heard_at: dict[str, float] = {}
        self._history: deque[tuple[float, dict[ReportKey, RolloutReport]]] = deque()
        self._origin_at = -inf
        self._origin: dict[ReportKey, RolloutReport] = {}

    def add(self, now: float, report: RolloutReport) -> bool:
        """Takes in a report.

        Args:
            now: Current time in seconds.
            report: The report.

        Returns:
            Whether it is newer than what was known.
        """
        if report.order_id != self._order_id:
            return False
        key = (report.instance, report.incarnation)
        known = self._latest.get(key)
        if known is not None and known.sequence >= report.sequence:
            return False
        self._latest[key] = report
        self._incarnations[report.instance] = report.incarnation
        self._heard_at[report.instance] = now
        return True

    def take_snapshot(self, now: float) -> None:
        """Keeps the reports as they stand now, if the last snapshot is old enough.

        Args:
            now: Current time in seconds.
        """
        history = self._history
        if not history or now - history[-1][0] >= SNAPSHOT_INTERVAL:
            history.append((now, dict(self._latest)))
        while len(history) > 1 and history[1][0] <= now - HISTORY:
            history.popleft()

    def exclude_until(self, now: float) -> None:
        """Leaves out of later comparisons what has happened up to now.

        Args:
            now: Current time in seconds.
        """
        self._origin_at, self._origin = now, dict(self._latest)

    def compared_window(
        self, now: float, seconds: float
    ) -> Iterator[tuple[RolloutReport, RolloutReport | None]]:
        """Returns a window without the time that is left out of comparisons.

        Args:
            now: Current time in seconds.
            seconds: Length of the window; infinite for all since the order.

        Returns:
            Pairs of reports as `window` returns them.
        """
        if now - seconds >= self._origin_at:
            yield from self.window(now, seconds)
            return
        for key, report in self._latest.items():
            yield report, self._origin.get(key)

    def all(self) -> Iterable[RolloutReport]:
        """Returns the latest report of each incarnation."""
        return self._latest.values()

    def current(self) -> Iterator[tuple[float, RolloutReport]]:
        """Returns the latest report of each instance, with the time at which it arrived."""
        for instance, incarnation in self._incarnations.items():
            yield self._heard_at[instance], self._latest[instance, incarnation]

    @property
    def number(self) -> int:
        """Number of instances that reported."""
        return len(self._incarnations)

    def instances(self) -> Iterable[str]:
        """Returns the instances that reported."""
        return self._incarnations.keys()

    def window(
        self, now: float, seconds: float
    ) -> Iterator[tuple[RolloutReport, RolloutReport | None]]:
        """Returns the latest reports beside those of some time ago.

        Args:
            now: Current time in seconds.
            seconds: Length of the window; infinite for all since the order.

        Returns:
            Pairs of reports; the second is None if there was none.
        """
        base: dict[ReportKey, RolloutReport] = {}
        for taken_at, snapshot in reversed(self._history):
            if taken_at <= now - seconds:
                base = snapshot
                break
        for key, report in self._latest.items():
            yield report, base.get(key)
