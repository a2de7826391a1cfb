"""Decides which version of a service each attempt uses while an operator moves to another one.

Load patterns: the new version is good, or it is bad from the start, after a while, only under load
or on one route, while servers crash, instances restart and the store cannot be reached. A bad
version must be given few requests, and none soon after its fault shows; a good one must have all of
them by the deadline. Each instance keeps the share for its own requests and judges the version by
the counts of all of them; it uses the new version only while it hears the others and they can hear
it.
"""

from __future__ import annotations

from copy import copy
from math import inf
from typing import TYPE_CHECKING

from sapphireledge.core.rollout.answer_quality import AnswerQuality
from sapphireledge.core.rollout.compare_versions import FIRST_EVENT_MARK, compare_versions
from sapphireledge.core.rollout.exposure_allowance import ExposureAllowance
from sapphireledge.core.rollout.exposure_pace import ExposurePace
from sapphireledge.core.rollout.find_blockers import find_blockers
from sapphireledge.core.rollout.fleet_load import FleetLoad
from sapphireledge.core.rollout.fleet_reports import FleetReports
from sapphireledge.core.rollout.own_counts import OwnCounts
from sapphireledge.core.rollout.report_writing import ReportWriting
from sapphireledge.core.rollout.rollout_decision import RolloutDecision, RolloutStage
from sapphireledge.core.rollout.rollout_report import RolloutReport
from sapphireledge.core.rollout.rollout_schedule import RolloutSchedule
from sapphireledge.core.rollout.rollout_state import RolloutState
from sapphireledge.core.rollout.version_rule import VersionChoice, VersionRule
from sapphireledge.core.rollout.version_verdict import VersionVerdict

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence
    from random import Random

    from sapphireledge.core.rollout.rollout_limits import RolloutLimits
    from sapphireledge.core.rollout.rollout_order import RolloutOrder

__all__ = ["Rollout"]

WINDOWS = (10.0, 30.0, inf)
"""Seconds of the windows in which the versions are compared. The short ones find a version that
turns bad, the long one finds a low rate of bad answers."""

SLOW_FACTOR = 2.5
"""Multiple of the usual time of the old version from which an answer is slow."""

SLOW_ADDITION = 0.07
"""Seconds by which it is longer at least: a round trip to the farthest data centre."""

MOVE_SHARES = (0.3, 0.6)
"""Shares of the new version in the steps of the move. The old version keeps enough requests for a
comparison."""

HELD_SHARE = 0.5
"""Share while the load exceeds what the old version has shown: both versions then have the same."""

STREAM_PART = 0.4
"""Part of the exposure before the move that streams may take where there are plain requests too."""

EARLY_ANSWERS, PLAIN_ANSWERS = 10, 20
"""Answers of the new version from which requests that must not run twice, and streams, are tried
before their time."""

OBSERVED_TIME = 8.0
"""Seconds for which the new version is observed under the whole load, if there is time for it."""

LONGEST_STEP = 1.0
"""Seconds between two evaluations that count for the move at most."""

JUDGE_INTERVAL = 0.4
"""Seconds between two comparisons, which cost some milliseconds with hundreds of instances."""

OVERDUE_FACTOR = 3.0
"""Multiple of the age of reports that is allowed to an instance that would miss the deadline."""

SETTLE_TIME = 3.0
"""Seconds after an order from which the number of instances is known from their reports."""


