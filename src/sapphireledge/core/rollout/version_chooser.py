"""Chooses the versions that single attempts may use, within the exposure of one instance."""

from __future__ import annotations

from copy import copy
from typing import TYPE_CHECKING

from sapphireledge.core.rollout.exposure_allowance import ExposureAllowance
from sapphireledge.core.rollout.exposure_pace import ExposurePace
from sapphireledge.core.rollout.rollout_decision import RolloutStage
from sapphireledge.core.rollout.version_rule import VersionChoice

if TYPE_CHECKING:
    from random import Random

    from sapphireledge.core.rollout.fleet_view import FleetView
    from sapphireledge.core.rollout.rollout_progress import RolloutProgress

__all__ = ["VersionChooser"]

STREAM_PART = 0.4
"""Part of the exposure before the move that streams may take where there are plain requests too."""

EARLY_ANSWERS, PLAIN_ANSWERS = 10, 20
"""Answers of the new version from which requests that must not run twice, and streams, are tried
before their time."""


class VersionChooser:
    """Chooses the versions that single attempts may use while an order is running."""

    def __init__(self, view: FleetView, progress: RolloutProgress, rng: Random) -> None:
        """Creates the state before the first attempt.

        Args:
            view: What this instance knows of the order.
            progress: Its stage and share.
            rng: Source of roundings and first credits.
        """
        self._view = view
        self._progress = progress
        self._allowance = ExposureAllowance(view.limits, rng)
        self._has_slack = False
        self._least_risk = 2
        self._pace = ExposurePace(rng)
        self._trial_paces = (ExposurePace(rng), ExposurePace(rng))
        self._is_stream_chosen = False
        self._has_kind = [False, False]

    def copy(self) -> VersionChooser:
        """Copies what `choose` changes.

        Returns:
            The state, for choices that are not carried out.
        """
        copied = copy(self)
        copied._has_kind = list(self._has_kind)
        return copied

    def choose(
        self, now: float, may_repeat: bool, is_stream: bool, is_retry: bool, is_suspect: bool
    ) -> VersionChoice:
        """Chooses the versions that an attempt may use, if there is no verdict.

        Args:
            now: Current time in seconds.
            may_repeat: Whether the request may run again after a failure.
            is_stream: Whether the answer is a stream.
            is_retry: Whether the request was sent to a server before.
            is_suspect: Whether the new version may be bad.

        Returns:
            The choice.
        """
        progress, counts = self._progress, self._view.counts
        if progress.stage is RolloutStage.FINISH:
            return VersionChoice.NEW_ONLY
        if not self._view.is_in_touch(now):
            return VersionChoice.OLD_ONLY
        if progress.stage is RolloutStage.MOVE:
            is_new = not is_retry and self._pace.permits(progress.share)
            return VersionChoice.NEW_FIRST if is_new else VersionChoice.OLD_FIRST
        if progress.stage not in (RolloutStage.TRIAL, RolloutStage.WATCH) or is_retry:
            return VersionChoice.OLD_ONLY
        if not progress.share or not self._is_kind_tried(now, may_repeat, is_stream, is_suspect):
            return VersionChoice.OLD_ONLY
        share = self._allowance.share(progress.share, counts.requests + 1, counts.new_sent)
        self._is_stream_chosen = is_stream
        if share and self._trial_paces[is_stream].permits(share * self._part(is_stream)):
            return VersionChoice.NEW_FIRST
        return VersionChoice.OLD_ONLY

    def on_sent(self, *, is_new: bool, is_retry: bool) -> None:
        """Takes in an attempt, after it was counted.

        Args:
            is_new: Whether it goes to the new version.
            is_retry: Whether the request was sent before.
        """
        share, counts = self._progress.share, self._view.counts
        if self._progress.stage is RolloutStage.MOVE:
            self._pace.on_sent(share, is_new=is_new, is_retry=is_retry)
            return
        share = self._allowance.share(share, counts.requests, counts.new_sent)
        for is_stream, pace in enumerate(self._trial_paces):
            is_kind = bool(is_stream) is self._is_stream_chosen
            part = self._part(bool(is_stream))
            pace.on_sent(share * part, is_new=is_new and is_kind, is_retry=is_retry)

    def grant_slack(self, now: float) -> None:
        """Grants the slack once the number of instances is known, if the order is as new here as
        elsewhere; an instance that starts later may be one that has used its part before.

        Args:
            now: Current time in seconds.
        """
        view = self._view
        if self._has_slack or not view.is_settled(now) or not view.is_in_touch(now):
            return
        self._has_slack = True
        if not view.is_late:
            self._allowance.grant_slack(view.number_of_instances)

    def _is_kind_tried(
        self, now: float, may_repeat: bool, is_stream: bool, is_suspect: bool
    ) -> bool:
        """Whether requests of a kind are tried yet; first those whose failure costs least."""
        view = self._view
        risk = 2 if is_stream else int(not may_repeat)
        self._least_risk = min(self._least_risk, risk)
        self._has_kind[is_stream] = True
        if risk == self._least_risk and view.is_settled(now):
            return True
        enough = (0, EARLY_ANSWERS, PLAIN_ANSWERS)[risk]
        latest = (0.0, view.schedule.plain_at, view.schedule.streams_at)[risk]
        is_early = view.load.new_answers >= enough and not is_suspect
        return is_early or view.age(now) >= latest

    def _part(self, is_stream: bool) -> float:
        """Part of the exposure that is kept for streams, or for plain requests, if the service has
        both: otherwise few streams would mean no evidence about them."""
        if not all(self._has_kind):
            return 1.0
        return STREAM_PART if is_stream else 1.0 - STREAM_PART
