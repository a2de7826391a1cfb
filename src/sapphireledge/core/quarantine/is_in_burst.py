"""Detection of deaths with a common cause outside the requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sapphireledge.core.quarantine.death_record import DeathRecord
    from sapphireledge.core.quarantine.quarantine_limits import QuarantineLimits

__all__ = ["is_in_burst"]


def is_in_burst(
    death: DeathRecord,
    nearby: Sequence[DeathRecord],
    suspects_of: Callable[[DeathRecord], set[str]],
    cfg: QuarantineLimits,
) -> bool:
    """Decides whether a death belongs to a burst, whose common cause lies outside the requests.

    A burst is a group of at least `burst_size` deaths within one burst window, on different backend
    servers, no two of which share a suspect: no single request can have caused them, and no part of
    a prompt that engines have not survived since.

    Args:
        death: The death.
        nearby: All deaths within one burst window before and after it.
        suspects_of: Returns the requests and parts that may have caused a death.
        cfg: Limits of the quarantine.

    Returns:
        Whether the death belongs to a burst.
    """
    own_suspects = suspects_of(death)
    others = [
        (other, suspects)
        for other, suspects in ((record, suspects_of(record)) for record in nearby)
        if other.backend != death.backend and own_suspects.isdisjoint(suspects)
    ]
    if len(others) < cfg.burst_size - 1:
        return False
    # Deaths with few suspects first: they leave the most room for a disjoint group.
    others.sort(key=lambda item: (len(item[0].suspects), item[0].time_unix, item[0].key))
    starts = {record.time_unix for record in nearby if record.time_unix <= death.time_unix}
    return any(
        _has_disjoint_group(
            death,
            own_suspects,
            [item for item in others if start <= item[0].time_unix <= start + cfg.burst_window],
            cfg.burst_size,
        )
        for start in starts
    )


def _has_disjoint_group(
    death: DeathRecord,
    own_suspects: set[str],
    others: Sequence[tuple[DeathRecord, set[str]]],
    size: int,
) -> bool:
    """Whether enough of the other deaths share no suspect with the death and one another."""
    backends = {death.backend}
    seen_suspects = set(own_suspects)
    for other, suspects in others:
        if other.backend in backends or not seen_suspects.isdisjoint(suspects):
            continue
        backends.add(other.backend)
        seen_suspects |= suspects
        if len(backends) >= size:
            return True
    return False