class Rollout:
    """One order at one instance."""

    def __init__(
        self,
        limits: RolloutLimits,
        order: RolloutOrder,
        instance: str,
        now: float,
        rng: Random,
    ) -> None:
        """Creates the state of an order.

        Args:
            limits: Limits.
            order: The order.
            instance: Name of this instance, unique in the fleet.
            now: Time in seconds at which this instance learnt of the order.
            rng: Source of choices and of the incarnation.
        """
        self._limits = limits
        self._order = order
        self._instance = instance
        self._incarnation = f"{rng.getrandbits(64):016x}"
        self._schedule = RolloutSchedule.plan(limits, order.duration)
        self._learnt_at = now
        self._ordered_at = now
        self._state = RolloutState.RUNNING
        self._counts = OwnCounts()
        self._reports = FleetReports(order.order_id)
        self._load = FleetLoad()
        self._writing = ReportWriting(limits)
        self._allowance = ExposureAllowance(limits, rng)
        self._has_slack = False
        self._least_risk = 2
        self._alive: frozenset[str] = frozenset()
        self._confirmed_at = -inf
        self._sequence = 0
        self._stage = RolloutStage.WAITING
        self._share = 0.0
        self._moved_for: float | None = None
        self._advanced_at = now
        self._pace = ExposurePace(rng)
        self._trial_paces = (ExposurePace(rng), ExposurePace(rng))
        self._is_stream_chosen = False
        self._has_kind = [False, False]
        self._is_new_only = False
        self._finished_at = inf
        self._verdict = ""
        self._comparison = VersionVerdict()
        self._judged_at = -inf

    @property
    def order(self) -> RolloutOrder:
        """The order."""
        return self._order

    def on_status(self, now: float, state: RolloutState) -> None:
        """Takes in the stored status; a final one is kept whatever follows.

        Args:
            now: Current time in seconds.
            state: State of this order.
        """
        if self._state is RolloutState.RUNNING:
            self._state = state

    def on_reports(self, now: float, reports: Sequence[RolloutReport]) -> None:
        """Takes in reports; those of other orders and older ones are ignored.

        Args:
            now: Current time in seconds.
            reports: Reports of other instances, of this one, or both.
        """
        for report in reports:
            if (report.instance, report.incarnation) == (self._instance, self._incarnation):
                continue
            if self._reports.add(now, report):
                self._ordered_at = min(self._ordered_at, now - report.age)
                if report.verdict and not self._verdict:
                    self._verdict = report.verdict

    def on_instances(self, now: float, instances: Collection[str]) -> None:
        """Takes in which instances are alive as far as is known, besides those that report.

        The old version is not left behind while one of them has not reported; never called, only
        the instances that reported count.

        Args:
            now: Current time in seconds.
            instances: Names of instances.
        """
        self._alive = frozenset(instances)

    def on_feed_confirmed(self, now: float) -> None:
        """Takes in that the known reports were the newest in the store at a time.

        Args:
            now: That time in seconds.
        """
        self._confirmed_at = max(self._confirmed_at, now)

    def on_report_written(self, now: float, sequence: int) -> None:
        """Takes in that a report of this instance reached the store.

        Args:
            now: Current time in seconds.
            sequence: Its sequence number.
        """
        self._writing.on_stored(sequence)

    def choose(
        self,
        now: float,
        *,
        may_repeat: bool,
        is_stream: bool,
        is_retry: bool,
        resumed_from: str | None = None,
    ) -> VersionRule:
        """Chooses the versions that an attempt may use, without side effect on the counts.

        Args:
            now: Current time in seconds.
            may_repeat: Whether the request may run again after a failure.
            is_stream: Whether the answer is a stream.
            is_retry: Whether the request was sent to a server before.
            resumed_from: Version that produced the first part of the stream, None for a new one.

        Returns:
            The rule, for an attempt that is sent at once.
        """
        is_retry = is_retry or resumed_from is not None
        return VersionRule(self._order.target, self._choose(now, may_repeat, is_stream, is_retry))

    def copy_for_choice(self) -> Rollout:
        """Copies what `choose` changes.

        Returns:
            The roll-out, for choices that are not carried out.
        """
        copied = copy(self)
        copied._has_kind = list(self._has_kind)
        return copied

    def on_sent(self, now: float, route: str, version: str, *, is_retry: bool = False) -> None:
        """Counts an attempt that is sent to a server; exactly one `on_result` follows.

        Args:
            now: Current time in seconds.
            route: Route of the request.
            version: Version of the server.
            is_retry: Whether the request was sent to a server before.
        """
        is_new = version == self._order.target
        counts = self._counts
        counts.count_sent(route, is_new, is_retry)
        if self._stage is RolloutStage.MOVE:
            self._pace.on_sent(self._share, is_new=is_new, is_retry=is_retry)
            return
        share = self._allowance.share(self._share, counts.requests, counts.new_sent)
        for is_stream, pace in enumerate(self._trial_paces):
            is_kind = bool(is_stream) is self._is_stream_chosen
            part = self._part(bool(is_stream))
            pace.on_sent(share * part, is_new=is_new and is_kind, is_retry=is_retry)

    def on_result(
        self,
        now: float,
        route: str,
        version: str,
        result: AnswerQuality,
        seconds: float | None,
        *,
        server: str = "",
    ) -> None:
        """Counts the end of an attempt.

        Args:
            now: Current time in seconds.
            route: Route of the request.
            version: Version of the server.
            result: What the end says about the server.
            seconds: Time to compare between versions: for a plain answer from sending to its end;
                for a stream the time to the first event plus the mean time between events times a
                fixed number. None if it cannot be compared, as that of a server that has just
                started and is still slow for that reason.
            server: Name of the server; failures of a few servers are not those of a version.
        """
        self._counts.end_attempt(version == self._order.target)
        self._count(now, route, version, result, seconds, server)

    def on_first_event(
        self, now: float, route: str, version: str, seconds: float | None, *, server: str = ""
    ) -> None:
        """Takes in the first event of a stream, which shows a slow server long before the end.

        Args:
            now: Current time in seconds.
            route: Route of the request.
            version: Version of the server.
            seconds: Time from sending to the event, None if it cannot be compared.
            server: Name of the server.
        """
        name = route + FIRST_EVENT_MARK
        self._count(now, name, version, AnswerQuality.GOOD, seconds, server)

    def is_report_due(self, now: float) -> bool:
        """Whether the report should be written now.

        Args:
            now: Current time in seconds.

        Returns:
            Whether it is due.
        """
        return self._writing.is_due(now, self._report_state(), self._number_of_instances())

    def report(self, now: float) -> RolloutReport:
        """Makes the next report.

        Args:
            now: Current time in seconds.

        Returns:
            The report, with the next sequence number.
        """
        report = self._make_report(now)
        self._writing.on_made(now, report.sequence, self._report_state())
        return report

    def decide(self, now: float) -> RolloutDecision:
        """Evaluates the roll-out; called at least twice a second.

        Args:
            now: Current time in seconds.

        Returns:
            The decision.
        """
        if self._state is not RolloutState.RUNNING:
            self._stage = RolloutStage.DONE
            self._share = float(self._state is RolloutState.COMPLETED)
            return RolloutDecision(self._stage, self._share)
        self._reports.add(now, self._make_report(now))
        if now - self._judged_at >= JUDGE_INTERVAL:
            self._judged_at = now
            self._reports.take_snapshot(now)
            self._load.update(now, self._reports)
            self._judge(now)
        self._grant_slack(now)
        self._advance(now)
        proposed, reason = self._propose(now)
        return RolloutDecision(
            self._stage,
            self._share,
            proposed,
            reason,
            self._evidence(),
            self._stage is RolloutStage.FINISH and self._age(now) >= self._schedule.move_streams_at,
        )

    def _count(
        self,
        now: float,
        route: str,
        version: str,
        result: AnswerQuality,
        seconds: float | None,
        server: str,
    ) -> None:
        """Counts what an attempt says about its server."""
        is_slow = seconds is not None and self._is_slow(route, seconds)
        is_new = version == self._order.target
        bad_before = self._counts.new_bad
        self._counts.count_result(route, is_new, result, seconds, is_slow, server)
        if self._counts.new_bad > bad_before:
            self._writing.on_bad(now, self._counts.new_bad)

    def _choose(
        self, now: float, may_repeat: bool, is_stream: bool, is_retry: bool
    ) -> VersionChoice:
        """Chooses the versions that an attempt may use."""
        if self._state is RolloutState.COMPLETED:
            return VersionChoice.NEW_ONLY
        if self._state is RolloutState.ROLLED_BACK or self._verdict:
            return VersionChoice.OLD_ONLY
        if self._stage is RolloutStage.FINISH:
            return VersionChoice.NEW_ONLY
        if not self._is_in_touch(now):
            return VersionChoice.OLD_ONLY
        counts = self._counts
        if self._stage is RolloutStage.MOVE:
            is_new = not is_retry and self._pace.permits(self._share)
            return VersionChoice.NEW_FIRST if is_new else VersionChoice.OLD_FIRST
        if self._stage not in (RolloutStage.TRIAL, RolloutStage.WATCH) or is_retry:
            return VersionChoice.OLD_ONLY
        if not self._share or not self._is_kind_tried(now, may_repeat, is_stream):
            return VersionChoice.OLD_ONLY
        share = self._allowance.share(self._share, counts.requests + 1, counts.new_sent)
        self._is_stream_chosen = is_stream
        if share and self._trial_paces[is_stream].permits(share * self._part(is_stream)):
            return VersionChoice.NEW_FIRST
        return VersionChoice.OLD_ONLY

    def _is_kind_tried(self, now: float, may_repeat: bool, is_stream: bool) -> bool:
        """Whether requests of a kind are tried yet; first those whose failure costs least."""
        risk = 2 if is_stream else int(not may_repeat)
        self._least_risk = min(self._least_risk, risk)
        self._has_kind[is_stream] = True
        if risk == self._least_risk and now - self._learnt_at >= SETTLE_TIME:
            return True
        enough = (0, EARLY_ANSWERS, PLAIN_ANSWERS)[risk]
        latest = (0.0, self._schedule.plain_at, self._schedule.streams_at)[risk]
        is_early = self._load.new_answers >= enough and not self._comparison.is_suspect
        return is_early or self._age(now) >= latest

    def _part(self, is_stream: bool) -> float:
        """Part of the exposure that is kept for streams, or for plain requests, if the service has
        both: otherwise few streams would mean no evidence about them."""
        if not all(self._has_kind):
            return 1.0
        return STREAM_PART if is_stream else 1.0 - STREAM_PART

    def _is_slow(self, route: str, seconds: float) -> bool:
        """Whether an answer took several times as long as those of the old version usually do."""
        reference = self._counts.reference(route) or self._load.old_seconds.get(route)
        if reference is None:
            return False
        return seconds >= max(SLOW_FACTOR * reference, reference + SLOW_ADDITION)

    def _is_in_touch(self, now: float) -> bool:
        """Whether this instance hears the others and they can hear it, soon enough."""
        is_heard = self._writing.is_publishing(now, self._number_of_instances())
        return is_heard and self._hears(now)

    def _hears(self, now: float, factor: float = 1.0) -> bool:
        """Whether the reports of the others are recent enough."""
        return now - self._confirmed_at <= factor * self._limits.hear_limit

    def _age(self, now: float) -> float:
        """Seconds since the order, as far as is known."""
        return now - self._ordered_at

    def _number_of_instances(self) -> int:
        """Number of instances, at least 1."""
        return max(len(self._alive), self._reports.number, 1)

    def _report_state(self) -> tuple[int, int, bool, bool, str]:
        """What makes a report worth writing, see `ReportWriting.is_due`."""
        counts = self._counts
        return (
            counts.new_bad,
            counts.new_sent,
            self._is_new_only,
            counts.old_in_flight > 0,
            self._verdict,
        )

    def _make_report(self, now: float) -> RolloutReport:
        """Makes the report as of now."""
        self._sequence += 1
        counts = self._counts
        return RolloutReport(
            self._instance,
            self._order.order_id,
            self._incarnation,
            self._sequence,
            round(self._age(now), 2),
            counts.requests,
            counts.versions(is_new=False),
            counts.versions(is_new=True),
            dict(counts.bad_servers),
            counts.new_servers,
            counts.old_in_flight,
            self._is_new_only,
            self._verdict,
        )

    def _judge(self, now: float) -> None:
        """Compares the versions in each window; a verdict is final for this order."""
        strongest = VersionVerdict()
        if self._load.is_comparable:
            for window in WINDOWS:
                verdict = compare_versions(self._reports.compared_window(now, window))
                if verdict.is_bad or (verdict.is_suspect and not strongest.is_suspect):
                    strongest = verdict
                if verdict.is_bad:
                    break
        else:
            self._reports.exclude_until(now)
        self._comparison = strongest
        if strongest.is_bad and not self._verdict:
            self._verdict = strongest.reason
        is_doubtful = strongest.is_suspect or self._load.looks_bad
        is_overdue = self._age(now) >= self._schedule.force_at and not self._is_new_only
        if is_overdue and is_doubtful and not self._verdict and self._is_in_touch(now):
            self._verdict = strongest.reason or "too many bad answers to move by the deadline"

    def _grant_slack(self, now: float) -> None:
        """Grants the slack once the number of instances is known, if the order is as new here as
        elsewhere; an instance that starts later may be one that has used its part before."""
        if self._has_slack or now - self._learnt_at < SETTLE_TIME or not self._is_in_touch(now):
            return
        self._has_slack = True
        if self._learnt_at - self._ordered_at <= SETTLE_TIME:
            self._allowance.grant_slack(self._number_of_instances())

    def _advance(self, now: float) -> None:
        """Sets the stage and the share."""
        if self._verdict:
            self._stage, self._share, self._is_new_only = RolloutStage.STOPPED, 0.0, False
            return
        if self._is_new_only:
            return
        since_last = min(now - self._advanced_at, LONGEST_STEP)
        self._advanced_at = now
        if self._hears(now) and self._joins_finish():
            self._finish(now)
        elif not self._is_in_touch(now):
            self._stage, self._share = RolloutStage.WAITING, 0.0
            if self._is_move_overdue(now):
                self._finish(now)
        elif self._moved_for is not None:
            if not self._comparison.is_suspect:
                self._moved_for += since_last
            self._set_move_stage(now, self._moved_for)
        elif self._may_move(now):
            self._moved_for = 0.0
            self._set_move_stage(now, 0.0)
        else:
            self._set_trial_stage(now)

    def _finish(self, now: float) -> None:
        """Leaves the old version."""
        self._stage, self._share, self._is_new_only = RolloutStage.FINISH, 1.0, True
        self._finished_at = now

    def _is_move_overdue(self, now: float) -> bool:
        """Whether this instance would miss the deadline only because it hears the others a little
        too late; by now most of them have moved."""
        schedule = self._schedule
        is_late = self._age(now) >= schedule.latest_move_at + 2.0 * schedule.ramp
        return is_late and self._hears(now, OVERDUE_FACTOR) and self._is_mostly_left()

    def _joins_finish(self) -> bool:
        """Whether this instance started late and most others have left the old version: it would
        send requests to servers that the others are about to have stopped."""
        return self._learnt_at - self._ordered_at > SETTLE_TIME and self._is_mostly_left()

    def _is_mostly_left(self) -> bool:
        """Whether most of the other instances have left the old version."""
        others = [r for _, r in self._reports.current() if r.instance != self._instance]
        return 2 * sum(report.new_only for report in others) > len(others)

    def _set_trial_stage(self, now: float) -> None:
        """Sets the stage and the share within the exposure limit."""
        limits, load = self._limits, self._load
        is_watch = load.is_proven or self._age(now) >= self._schedule.streams_at
        self._stage = RolloutStage.WATCH if is_watch else RolloutStage.TRIAL
        self._share = limits.exposed_share * (limits.watch_part if is_watch else limits.trial_part)
        allowed = limits.exposed_share * load.requests + limits.exposed_slack
        if load.new_sent > limits.fleet_part * allowed:
            self._share = 0.0

    def _set_move_stage(self, now: float, moved_for: float) -> None:
        """Sets the stage and the share of the move."""
        self._stage = RolloutStage.MOVE
        step = int(moved_for / self._schedule.ramp * len(MOVE_SHARES))
        is_late = self._age(now) >= self._schedule.move_streams_at
        if step < len(MOVE_SHARES):
            share = MOVE_SHARES[step]
            self._share = share if self._load.is_usual else min(share, HELD_SHARE)
            if self._comparison.is_suspect:
                self._share = MOVE_SHARES[0]
        elif self._comparison.is_suspect:
            self._share = MOVE_SHARES[0]
        elif self._load.is_usual or is_late:
            self._finish(now)
        else:
            self._share = HELD_SHARE

    def _may_move(self, now: float) -> bool:
        """Whether the new version is believed to be good, and it is time for it."""
        age, load = self._age(now), self._load
        if age < self._schedule.move_at or self._comparison.is_suspect:
            return False
        if load.is_proven:
            return True
        is_late = age >= self._schedule.latest_move_at
        return is_late and load.has_some_evidence(self._limits.exposed_slack)

    def _propose(self, now: float) -> tuple[RolloutState | None, str]:
        """Decides whether a final state is to be written."""
        if self._verdict:
            return RolloutState.ROLLED_BACK, self._verdict
        if not self._is_new_only or not self._is_in_touch(now):
            return None, ""
        is_observed = self._load.is_observed and now - self._finished_at >= OBSERVED_TIME
        is_observed = is_observed and not self._comparison.is_suspect
        if not is_observed and self._age(now) < self._schedule.move_streams_at:
            return None, "observing the new version under the whole load"
        is_forced = self._age(now) >= self._schedule.force_at
        blockers = find_blockers(
            now, self._reports, self._alive, self._limits.gone_after, is_forced=is_forced
        )
        if blockers:
            return None, f"waiting for {len(blockers)} instances, first {min(blockers)}"
        return RolloutState.COMPLETED, "no instance uses the old version"

    def _evidence(self) -> dict[str, float]:
        """Figures for the log."""
        load = self._load
        figures = {
            "requests": load.requests,
            "new_sent": load.new_sent,
            "new_answers": load.new_answers,
            "instances": self._number_of_instances(),
        }
        return figures | dict(self._comparison.evidence)
