"""Stage of one instance in a roll-out, and the share that the new version is given."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from sapphireledge.core.rollout.rollout_decision import RolloutStage

if TYPE_CHECKING:
    from sapphireledge.core.rollout.fleet_view import FleetView

__all__ = ["RolloutProgress"]

MOVE_SHARES = (0.3, 0.6)
"""Shares of the new version in the steps of the move. The old version keeps enough requests for a
comparison."""

HELD_SHARE = 0.5
"""Share while the load exceeds what the old version has shown: both versions then have the same."""

LONGEST_STEP = 1.0
"""Seconds between two evaluations that count for the move at most."""

OVERDUE_FACTOR = 3.0
"""Multiple of the age of reports that is allowed to an instance that would miss the deadline."""


class RolloutProgress:
    """Stage of one instance in a roll-out, and the share that the new version is given."""

    def __init__(self, view: FleetView, now: float) -> None:
        """Creates the progress at the start of an order.

        Args:
            view: What this instance knows of the order.
            now: Current time in seconds.
        """
        self.stage = RolloutStage.WAITING
        """Position of this instance."""

        self.share = 0.0
        """Share of the requests that the new version is given."""

        self.is_new_only = False
        """Whether this instance sends nothing to the old version any more."""

        self.finished_at = inf
        """Time in seconds at which it left the old version."""

        self._view = view
        self._moved_for: float | None = None
        self._had_choice = True
        self._advanced_at = now

    def end(self, stage: RolloutStage, share: float) -> None:
        """Sets the stage of an order whose stored status is final.

        Args:
            stage: The stage.
            share: Share of the new version.
        """
        self.stage, self.share = stage, share

    def advance(self, now: float, *, is_bad: bool, is_suspect: bool) -> None:
        """Sets the stage and the share.

        Args:
            now: Current time in seconds.
            is_bad: Whether there is a verdict.
            is_suspect: Whether the new version may be bad.
        """
        if not self._had_choice:
            self._had_choice, self.is_new_only, self.finished_at = True, False, inf
        if is_bad:
            self.stage, self.share, self.is_new_only = RolloutStage.STOPPED, 0.0, False
            return
        if self.is_new_only:
            return
        view = self._view
        since_last = min(now - self._advanced_at, LONGEST_STEP)
        self._advanced_at = now
        # An instance that started late would send requests to servers that the others are about to
        # have stopped.
        if view.hears(now) and view.is_late and view.is_mostly_left:
            self._finish(now)
        elif not view.is_in_touch(now):
            self.stage, self.share = RolloutStage.WAITING, 0.0
            if self._is_move_overdue(now):
                self._finish(now)
        elif self._moved_for is not None:
            if not is_suspect:
                self._moved_for += since_last
            self._set_move_stage(now, self._moved_for, is_suspect)
        elif self._may_move(now, is_suspect):
            self._moved_for = 0.0
            self._set_move_stage(now, 0.0, is_suspect)
        else:
            self._set_trial_stage(now)

    def advance_without_choice(self, now: float) -> None:
        """Sets the stage and the share while there are only servers of the target.

        Args:
            now: Current time in seconds.
        """
        self._advanced_at = now
        if self.is_new_only or not self._view.is_settled(now):
            return
        self._had_choice = False
        self._finish(now)

    def _finish(self, now: float) -> None:
        """Leaves the old version."""
        self.stage, self.share, self.is_new_only = RolloutStage.FINISH, 1.0, True
        self.finished_at = now

    def _is_move_overdue(self, now: float) -> bool:
        """Whether this instance would miss the deadline only because it hears the others a little
        too late; by now most of them have moved."""
        view = self._view
        is_late = view.age(now) >= view.schedule.latest_move_at + 2.0 * view.schedule.ramp
        return is_late and view.hears(now, OVERDUE_FACTOR) and view.is_mostly_left

    def _set_trial_stage(self, now: float) -> None:
        """Sets the stage and the share within the exposure limit."""
        view = self._view
        limits, load = view.limits, view.load
        is_watch = load.is_proven or view.age(now) >= view.schedule.streams_at
        self.stage = RolloutStage.WATCH if is_watch else RolloutStage.TRIAL
        self.share = limits.exposed_share * (limits.watch_part if is_watch else limits.trial_part)
        allowed = limits.exposed_share * load.requests + limits.exposed_slack
        if load.new_sent > limits.fleet_part * allowed:
            self.share = 0.0

    def _set_move_stage(self, now: float, moved_for: float, is_suspect: bool) -> None:
        """Sets the stage and the share of the move."""
        view = self._view
        self.stage = RolloutStage.MOVE
        step = int(moved_for / view.schedule.ramp * len(MOVE_SHARES))
        is_late = view.age(now) >= view.schedule.move_streams_at
        if is_suspect:
            self.share = MOVE_SHARES[0]
        elif step < len(MOVE_SHARES):
            share = MOVE_SHARES[step]
            self.share = share if view.load.is_usual else min(share, HELD_SHARE)
        elif view.load.is_usual or is_late:
            self._finish(now)
        else:
            self.share = HELD_SHARE

    def _may_move(self, now: float, is_suspect: bool) -> bool:
        """Whether the new version is believed to be good, and it is time for it."""
        view = self._view
        age, load = view.age(now), view.load
        if age < view.schedule.move_at or is_suspect:
            return False
        if load.is_proven:
            return True
        is_late = age >= view.schedule.latest_move_at
        return is_late and load.has_some_evidence(view.limits.exposed_slack)
