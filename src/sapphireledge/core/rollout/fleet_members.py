"""Finds out which instances may be alive although they have not reported on an order.

Load pattern: the directory lists instances that are gone beside those that run, some instances
start or stop during an order, and some are alive but cannot write to the store. Old servers stop
once the order is completed, so requests of an instance that still uses them would be lost.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

    from sapphireledge.core.rollout.fleet_reports import FleetReports

__all__ = ["FleetMembers"]

MOST_MEMBERS = 1024
"""Names that are remembered at most, for each source."""

MOST_NAMED = 16
"""Instances that one report names at most; one of them is enough to keep the old servers."""


class FleetMembers:
    """Instances that are known besides those that report.

    An instance that was seen alive since the order is waited for until the deadline is near: it may
    be cut off and still use the old servers. One that is only listed in the directory counts as
    gone if it has not reported some time after it was first listed, as each instance that runs
    writes its first report as soon as it learns of the order.
    """

    def __init__(self) -> None:
        self._alive: set[str] = set()
        self._listed_at: dict[str, float] = {}

    @property
    def alive(self) -> frozenset[str]:
        """Instances that were seen alive since the order."""
        return frozenset(self._alive)

    def on_alive(self, instances: Collection[str]) -> None:
        """Takes in instances that were just seen alive.

        Args:
            instances: Their names.
        """
        room = MOST_MEMBERS - len(self._alive)
        self._alive.update(sorted(set(instances) - self._alive)[:room])

    def on_listed(self, now: float, instances: Collection[str]) -> None:
        """Takes in the directory, which also lists instances that are gone.

        Args:
            now: Current time in seconds.
            instances: Names of the instances in it.
        """
        for instance in instances:
            if len(self._listed_at) < MOST_MEMBERS:
                self._listed_at.setdefault(instance, now)

    def name_unreported(self, reports: FleetReports) -> tuple[str, ...]:
        """Names the instances that this one saw alive and that have not reported.

        Args:
            reports: Reports of all instances.

        Returns:
            The first of them, for the report of this instance.
        """
        return tuple(sorted(self._alive.difference(reports.instances()))[:MOST_NAMED])

    def find_unreported(self, now: float, reports: FleetReports, gone_after: float) -> set[str]:
        """Finds the instances that may be alive and have not reported.

        Args:
            now: Current time in seconds.
            reports: Reports of all instances.
            gone_after: Seconds after which a listed instance without a report is gone.

        Returns:
            Their names.
        """
        found = set(self._alive)
        found.update(name for name, at in self._listed_at.items() if now - at < gone_after)
        for _, report in reports.current():
            found.update(report.unreported[:MOST_NAMED])
        return found.difference(reports.instances())
