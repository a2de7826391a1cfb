"""Requests and answers of all instances, and whether the versions carry comparable loads."""

from __future__ import annotations

from sapphireledge.core.rollout.fleet_reports import FleetReports
from sapphireledge.core.rollout.rollout_report import RolloutReport

__all__ = ["FleetLoad"]

RATE_WINDOW = 5.0
"""Seconds over which rates are compared."""

COMPARABLE_FACTOR, COMPARABLE_ADDITION = 1.3, 10
"""Requests in the window, as a multiple of the most that the old version bore and in number, up to
which the load of the new version is comparable."""

BORNE_RATE, BORNE_FACTOR = 0.05, 2.0
"""Rate of bad answers, and multiple of the usual one, up to which the old version bears a load."""

PROVEN_ANSWERS, ROUTE_ANSWERS = 40, 4
"""Answers of the new version, in all and on each route with much traffic, from which it may be
believed to be good."""

OBSERVED_ANSWERS = 30
"""Answers of the new version on each route with much traffic from which it has been observed."""

ROUTE_SHARE = 0.05
"""Share of the requests from which a route has much traffic."""

SOME_ANSWERS = 10
"""Good answers of the new version that are enough when there is no time for more."""

FEW_ANSWERS = 60
"""Answers of the new version below which a comparison may find nothing although many are bad."""

SOME_BAD, SOME_BAD_RATE = 2, 0.1
"""Bad answers, in number and as a rate beyond twice that of the old version, that are too few to
speak against it then."""

REFERENCE_ANSWERS = 5
"""Answers from which the mean time of a route is used."""


class FleetLoad:
    """Requests and answers of all instances."""

    def __init__(self) -> None:
        self.requests = 0
        """Requests since the order."""

        self.new_sent = 0
        """Attempts sent to the new version."""

        self.new_answers = 0
        """Answers of the new version, failures included."""

        self.new_bad = 0
        """Bad answers of the new version."""

        self.old_answers = 0
        """Answers of the old version, failures included."""

        self.old_bad = 0
        """Bad answers of the old version."""

        self.is_proven = False
        """Whether the new version has answered enough to be believed good if nothing was found."""

        self.is_observed = False
        """Whether it has answered so much that the old version need not be kept for it."""

        self.is_comparable = True
        """Whether the new version carries no more load than the old one has shown to bear."""

        self.is_usual = True
        """Whether it would not either if it had all requests."""

        self.old_seconds: dict[str, float] = {}
        """Mean time of the old version by route, in seconds."""

        self._most_old_sent = 0

    def update(self, now: float, reports: FleetReports) -> None:
        """Sums up the reports.

        Args:
            now: Current time in seconds.
            reports: Reports of all instances.
        """
        old_sent = new_sent = old_ended = old_bad = 0
        for report, base in reports.window(now, RATE_WINDOW):
            ended, bad = _old_answers(report)
            ended_before, bad_before = _old_answers(base)
            old_ended += ended - ended_before
            old_bad += bad - bad_before
            old_sent += _sent(report, is_new=False) - _sent(base, is_new=False)
            new_sent += _sent(report, is_new=True) - _sent(base, is_new=True)
        usual_rate = BORNE_FACTOR * self.old_bad / max(1, self.old_answers)
        if old_bad <= max(BORNE_RATE, usual_rate) * old_ended:
            self._most_old_sent = max(self._most_old_sent, old_sent)
        bound = COMPARABLE_FACTOR * self._most_old_sent + COMPARABLE_ADDITION
        self.is_comparable = new_sent <= bound
        self.is_usual = old_sent + new_sent <= bound
        self._sum_up(reports)

    @property
    def looks_bad(self) -> bool:
        """Whether there are more bad answers than one would move all requests with."""
        rate = SOME_BAD_RATE + 2.0 * self.old_bad / max(1, self.old_answers)
        return self.new_bad > max(SOME_BAD, rate * self.new_answers)

    @property
    def is_doubtful(self) -> bool:
        """Whether there are so few answers, and so many bad ones, that they prove nothing."""
        return self.looks_bad and self.new_answers < FEW_ANSWERS

    def has_some_evidence(self, slack: float) -> bool:
        """Whether the evidence is enough when there is no time for more.

        Args:
            slack: Requests that a bad version may be given beyond its share.

        Returns:
            Whether the new version answered some requests well, or there are hardly any requests.
        """
        if self.looks_bad:
            return False
        return self.new_answers - self.new_bad >= SOME_ANSWERS or self.requests <= slack

    def _sum_up(self, reports: FleetReports) -> None:
        """Sums up all counts since the order."""
        self.requests = self.new_sent = self.new_answers = self.new_bad = 0
        self.old_answers = self.old_bad = 0
        sent: dict[str, int] = {}
        answers: dict[str, int] = {}
        timed: dict[str, int] = {}
        seconds: dict[str, float] = {}
        for report in reports.all():
            self.requests += report.requests
            for route, counts in report.new.items():
                self.new_sent += counts.sent
                self.new_answers += counts.ended
                self.new_bad += counts.bad
                sent[route] = sent.get(route, 0) + counts.sent
                answers[route] = answers.get(route, 0) + counts.ended
            for route, counts in report.old.items():
                self.old_answers += counts.ended
                self.old_bad += counts.bad
                sent[route] = sent.get(route, 0) + counts.sent
                timed[route] = timed.get(route, 0) + counts.timed
                seconds[route] = seconds.get(route, 0.0) + counts.seconds_sum
        self.old_seconds = {
            route: seconds[route] / number
            for route, number in timed.items()
            if number >= REFERENCE_ANSWERS
        }
        large = [r for r, number in sent.items() if number >= ROUTE_SHARE * sum(sent.values())]
        fewest = min((answers.get(route, 0) for route in large), default=0)
        self.is_proven = self.new_answers >= PROVEN_ANSWERS and fewest >= ROUTE_ANSWERS
        self.is_observed = fewest >= OBSERVED_ANSWERS


def _sent(report: RolloutReport | None, *, is_new: bool) -> int:
    """Attempts sent to a version in a report."""
    if report is None:
        return 0
    return sum(counts.sent for counts in (report.new if is_new else report.old).values())


def _old_answers(report: RolloutReport | None) -> tuple[int, int]:
    """Answers of the old version in a report, and how many of them were bad."""
    if report is None:
        return 0, 0
    counts = report.old.values()
    return sum(c.ended for c in counts), sum(c.bad for c in counts)
