"""Finds out whether the new version is bad, from the counts of all instances."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from sapphireledge.core.rollout.compare_versions import compare_versions
from sapphireledge.core.rollout.version_verdict import VersionVerdict

if TYPE_CHECKING:
    from sapphireledge.core.rollout.fleet_view import FleetView

__all__ = ["VersionJudge"]

WINDOWS = (10.0, 30.0, inf)
"""Seconds of the windows in which the versions are compared. The short ones find a version that
turns bad, the long one finds a low rate of bad answers."""

JUDGE_INTERVAL = 0.4
"""Seconds between two comparisons, which cost some milliseconds with hundreds of instances."""

SLOW_FACTOR = 2.5
"""Multiple of the usual time of the old version from which an answer is slow."""

SLOW_ADDITION = 0.07
"""Seconds by which it is longer at least: a round trip to the farthest data centre."""


class VersionJudge:
    """Verdict of one instance, or that of another one that it heard of."""

    def __init__(self, view: FleetView) -> None:
        """Creates a judge without a verdict.

        Args:
            view: What this instance knows of the order.
        """
        self.verdict = ""
        """Why the new version is held to be bad, empty otherwise; final for the order."""

        self.comparison = VersionVerdict()
        """Latest comparison."""

        self._view = view
        self._judged_at = -inf

    def on_verdict(self, reason: str) -> None:
        """Takes in the verdict of another instance.

        Args:
            reason: Its reason, empty without a verdict.
        """
        self.verdict = self.verdict or reason

    def is_slow(self, route: str, seconds: float) -> bool:
        """Whether an answer took several times as long as those of the old version usually do.

        Args:
            route: Route.
            seconds: Its time.

        Returns:
            Whether it did, False while the usual time is not known.
        """
        view = self._view
        reference = view.counts.reference(route) or view.load.old_seconds.get(route)
        if reference is None:
            return False
        return seconds >= max(SLOW_FACTOR * reference, reference + SLOW_ADDITION)

    def update(self, now: float, *, is_new_only: bool, has_choice: bool) -> None:
        """Compares the versions if it is time to.

        Args:
            now: Current time in seconds.
            is_new_only: Whether this instance has left the old version.
            has_choice: Whether there is another version; without, there is no verdict.
        """
        if now - self._judged_at < JUDGE_INTERVAL:
            return
        self._judged_at = now
        view = self._view
        view.reports.take_snapshot(now)
        view.load.update(now, view.reports)
        if not has_choice:
            self.comparison = VersionVerdict()
            return
        self.comparison = self._compare(now)
        if self.comparison.is_bad:
            self.on_verdict(self.comparison.reason)
        is_doubtful = self.comparison.is_suspect or view.load.looks_bad
        if is_new_only:
            is_doubtful = view.load.is_doubtful
        is_overdue = view.age(now) >= view.schedule.force_at
        if is_overdue and is_doubtful and view.is_in_touch(now):
            reason = self.comparison.reason
            self.on_verdict(reason or "too many bad answers to move by the deadline")

    def _compare(self, now: float) -> VersionVerdict:
        """Compares the versions in each window; returns the strongest result."""
        view = self._view
        strongest = VersionVerdict()
        if not view.load.is_comparable:
            view.reports.exclude_until(now)
            return strongest
        for window in WINDOWS:
            verdict = compare_versions(view.reports.compared_window(now, window))
            if verdict.is_bad:
                return verdict
            if verdict.is_suspect and not strongest.is_suspect:
                strongest = verdict
        return strongest
