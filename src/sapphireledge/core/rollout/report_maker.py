"""Makes the reports of one instance about an order."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.core.rollout.rollout_report import RolloutReport

if TYPE_CHECKING:
    from sapphireledge.core.rollout.fleet_view import FleetView
    from sapphireledge.core.rollout.rollout_progress import RolloutProgress
    from sapphireledge.core.rollout.version_judge import VersionJudge

__all__ = ["ReportMaker"]


class ReportMaker:
    """Makes the reports of one instance; each has the next sequence number."""

    def __init__(
        self,
        names: tuple[str, str, str],
        view: FleetView,
        progress: RolloutProgress,
        judge: VersionJudge,
    ) -> None:
        """Creates a maker without a report.

        Args:
            names: Instance, identity of the order, and incarnation of the instance.
            view: What the instance knows of the order.
            progress: Its stage.
            judge: Its verdict.
        """
        self._names = names
        self._view = view
        self._progress = progress
        self._judge = judge
        self._sequence = 0

    def state(self) -> tuple[int, int, bool, bool, str]:
        """Returns what makes a report worth writing, see `ReportWriting.is_due`."""
        counts = self._view.counts
        return (
            counts.new_bad,
            counts.new_sent,
            self._progress.is_new_only,
            counts.old_in_flight > 0,
            self._judge.verdict,
        )

    def make(self, now: float) -> RolloutReport:
        """Makes a report.

        Args:
            now: Current time in seconds.

        Returns:
            The report as of now.
        """
        self._sequence += 1
        view = self._view
        counts = view.counts
        return RolloutReport(
            *self._names,
            self._sequence,
            round(view.age(now), 2),
            counts.requests,
            counts.versions(is_new=False),
            counts.versions(is_new=True),
            dict(counts.bad_servers),
            counts.new_servers,
            counts.old_in_flight,
            self._progress.is_new_only,
            self._judge.verdict,
            view.members.name_unreported(view.reports),
        )
