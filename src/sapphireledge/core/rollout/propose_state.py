"""Decides whether a final state of an order is to be written."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.core.rollout.find_blockers import find_blockers
from sapphireledge.core.rollout.rollout_state import RolloutState

if TYPE_CHECKING:
    from sapphireledge.core.rollout.fleet_view import FleetView
    from sapphireledge.core.rollout.rollout_progress import RolloutProgress
    from sapphireledge.core.rollout.version_judge import VersionJudge

__all__ = ["propose_state"]

OBSERVED_TIME = 8.0
"""Seconds for which the new version is observed under the whole load, if there is time for it."""


def propose_state(
    now: float,
    view: FleetView,
    progress: RolloutProgress,
    judge: VersionJudge,
    *,
    has_choice: bool,
) -> tuple[RolloutState | None, str]:
    """Decides whether a final state of an order is to be written.

    Args:
        now: Current time in seconds.
        view: What this instance knows of the order.
        progress: Its stage.
        judge: Its verdict.
        has_choice: Whether there is another version; without, the order is never rolled back.

    Returns:
        The state, None for none, and why.
    """
    if judge.verdict and has_choice:
        return RolloutState.ROLLED_BACK, judge.verdict
    if not progress.is_new_only or not view.is_in_touch(now):
        return None, ""
    if has_choice and (reason := _find_doubt(now, view, progress, judge)):
        return None, reason
    is_forced = view.age(now) >= view.schedule.force_at
    gone_after = view.limits.gone_after
    unreported = view.members.find_unreported(now, view.reports, gone_after)
    blockers = find_blockers(now, view.reports, unreported, gone_after, is_forced=is_forced)
    if blockers:
        return None, f"waiting for {len(blockers)} instances, first {min(blockers)}"
    return RolloutState.COMPLETED, "no instance uses the old version"


def _find_doubt(now: float, view: FleetView, progress: RolloutProgress, judge: VersionJudge) -> str:
    """Finds out why the new version is not yet believed to be good; empty if it is."""
    is_observed = view.load.is_observed and now - progress.finished_at >= OBSERVED_TIME
    is_observed = is_observed and not judge.comparison.is_suspect
    if not is_observed and view.age(now) < view.schedule.move_streams_at:
        return "observing the new version under the whole load"
    if view.load.is_doubtful:
        return "too many of the few answers of the new version were bad"
    return ""
