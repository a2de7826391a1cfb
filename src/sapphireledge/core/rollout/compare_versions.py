"""Compares the answers of two versions on the same routes, at the same time and instances.

Load patterns: a version fails part of its requests or is several times slower than the old one, at
once, after a while, only under load or on one route. Beside it, single servers crash or fail, a
route fails whatever the version, a data centre is slow for both versions, or a flood slows down
both. Only the first is the fault of the version.

For each instance and route, the old version says how many bad answers were to be expected. The new
version is held to be bad if far more of its answers were, not counting those that single servers
had beyond the others.
"""

from __future__ import annotations

from collections.abc import Iterable
from math import inf, log

from sapphireledge.core.rollout.rollout_report import RolloutReport
from sapphireledge.core.rollout.route_evidence import NO_COUNTS, RouteEvidence
from sapphireledge.core.rollout.version_verdict import VersionVerdict

__all__ = ["FIRST_EVENT_MARK", "compare_versions"]

LEAST_BAD = 3
"""Bad answers below which nothing is suspected."""

LEAST_EXPECTED = 0.5
"""Bad answers that may always occur, however good the old version is."""

BAD_SCORE, SUSPECT_SCORE = 9.2, 3.0
"""Negative logarithm of the chance that a good version has so many bad answers: 1 in 10,000, and
1 in 20."""

TOLERATED_FACTOR, TOLERATED_RATE = 2.0, 0.01
"""A version is good up to this multiple of the bad answers of the old one, and this rate beyond."""

UNCONTROLLED_FACTOR, UNCONTROLLED_RATE = 3.0, 0.03
"""The same while the old version has hardly any requests, so that a fault of both is not seen."""

CONTROL_SHARE, CONTROL_ANSWERS = 0.04, 10
"""Answers of the old version, as a share of those of the new one and at least, below which that is
so."""

POOL_WEIGHT = 8.0
"""Answers with which the rate over all instances counts beside the rate of one instance."""

FEW_SERVERS = 2
"""Servers up to which faults of a server are not told from those of the version."""

SERVER_FACTOR, SERVER_ADDITION = 2, 1
"""Multiple of the median of all servers, and number beyond, up to which the bad answers of a server
count. Those beyond are its own fault, as when it crashes with requests in flight."""

FIRST_EVENT_MARK = " (first event)"
"""End of the names under which first events are counted beside the whole streams."""


def compare_versions(
    pairs: Iterable[tuple[RolloutReport, RolloutReport | None]],
) -> VersionVerdict:
    """Compares the answers of two versions within a window.

    Args:
        pairs: Latest report of each instance and the one at the start of the window.

    Returns:
        The verdict.
    """
    pairs = list(pairs)
    new_bad = sum(_new_bad(report) - _new_bad(base) for report, base in pairs)
    if new_bad < LEAST_BAD:
        return VersionVerdict()
    left_out = _count_left_out(pairs)
    routes = _collect_routes(pairs)
    best, best_score = "", -inf
    total_bad, total_expected = 0, 0.0
    figures: dict[str, float] = {}
    for route, evidence in routes.items():
        expected = _expect_bad(evidence)
        if not route.endswith(FIRST_EVENT_MARK):
            total_bad += evidence.new_bad
            total_expected += expected
        score = _score(evidence.new_bad - left_out, expected)
        if score > best_score:
            best, best_score, figures = route, score, _figures(evidence, expected)
    total_score = _score(total_bad - left_out, total_expected)
    figures |= {"score": round(max(best_score, total_score), 2), "left_out": left_out}
    strongest = max(best_score, total_score)
    is_bad = strongest >= BAD_SCORE
    return VersionVerdict(
        is_bad,
        strongest >= SUSPECT_SCORE,
        _describe(best, routes[best]) if best and strongest >= SUSPECT_SCORE else "",
        figures,
    )


def _new_bad(report: RolloutReport | None) -> int:
    """Bad answers of the new version in a report."""
    return 0 if report is None else sum(counts.bad for counts in report.new.values())


def _count_left_out(pairs: list[tuple[RolloutReport, RolloutReport | None]]) -> int:
    """Counts the bad answers that may be the fault of single servers."""
    by_server: dict[str, int] = {}
    known = 0
    for report, base in pairs:
        known = max(known, report.new_servers)
        for server, bad in report.bad_servers.items():
            before = 0 if base is None else base.bad_servers.get(server, 0)
            if bad > before:
                by_server[server] = by_server.get(server, 0) + bad - before
    known = max(known, len(by_server))
    if known <= FEW_SERVERS:
        return 0
    numbers = [0] * (known - len(by_server)) + sorted(by_server.values())
    most = SERVER_FACTOR * numbers[(known - 1) // 2] + SERVER_ADDITION
    return sum(max(0, number - most) for number in numbers)


def _collect_routes(
    pairs: list[tuple[RolloutReport, RolloutReport | None]],
) -> dict[str, RouteEvidence]:
    """Sums up the answers of the window by route."""
    routes: dict[str, RouteEvidence] = {}
    for report, base in pairs:
        base_new = {} if base is None else base.new
        base_old = {} if base is None else base.old
        for route in report.old.keys() | report.new.keys():
            routes.setdefault(route, RouteEvidence()).add(
                report.new.get(route, NO_COUNTS),
                base_new.get(route, NO_COUNTS),
                report.old.get(route, NO_COUNTS),
                base_old.get(route, NO_COUNTS),
            )
    return routes


def _expect_bad(evidence: RouteEvidence) -> float:
    """Computes how many bad answers a good version may have had on a route."""
    now_rate = _rate(evidence.old_bad, evidence.old_ended)
    before_rate = _rate(evidence.old_bad_before, evidence.old_ended_before)
    factor, rate = TOLERATED_FACTOR, TOLERATED_RATE
    if evidence.old_ended < max(CONTROL_ANSWERS, CONTROL_SHARE * evidence.new_ended):
        factor, rate = UNCONTROLLED_FACTOR, UNCONTROLLED_RATE
        pooled = before_rate
    else:
        pooled = max(now_rate, before_rate)
    expected = 0.0
    for delta in evidence.instances:
        bad = delta.old_bad + POOL_WEIGHT * pooled
        own_rate = bad / (delta.old_ended + POOL_WEIGHT)
        expected += delta.new_ended * min(1.0, factor * own_rate + rate)
    return expected


def _rate(bad: int, ended: int) -> float:
    """Rate of bad answers, cautious where there are few answers."""
    return (bad + 0.5) / (ended + 1)


def _score(observed: float, expected: float) -> float:
    """Bounds the negative logarithm of the chance of at least so many bad answers (Chernoff)."""
    expected = max(expected, LEAST_EXPECTED)
    if observed <= expected:
        return 0.0
    return observed * log(observed / expected) - observed + expected


def _figures(evidence: RouteEvidence, expected: float) -> dict[str, float]:
    """Figures of a route for the log."""
    return {
        "new_answers": evidence.new_ended,
        "new_bad": evidence.new_bad,
        "new_failed": evidence.new_failed,
        "tolerated_bad": round(expected, 2),
        "old_answers": evidence.old_ended,
        "old_bad": evidence.old_bad,
    }


def _describe(route: str, evidence: RouteEvidence) -> str:
    """Says what was found on a route."""
    slow = evidence.new_bad - evidence.new_failed
    what = "failures" if evidence.new_failed >= slow else "slow answers"
    return (
        f"{what} on route {route}: {evidence.new_bad} of {evidence.new_ended} answers were bad,"
        f" of the old version {evidence.old_bad} of {evidence.old_ended}"
    )
