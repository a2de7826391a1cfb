"""State of one backend server in the view of an instance."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.core.routing._pool import Tier
    from sapphireledge.core.routing.backend_instance import BackendInstance
    from sapphireledge.core.routing.load_report import LoadReport

__all__ = ["BackendState"]

MAX_LOAD_CHANGES = 4096
"""Own dispatches and ends kept between two reports; older ones count as reported."""


class BackendState:
    """State of one backend server in the view of an instance."""

    __slots__ = (
        "boot_id",
        "in_flight",
        "instance",
        "isolated",
        "leaving",
        "load_change_since_report",
        "load_changes",
        "pools",
        "report",
        "suspects",
        "tier",
        "unreachable_since",
    )

    def __init__(self, instance: BackendInstance, tier: Tier):
        self.instance = instance
        """Entry of the instance list."""
        self.tier = tier
        """Distance from the instance."""
        self.boot_id = ""
        """Boot id of the engine, empty while unknown."""
        self.report: LoadReport | None = None
        """Latest load report."""
        self.leaving = instance.leaving
        """Whether it is leaving; stays until the engine has a new boot id."""
        self.unreachable_since: float | None = None
        """Time of the last failed connection without a later report, in seconds."""
        self.in_flight: set[str] = set()
        """Own work that runs there."""
        self.suspects: set[str] = set()
        """Suspects among it."""
        self.isolated: set[str] = set()
        """Isolated requests among it."""
        self.load_changes: deque[tuple[float, int]] = deque()
        """Own dispatches (+1) and ends (-1) since the time that the report describes."""
        self.load_change_since_report = 0
        """Sum of these changes."""
        self.pools: tuple[tuple[str, str, str], ...] = ()
        """Pools that it belongs to: model, version and role."""

    def on_report(self, report: LoadReport) -> None:
        """Replaces the load report.

        Args:
            report: A report that is newer than the present one.
        """
        self.report = report
        while self.load_changes and self.load_changes[0][0] <= report.as_of:
            self.load_change_since_report -= self.load_changes.popleft()[1]

    def record_load_change(self, now: float, change: int) -> None:
        """Notes an own dispatch or end that the report does not contain.

        Args:
            now: Time in seconds.
            change: +1 or -1.
        """
        self.load_changes.append((now, change))
        self.load_change_since_report += change
        if len(self.load_changes) > MAX_LOAD_CHANGES:
            self.load_change_since_report -= self.load_changes.popleft()[1]

    def reset(self, boot_id: str) -> None:
        """Starts over for a new incarnation of the engine, which has none of the old work.

        What the engine itself said of leaving ends with it; what the instance list says stays.

        Args:
            boot_id: Its boot id.
        """
        self.boot_id = boot_id
        self.report = None
        self.leaving = self.instance.leaving
        self.unreachable_since = None
        self.in_flight.clear()
        self.suspects.clear()
        self.isolated.clear()
        self.load_changes.clear()
        self.load_change_since_report = 0

    @property
    def slots(self) -> int:
        """Sequences that can run at the same time."""
        return self.instance.slots if self.report is None else self.report.slots

    @property
    def load(self) -> int:
        """Sequences that run or wait there, own changes since the report included."""
        if self.report is None:
            return len(self.in_flight)
        reported = self.report.running + self.report.waiting
        return max(len(self.in_flight), reported + self.load_change_since_report)
