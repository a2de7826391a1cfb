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
from typing import TYPE_CHECKING

from sapphireledge.core.rollout.answer_quality import AnswerQuality
from sapphireledge.core.rollout.compare_versions import FIRST_EVENT_MARK
from sapphireledge.core.rollout.fleet_view import FleetView
from sapphireledge.core.rollout.propose_state import propose_state
from sapphireledge.core.rollout.report_maker import ReportMaker
from sapphireledge.core.rollout.rollout_decision import RolloutDecision, RolloutStage
from sapphireledge.core.rollout.rollout_progress import RolloutProgress
from sapphireledge.core.rollout.rollout_state import RolloutState
from sapphireledge.core.rollout.version_chooser import VersionChooser
from sapphireledge.core.rollout.version_judge import VersionJudge
from sapphireledge.core.rollout.version_rule import VersionChoice, VersionRule

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence
    from random import Random

    from sapphireledge.core.rollout.rollout_limits import RolloutLimits
    from sapphireledge.core.rollout.rollout_order import RolloutOrder
    from sapphireledge.core.rollout.rollout_report import RolloutReport

__all__ = ["Rollout"]


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
        self._order = order
        self._instance = instance
        self._incarnation = f"{rng.getrandbits(64):016x}"
        self._state = RolloutState.RUNNING
        self._view = FleetView(limits, order, instance, now)
        self._judge = VersionJudge(self._view)
        self._progress = RolloutProgress(self._view, now)
        self._chooser = VersionChooser(self._view, self._progress, rng)
        names = (instance, order.order_id, self._incarnation)
        self._reports = ReportMaker(names, self._view, self._progress, self._judge)

    @property
    def order(self) -> RolloutOrder:
        """The order."""
        return self._order

    @property
    def limits(self) -> RolloutLimits:
        """Limits of this order."""
        return self._view.limits

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
            if self._view.on_report(now, report):
                self._judge.on_verdict(report.verdict)

    def on_instances(self, now: float, instances: Collection[str]) -> None:
        """Takes in instances that are alive as far as is known, besides those that report.

        The order is not completed while one of them has not reported, unless the deadline is near.

        Args:
            now: Current time in seconds.
            instances: Names of instances; those of earlier calls stay known.
        """
        self._view.members.on_alive(instances)

    def on_directory(self, now: float, instances: Collection[str]) -> None:
        """Takes in the directory of instances, which also lists those that are gone.

        Args:
            now: Current time in seconds.
            instances: Names of the instances in it.
        """
        self._view.members.on_listed(now, instances)

    def on_feed_confirmed(self, now: float) -> None:
        """Takes in that the known reports were the newest in the store at a time.

        Args:
            now: That time in seconds.
        """
        self._view.on_feed_confirmed(now)

    def on_report_written(self, now: float, sequence: int) -> None:
        """Takes in that a report of this instance reached the store.

        Args:
            now: Current time in seconds.
            sequence: Its sequence number.
        """
        self._view.writing.on_stored(sequence)

    def choose(
        self,
        now: float,
        *,
        may_repeat: bool,
        is_stream: bool,
        is_retry: bool,
    ) -> VersionRule:
        """Chooses the versions that an attempt may use, without side effect on the counts.

        Args:
            now: Current time in seconds.
            may_repeat: Whether the request may run again after a failure.
            is_stream: Whether the answer is a stream.
            is_retry: Whether the request was sent to a server before.

        Returns:
            The rule, for an attempt that is sent at once.
        """
        return VersionRule(self._order.target, self._choose(now, may_repeat, is_stream, is_retry))

    def still_permits(self, now: float, version: str) -> bool:
        """Whether an attempt that `choose` gave a version a moment ago may still be sent.

        Args:
            now: Current time in seconds.
            version: Version of the server.

        Returns:
            Whether it may; the share is not drawn again.
        """
        is_new = version == self._order.target
        if self._state is not RolloutState.RUNNING:
            return is_new is (self._state is RolloutState.COMPLETED)
        if self._judge.verdict or self._progress.stage is RolloutStage.FINISH:
            return is_new is not bool(self._judge.verdict)
        return not is_new or (self._progress.share > 0.0 and self._view.is_in_touch(now))

    def copy_for_choice(self) -> Rollout:
        """Copies what `choose` changes.

        Returns:
            The roll-out, for choices that are not carried out.
        """
        copied = copy(self)
        copied._chooser = self._chooser.copy()
        return copied

    def on_sent(self, now: float, route: str, version: str, *, is_retry: bool = False) -> None:
        """Counts an attempt that is about to be sent; one `on_result` or `on_withdrawn` follows.

        Args:
            now: Current time in seconds.
            route: Route of the request.
            version: Version of the server.
            is_retry: Whether the request was sent to a server before.
        """
        is_new = version == self._order.target
        self._view.counts.count_sent(route, is_new, is_retry)
        self._chooser.on_sent(is_new=is_new, is_retry=is_retry)

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
        self._view.counts.end_attempt(version == self._order.target)
        self._count(now, route, version, result, seconds, server)

    def on_withdrawn(self, route: str, version: str, *, is_retry: bool = False) -> None:
        """Takes back an attempt that was not sent; its draw of the share is not repeated.

        Args:
            route: Route of the request.
            version: Version of the server.
            is_retry: What `on_sent` was told.
        """
        self._view.counts.withdraw(route, version == self._order.target, is_retry)

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
        view = self._view
        return view.writing.is_due(now, self._reports.state(), view.number_of_instances)

    def report(self, now: float) -> RolloutReport:
        """Makes the next report.

        Args:
            now: Current time in seconds.

        Returns:
            The report, with the next sequence number.
        """
        report = self._reports.make(now)
        self._view.writing.on_made(now, report.sequence, self._reports.state())
        return report

    def decide(self, now: float, *, has_choice: bool = True) -> RolloutDecision:
        """Evaluates the roll-out; called at least twice a second.

        Args:
            now: Current time in seconds.
            has_choice: Whether there are servers of another version that could be used. Without,
                the order is completed whatever the answers are: a rollback would stop the only
                servers.

        Returns:
            The decision.
        """
        view, progress, judge = self._view, self._progress, self._judge
        if self._state is not RolloutState.RUNNING:
            progress.end(RolloutStage.DONE, float(self._state is RolloutState.COMPLETED))
            return RolloutDecision(progress.stage, progress.share)
        view.reports.add(now, self._reports.make(now))
        judge.update(now, is_new_only=progress.is_new_only, has_choice=has_choice)
        self._chooser.grant_slack(now)
        if has_choice:
            is_suspect = judge.comparison.is_suspect
            progress.advance(now, is_bad=bool(judge.verdict), is_suspect=is_suspect)
        else:
            progress.advance_without_choice(now)
        proposed, reason = propose_state(now, view, progress, judge, has_choice=has_choice)
        is_finish = progress.stage is RolloutStage.FINISH
        return RolloutDecision(
            progress.stage,
            progress.share,
            proposed,
            reason,
            self._evidence(),
            is_finish and view.age(now) >= view.schedule.move_streams_at,
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
        counts = self._view.counts
        is_slow = seconds is not None and self._judge.is_slow(route, seconds)
        is_new = version == self._order.target
        bad_before = counts.new_bad
        counts.count_result(route, is_new, result, seconds, is_slow, server)
        if counts.new_bad > bad_before:
            self._view.writing.on_bad(now, counts.new_bad)

    def _choose(
        self, now: float, may_repeat: bool, is_stream: bool, is_retry: bool
    ) -> VersionChoice:
        """Chooses the versions that an attempt may use."""
        if self._state is RolloutState.COMPLETED:
            return VersionChoice.NEW_ONLY
        if self._state is RolloutState.ROLLED_BACK or self._judge.verdict:
            return VersionChoice.OLD_ONLY
        is_suspect = self._judge.comparison.is_suspect
        return self._chooser.choose(now, may_repeat, is_stream, is_retry, is_suspect)

    def _evidence(self) -> dict[str, float]:
        """Figures for the log."""
        load = self._view.load
        figures = {
            "requests": load.requests,
            "new_sent": load.new_sent,
            "new_answers": load.new_answers,
            "instances": self._view.number_of_instances,
        }
        return figures | dict(self._judge.comparison.evidence)
