"""State of one backend server as an instance sees it."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.core.backpressure import ServerBackpressure
    from sapphireledge.core.routing._pool import Tier
    from sapphireledge.core.routing.backend_instance import BackendInstance
    from sapphireledge.core.routing.load_report import LoadReport

__all__ = ["BackendState"]

MAX_LOAD_CHANGES = 4096
"""Maximum number of load changes kept between two reports; older ones count as reported."""


class BackendState:
    """State of one backend server as an instance sees it."""

    __slots__ = (
        "backpressure",
        "boot_id",
        "held_until",
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

    def __init__(self, instance: BackendInstance, tier: Tier, backpressure: ServerBackpressure):
        self.instance = instance
        """Its entry in the instance list."""
        self.tier = tier
        """Its distance from this instance."""
        self.boot_id = ""
        """Boot id of the engine; empty while unknown."""
        self.report: LoadReport | None = None
        """Latest load report."""
        self.leaving = instance.leaving
        """Whether it is leaving; stays set until the engine reports a new boot id."""
        self.backpressure = backpressure
        """Decides when requests may be sent to it."""
        self.held_until: float | None = None
        """Time in seconds until which it takes no requests; None while it takes them."""
        self.unreachable_since: float | None = None
        """Time of the last failed connection, in seconds; None while it counts as reachable."""
        self.in_flight: set[str] = set()
        """Ids of the work of this instance that runs there."""
        self.suspects: set[str] = set()
        """Ids of the in-flight work of suspect requests, including isolated ones."""
        self.isolated: set[str] = set()
        """Ids of the in-flight work that runs isolated."""
        self.load_changes: deque[tuple[float, int]] = deque()
        """Times of local dispatches (+1) and ends (-1) that the report does not include."""
        self.load_change_since_report = 0
        """Sum of `load_changes`."""
        self.pools: tuple[tuple[str, str, str], ...] = ()
        """Keys of the pools that it belongs to: model, version and role."""

    def on_report(self, report: LoadReport) -> None:
        """Replaces the load report.

        Args:
            report: A report that is newer than the current one.
        """
        self.report = report
        while self.load_changes and self.load_changes[0][0] <= report.as_of:
            self.load_change_since_report -= self.load_changes.popleft()[1]

    def record_load_change(self, now: float, change: int) -> None:
        """Records a dispatch or an end by this instance that the report does not include.

        Args:
            now: Current time in seconds.
            change: +1 for a dispatch, -1 for an end.
        """
        self.load_changes.append((now, change))
        self.load_change_since_report += change
        if len(self.load_changes) > MAX_LOAD_CHANGES:
            self.load_change_since_report -= self.load_changes.popleft()[1]

    def reset(self, boot_id: str, backpressure: ServerBackpressure) -> None:
        """Resets the state for a new incarnation of the engine, which has none of the old work.

        A leaving signal from the engine itself is cleared; one from the instance list is kept.

        Args:
            boot_id: Boot id of the new incarnation.
            backpressure: State of an incarnation that has asked for nothing.
        """
        self.boot_id = boot_id
        self.report = None
        self.leaving = self.instance.leaving
        self.backpressure = backpressure
        self.held_until = None
        self.unreachable_since = None
        self.in_flight.clear()
        self.suspects.clear()
        self.isolated.clear()
        self.load_changes.clear()
        self.load_change_since_report = 0

    @property
    def slots(self) -> int:
        """Number of sequences that can run concurrently."""
        return self.instance.slots if self.report is None else self.report.slots

    @property
    def load(self) -> int:
        """Number of running and waiting sequences, including load changes since the report."""
        if self.report is None:
            return len(self.in_flight)
        reported = self.report.running + self.report.waiting
        return max(len(self.in_flight), reported + self.load_change_since_report)
