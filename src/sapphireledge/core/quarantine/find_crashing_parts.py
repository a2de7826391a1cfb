"""Attribution of engine deaths to the parts of prompts that the lost requests share."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sapphireledge.core.quarantine.death_record import DeathRecord
    from sapphireledge.core.quarantine.quarantine_limits import QuarantineLimits

__all__ = ["SOUND_TIME", "find_crashing_parts"]

SOUND_TIME = 3.0
"""Seconds after an engine survived a part of a prompt during which deaths are not attributed to it.
Longer than instances need to learn of it."""

MIN_REQUESTS = 2
"""Different requests with a part that must have lost engines; deaths under the repetitions of one
request are attributed to that request."""


WEIGHT_TOLERANCE = 0.5
"""By how much the weight of the deaths of a part may stay below their required number: one of them
may coincide with the death of another engine."""


@dataclass(slots=True)
class _Candidate:
    """A part of a prompt and the deaths that may be due to it."""

    part: str
    ever_sound: bool
    position: int = 0
    deaths: dict[int, DeathRecord] = field(default_factory=dict)

    @property
    def order(self) -> tuple[bool, int, int, str]:
        """Sort key: parts that no engine ever survived, then those that explain most deaths; of
        parts that explain the same deaths, the later one concerns the fewest other requests."""
        return not self.ever_sound, len(self.deaths), self.position, self.part

    def suffices(self, cfg: QuarantineLimits) -> bool:
        """Whether the deaths are enough, and spread over time and over requests."""
        times = [death.time_unix for death in self.deaths.values()]
        requests = {
            fingerprint
            for death in self.deaths.values()
            for fingerprint, parts in death.begun.items()
            if self.part in parts
        }
        return (
            len(times) >= cfg.condemn_after
            and len(requests) >= MIN_REQUESTS
            and max(times) - min(times) > cfg.burst_window
        )


def find_crashing_parts(
    deaths: Sequence[DeathRecord], sound_at: Callable[[str], float], cfg: QuarantineLimits
) -> frozenset[str]:
    """Finds the parts of prompts that crash the engines that begin to answer them.

    Parts are considered in the order in which they explain the most deaths. A death that one
    crashing part explains says nothing about the other parts of the same prompt.

    Args:
        deaths: All deaths in chronological order.
        sound_at: Returns the latest time in Unix seconds at which an engine is known to have
            survived a part, negative infinity if none is.
        cfg: Limits of the quarantine.

    Returns:
        Ids of the parts.
    """
    candidates = [c for c in _list_candidates(deaths, sound_at) if c.suffices(cfg)]
    if not candidates:
        return frozenset()
    times = [death.time_unix for death in deaths]
    unexplained = set(range(len(deaths))).difference(*(c.deaths for c in candidates))
    crashing = set()
    while candidates:
        best = max(candidates, key=lambda candidate: candidate.order)
        candidates.remove(best)
        required = cfg.condemn_after - WEIGHT_TOLERANCE
        if not best.suffices(cfg) or _weigh(best, times, unexplained, cfg) < required:
            continue
        crashing.add(best.part)
        for other in candidates:
            for index in best.deaths:
                other.deaths.pop(index, None)
    return frozenset(crashing)


def _list_candidates(
    deaths: Sequence[DeathRecord], sound_at: Callable[[str], float]
) -> list[_Candidate]:
    """Lists the parts with the deaths that no survival excuses, by their index in `deaths`."""
    candidates: dict[str, _Candidate] = {}
    for index, death in enumerate(deaths):
        for parts in death.begun.values():
            for position, part in enumerate(parts):
                sound = sound_at(part)
                if death.time_unix <= sound + SOUND_TIME:
                    continue
                candidate = candidates.setdefault(part, _Candidate(part, sound > float("-inf")))
                candidate.position = max(candidate.position, position)
                candidate.deaths[index] = death
    return list(candidates.values())


def _weigh(
    candidate: _Candidate, times: Sequence[float], unexplained: set[int], cfg: QuarantineLimits
) -> float:
    """Adds up the deaths of a part, each weighted by its share of the deaths around it.

    When engines are lost together, some had just begun to answer a request with the part; the many
    deaths around them that no part explains show that the part is not the cause.
    """
    weight = 0.0
    for death in candidate.deaths.values():
        first = bisect_left(times, death.time_unix - cfg.burst_window)
        last = bisect_right(times, death.time_unix + cfg.burst_window)
        own = sum(1 for index in range(first, last) if index in candidate.deaths)
        others = sum(1 for index in range(first, last) if index in unexplained)
        weight += own / (own + others)
    return weight
