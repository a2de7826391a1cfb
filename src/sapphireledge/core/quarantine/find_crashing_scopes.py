"""Attribution of server deaths to requests that have no content in common that is known."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp, inf, log
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sapphireledge.core.quarantine.death_record import DeathRecord
    from sapphireledge.core.quarantine.quarantine_limits import QuarantineLimits

__all__ = ["REPORT_TIME", "SETTLE_TIME", "find_crashing_scopes"]

SETTLE_TIME = 5.0
"""Seconds after a death until the end of other servers, which ran no request, is known as well."""

REPORT_TIME = 0.6
"""Seconds after a death until the reports of all instances that had requests on the server are
known. Until then, requests of other scopes may be missing from its record."""

LOSS_TIME = 0.1
"""Seconds between deaths that may be one loss of several servers; instances notice the deaths of
servers that are lost together within that time."""

START_TIME = 1.0
"""Seconds within which no server that was lost is back. In a longer series of deaths, the servers
that ran at its beginning are not all that may have been lost."""

MIN_OTHER_DEATHS = 2
"""Deaths of a scope that must remain without those of any one request; that request is the cause
otherwise."""

MIN_PRESENCE = 0.1
"""Lowest share of time in which servers are taken to run requests of a scope; it is estimated from
the requests of few seconds."""

MAX_CHANCE = 0.0003
"""Highest chance that as many deaths as a scope had would meet its requests without being caused by
them. It is low because the chance is looked at again and again, for each of many scopes."""


@dataclass(frozen=True, slots=True)
class _Loss:
    """Deaths that followed each other so soon that they may have a cause in common."""

    seen: int
    """Number of the deaths."""

    servers: int
    """Servers that ran before the first of them; 0 if unknown."""

    first: int
    """Number of the first of them among the deaths of the service."""

    def count_unseen(self) -> float:
        """Counts the servers that may have been lost as well, without requests."""
        return max(0, self.servers - self.seen) if self.servers else inf


@dataclass(slots=True)
class _Candidate:
    """A scope and the deaths that may be due to it, with the chance that each meets it."""

    scope: str
    deaths: dict[int, DeathRecord] = field(default_factory=dict)
    shares: dict[int, float] = field(default_factory=dict)
    chances: dict[int, float] = field(default_factory=dict)
    losses: dict[int, _Loss] = field(default_factory=dict)

    def add(self, index: int, death: DeathRecord, loss: _Loss | None) -> None:
        """Adds a death.

        Args:
            index: Number of the death among those of the service.
            death: The death.
            loss: Loss of several servers of which it may be part, if that is not known completely.
        """
        share = death.mean_presence(self.scope)
        self.deaths[index] = death
        self.shares[index] = min(1.0, max(MIN_PRESENCE, share))
        self.chances[index] = self.shares[index]
        if loss is not None:
            share /= max(death.mean_load, MIN_PRESENCE)
            self.chances[index] = min(1.0, max(MIN_PRESENCE, share))
            self.losses[index] = loss

    def remove(self, index: int) -> None:
        """Removes a death that has another cause."""
        for found in (self.deaths, self.shares, self.chances, self.losses):
            found.pop(index, None)

    @property
    def chance(self) -> float:
        """Average chance that a death meets a request of the scope."""
        return sum(self.chances.values()) / len(self.chances)

    @property
    def order(self) -> tuple[int, float, str]:
        """Sort key: most deaths first, then those whose requests are least often on servers."""
        return len(self.deaths), -self.chance, self.scope

    def count_other_deaths(self) -> int:
        """Counts the deaths without those of the request that had the most."""
        by_request: dict[str, int] = {}
        for death in self.deaths.values():
            for fingerprint in death.scopes[self.scope]:
                by_request[fingerprint] = by_request.get(fingerprint, 0) + 1
        return len(self.deaths) - max(by_request.values())

    def is_cause(
        self, deaths: Sequence[DeathRecord], explained: set[int], reported_until: float
    ) -> bool:
        """Whether the requests of the scope met far more deaths than by chance.

        How many servers without requests were lost together with others is not known at once. Until
        then, the deaths are compared with those of other servers that ran requests. The verdict
        also holds if it does with all servers lost that the service had left.

        Later deaths that did not meet the scope count only when all instances have reported them.
        Otherwise, the first report of a death would withdraw a verdict that the next one restores.

        Args:
            deaths: All deaths of the service.
            explained: Deaths that other scopes caused, by their index.
            reported_until: Time in Unix seconds up to which all reports are known.

        Returns:
            Whether deaths are attributed to the scope.
        """
        if self.count_other_deaths() < MIN_OTHER_DEATHS:
            return False
        total = self._count_deaths(deaths, explained, reported_until)
        if _bound_chance(len(self.deaths), total, self.chance) <= MAX_CHANCE:
            return True
        if not self.losses:
            return False
        unseen = sum(loss.count_unseen() for loss in set(self.losses.values()))
        share = sum(self.shares.values()) / len(self.shares)
        return _bound_chance(len(self.deaths), total + unseen, share) <= MAX_CHANCE

    def _count_deaths(
        self, deaths: Sequence[DeathRecord], explained: set[int], reported_until: float
    ) -> int:
        """Counts the deaths since the first one of the scope that it may have caused or not."""
        first, latest = min(self.deaths), max(self.deaths)
        last = deaths[latest].time_unix + SETTLE_TIME
        return sum(
            1
            for index, death in enumerate(deaths)
            if index >= first
            and index not in explained
            and death.time_unix <= last
            and (index <= latest or _is_reported(death, reported_until))
        )


def find_crashing_scopes(
    deaths: Sequence[DeathRecord],
    now_unix: float,
    lifted_at: Callable[[str], float],
    cfg: QuarantineLimits,
) -> frozenset[str]:
    """Finds the scopes of which some requests crash the servers that run them.

    Not all requests of a scope are bad, so survivals do not excuse it. Deaths with another cause
    meet requests of a scope as often as servers run such requests; a scope is the cause if far more
    deaths met it. Scopes are considered in the order in which they explain the most deaths.

    Args:
        deaths: Deaths in chronological order that no part of a prompt explains.
        now_unix: Time in Unix seconds.
        lifted_at: Returns the time in Unix seconds up to which deaths do not count against a scope.
        cfg: Limits of the quarantine.

    Returns:
        The scopes.
    """
    crashing: set[str] = set()
    for service in {death.service for death in deaths if death.scopes}:
        local = [death for death in deaths if death.service == service]
        crashing |= _find_in_service(local, now_unix, lifted_at, cfg)
    return frozenset(crashing)


def _find_in_service(
    deaths: Sequence[DeathRecord],
    now_unix: float,
    lifted_at: Callable[[str], float],
    cfg: QuarantineLimits,
) -> set[str]:
    """Finds the scopes that crash the servers of one service."""
    candidates: dict[str, _Candidate] = {}
    for index, death in enumerate(deaths):
        is_settled = death.time_unix <= now_unix - SETTLE_TIME
        loss = None if is_settled else _find_loss(deaths, index)
        for scope in death.scopes:
            if death.time_unix > lifted_at(scope):
                candidate = candidates.setdefault(scope, _Candidate(scope))
                candidate.add(index, death, loss)
    remaining = list(candidates.values())
    explained: set[int] = set()
    crashing: set[str] = set()
    while True:
        remaining = [c for c in remaining if len(c.deaths) >= cfg.condemn_scope_after]
        if not remaining:
            return crashing
        best = max(remaining, key=lambda candidate: candidate.order)
        remaining.remove(best)
        if not best.is_cause(deaths, explained, now_unix - REPORT_TIME):
            continue
        crashing.add(best.scope)
        explained.update(best.deaths)
        for other in remaining:
            for index in best.deaths.keys() & other.deaths.keys():
                other.remove(index)


def _is_reported(death: DeathRecord, reported_until: float) -> bool:
    """Whether all instances with requests on a server that died have reported its death.

    Instances see the end of a server without requests only after they had the time to do so.
    """
    return not death.suspects or death.time_unix <= reported_until


def _find_loss(deaths: Sequence[DeathRecord], index: int) -> _Loss | None:
    """Finds the deaths that may be one loss of several servers with a given one.

    Args:
        deaths: All deaths of the service.
        index: Number of the given one.

    Returns:
        The loss, None if no other death was so close.
    """
    first = last = index
    earliest = deaths[index].time_unix - START_TIME
    latest = deaths[index].time_unix + START_TIME
    while first > 0 and _may_be_lost_together(deaths[first - 1], deaths[first]):
        first -= 1
        if deaths[first].time_unix < earliest:
            break
    while last + 1 < len(deaths) and _may_be_lost_together(deaths[last], deaths[last + 1]):
        last += 1
        if deaths[last].time_unix > latest:
            break
    if first == last:
        return None
    is_short = deaths[last].time_unix - deaths[first].time_unix < START_TIME
    return _Loss(last - first + 1, deaths[first].servers if is_short else 0, first)


def _may_be_lost_together(death: DeathRecord, later: DeathRecord) -> bool:
    """Whether two servers that died one after the other may have been lost together.

    A request that was on both was sent to the second one after the first had died.
    """
    return later.time_unix - death.time_unix <= LOSS_TIME and death.begun.keys().isdisjoint(
        later.begun
    )


def _bound_chance(count: int, total: float, probability: float) -> float:
    """Bounds the chance of at least `count` hits in `total` independent trials.

    Source: Chernoff bound of the binomial distribution.
    """
    share = count / total
    if share <= probability:
        return 1.0
    divergence = share * log(share / probability)
    if share < 1.0:
        divergence += (1.0 - share) * log((1.0 - share) / (1.0 - probability))
    return exp(-total * divergence)
