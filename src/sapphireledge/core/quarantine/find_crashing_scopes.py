"""Attribution of server deaths to requests that have no content in common that is known."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import exp, log
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sapphireledge.core.quarantine.death_record import DeathRecord
    from sapphireledge.core.quarantine.quarantine_limits import QuarantineLimits

__all__ = ["SETTLE_TIME", "find_crashing_scopes"]

SETTLE_TIME = 5.0
"""Seconds after a death until the end of other servers, which ran no request, is known as well."""

LOSS_TIME = 0.1
"""Seconds between deaths that may be one loss of several servers; instances notice the deaths of
servers that are lost together within that time."""

MIN_OTHER_DEATHS = 2
"""Deaths of a scope that must remain without those of any one request; that request is the cause
otherwise."""

MIN_PRESENCE = 0.1
"""Lowest share of time in which servers are taken to run requests of a scope; it is estimated from
the requests of few seconds."""

MAX_CHANCE = 0.0003
"""Highest chance that as many deaths as a scope had would meet its requests without being caused by
them. It is low because the chance is looked at again and again, for each of many scopes."""


@dataclass(slots=True)
class _Candidate:
    """A scope and the deaths that may be due to it, with the chance that each meets it."""

    scope: str
    deaths: dict[int, DeathRecord] = field(default_factory=dict)
    chances: dict[int, float] = field(default_factory=dict)

    def add(self, index: int, death: DeathRecord, *, in_loss: bool) -> None:
        """Adds a death.

        How many servers without requests were lost with others is not known at once. Until then,
        the death of one of them is compared with those of other servers that ran requests.
        """
        share = death.presence.get(self.scope, 0.0)
        if in_loss:
            share /= max(death.load, MIN_PRESENCE)
        self.deaths[index] = death
        self.chances[index] = min(1.0, max(MIN_PRESENCE, share))

    def remove(self, index: int) -> None:
        """Removes a death that has another cause."""
        self.deaths.pop(index, None)
        self.chances.pop(index, None)

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

    def is_cause(self, deaths: Sequence[DeathRecord], explained: set[int]) -> bool:
        """Whether the requests of the scope met far more deaths than by chance.

        Args:
            deaths: All deaths of the service.
            explained: Deaths that other scopes caused, by their index.

        Returns:
            Whether deaths are attributed to the scope.
        """
        if self.count_other_deaths() < MIN_OTHER_DEATHS:
            return False
        last = deaths[max(self.deaths)].time_unix + SETTLE_TIME
        total = sum(
            1
            for index in range(min(self.deaths), len(deaths))
            if deaths[index].time_unix <= last and index not in explained
        )
        return _bound_chance(len(self.deaths), total, self.chance) <= MAX_CHANCE


def find_crashing_scopes(
    deaths: Sequence[DeathRecord],
    settled_until: float,
    lifted_at: Callable[[str], float],
    cfg: QuarantineLimits,
) -> frozenset[str]:
    """Finds the scopes of which some requests crash the servers that run them.

    Not all requests of a scope are bad, so survivals do not excuse it. Deaths with another cause
    meet requests of a scope as often as servers run such requests; a scope is the cause if far more
    deaths met it. Scopes are considered in the order in which they explain the most deaths.

    Args:
        deaths: Deaths in chronological order that no part of a prompt explains.
        settled_until: Time in Unix seconds up to which all deaths are known.
        lifted_at: Returns the time in Unix seconds up to which deaths do not count against a scope.
        cfg: Limits of the quarantine.

    Returns:
        The scopes.
    """
    crashing: set[str] = set()
    for service in {death.service for death in deaths if death.scopes}:
        local = [death for death in deaths if death.service == service]
        crashing |= _find_in_service(local, settled_until, lifted_at, cfg)
    return frozenset(crashing)


def _find_in_service(
    deaths: Sequence[DeathRecord],
    settled_until: float,
    lifted_at: Callable[[str], float],
    cfg: QuarantineLimits,
) -> set[str]:
    """Finds the scopes that crash the servers of one service."""
    candidates: dict[str, _Candidate] = {}
    for index, death in enumerate(deaths):
        in_loss = death.time_unix > settled_until and _is_in_loss(deaths, index)
        for scope in death.scopes:
            if death.time_unix > lifted_at(scope):
                candidate = candidates.setdefault(scope, _Candidate(scope))
                candidate.add(index, death, in_loss=in_loss)
    remaining = list(candidates.values())
    explained: set[int] = set()
    crashing: set[str] = set()
    while True:
        remaining = [c for c in remaining if len(c.deaths) >= cfg.condemn_scope_after]
        if not remaining:
            return crashing
        best = max(remaining, key=lambda candidate: candidate.order)
        remaining.remove(best)
        if not best.is_cause(deaths, explained):
            continue
        crashing.add(best.scope)
        explained.update(best.deaths)
        for other in remaining:
            for index in best.deaths:
                other.remove(index)


def _is_in_loss(deaths: Sequence[DeathRecord], index: int) -> bool:
    """Whether a server may have been lost together with the one that died before or after it.

    A request that was on both was sent to the second one after the first had died.
    """
    death = deaths[index]
    return any(
        abs(death.time_unix - other.time_unix) <= LOSS_TIME
        and death.begun.keys().isdisjoint(other.begun)
        for other in (*deaths[max(0, index - 1) : index], *deaths[index + 1 : index + 2])
    )


def _bound_chance(count: int, total: int, probability: float) -> float:
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
