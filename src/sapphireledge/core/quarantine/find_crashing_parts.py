"""Attribution of engine deaths to the parts of prompts that the lost requests share."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from sapphireledge.core.quarantine.death_record import DeathRecord
    from sapphireledge.core.quarantine.quarantine_limits import QuarantineLimits

__all__ = ["SOUND_TIME", "find_crashing_parts"]

SOUND_TIME = 3.0
"""Seconds after an engine survived a part of a prompt during which deaths are not attributed to it.
Longer than instances need to learn of it."""

MIN_REQUESTS = 2
"""Different requests with a part that must have lost engines; deaths under the repetitions of one
request are attributed to that request."""


MAX_CHECKED_DEATHS = 12
"""Deaths of a part that are compared with the deaths around them, spread over all of its deaths;
the comparison is costly while many engines die."""


@dataclass(slots=True)
class _Candidate:
    """A part of a prompt and the deaths that may be due to it."""

    part: str
    ever_sound: bool
    position: int = 0
    deaths: dict[tuple[str, str], DeathRecord] = field(default_factory=dict)

    @property
    def order(self) -> tuple[bool, int, int, str]:
        """Sort key: parts that no engine ever survived, then those that explain most deaths; of
        parts that explain the same deaths, the later one concerns the fewest other requests."""
        return not self.ever_sound, len(self.deaths), self.position, self.part

    def is_proven(self, in_burst: Callable[[DeathRecord], bool], cfg: QuarantineLimits) -> bool:
        """Whether enough deaths, spread over time and over requests, have no other explanation."""
        if not self._suffices(self.deaths.values(), cfg):
            return False
        deaths = sorted(self.deaths.values(), key=lambda death: (death.time_unix, death.key))
        step = -(-len(deaths) // MAX_CHECKED_DEATHS)
        checked = [*deaths[:-1:step], deaths[-1]]
        return self._suffices([death for death in checked if not in_burst(death)], cfg)

    def _suffices(self, deaths: Collection[DeathRecord], cfg: QuarantineLimits) -> bool:
        """Whether deaths are enough, and spread over time and over requests."""
        times = [death.time_unix for death in deaths]
        requests = {
            fingerprint
            for death in deaths
            for fingerprint, parts in death.begun.items()
            if self.part in parts
        }
        return (
            len(times) >= cfg.condemn_after
            and len(requests) >= MIN_REQUESTS
            and max(times) - min(times) > cfg.burst_window
        )


def find_crashing_parts(
    deaths: Iterable[DeathRecord],
    sound_at: Callable[[str], float],
    in_burst: Callable[[DeathRecord], bool],
    cfg: QuarantineLimits,
) -> frozenset[str]:
    """Finds the parts of prompts that crash the engines that begin to answer them.

    Parts are considered in the order in which they explain the most deaths. A death that one
    crashing part explains says nothing about the other parts of the same prompt or about the
    requests beside it.

    Args:
        deaths: Deaths of engines.
        sound_at: Returns the latest time in Unix seconds at which an engine is known to have
            survived a part, negative infinity if none is.
        in_burst: Returns whether a death has a common cause with others outside the requests.
        cfg: Limits of the quarantine.

    Returns:
        Ids of the parts.
    """
    candidates: dict[str, _Candidate] = {}
    for death in deaths:
        for parts in death.begun.values():
            for position, part in enumerate(parts):
                sound = sound_at(part)
                if death.time_unix <= sound + SOUND_TIME:
                    continue
                candidate = candidates.setdefault(part, _Candidate(part, sound > float("-inf")))
                candidate.position = max(candidate.position, position)
                candidate.deaths[death.key] = death
    crashing = set()
    remaining = [c for c in candidates.values() if len(c.deaths) >= cfg.condemn_after]
    while remaining:
        best = max(remaining, key=lambda candidate: candidate.order)
        remaining.remove(best)
        if not best.is_proven(in_burst, cfg):
            continue
        crashing.add(best.part)
        for other in remaining:
            for key in best.deaths:
                other.deaths.pop(key, None)
    return frozenset(crashing)
