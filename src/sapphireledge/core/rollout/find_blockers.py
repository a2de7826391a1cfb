"""Finds out what keeps a roll-out from being completed."""

from __future__ import annotations

from collections.abc import Collection

from sapphireledge.core.rollout.fleet_reports import FleetReports

__all__ = ["find_blockers"]


def find_blockers(
    now: float,
    reports: FleetReports,
    unreported: Collection[str],
    gone_after: float,
    *,
    is_forced: bool,
) -> list[str]:
    """Finds the instances that have work at the old version or could still send some.

    Args:
        now: Current time in seconds.
        reports: Reports, this instance's own included.
        unreported: Instances that may be alive and have not reported.
        gone_after: Seconds without a report after which an instance is cut off or gone.
        is_forced: Whether the deadline leaves no more time: instances without a sign of life and
            work that remains are not waited for.

    Returns:
        Names of the instances.
    """
    blockers = []
    for heard_at, report in reports.current():
        is_silent = now - heard_at > gone_after
        if report.new_only and (is_forced or not report.old_in_flight):
            continue
        if not (is_forced and is_silent):
            blockers.append(report.instance)
    if not is_forced:
        blockers.extend(unreported)
    return blockers
