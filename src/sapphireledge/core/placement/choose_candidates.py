"""Choice of the engines whose load reports a stream is placed by."""

from __future__ import annotations

from itertools import islice
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

__all__ = ["choose_candidates", "compute_start_share"]

LOCAL_CANDIDATES = 2
"""Engines in the local data centre whose load reports are fetched per placement."""

REMOTE_CANDIDATES = 3
"""Engines in other data centres whose load reports are fetched per placement."""

RATED_CANDIDATES = 1
"""Further engines whose load reports are fetched because an unused slot of their rate expires."""

PLACEMENTS_PER_SET = 3
"""Placements of a waiting stream with the same candidates before it is offered others."""

STARTS_PER_IDLE_ENGINE = 2.0
"""Streams that all instances together should start on an idle engine before its next reports show
them."""

Engine = TypeVar("Engine")


def choose_candidates(
    ranked: Iterable[Engine],
    is_local: Callable[[Engine], bool],
    placement: int,
    rated: Iterable[Engine] = (),
    kept: Sequence[Engine] = (),
) -> list[Engine]:
    """Chooses a few engines, so that the cost of a placement does not grow with their number.

    A stream that waits is offered the engines that the instance prefers, and from time to time
    others: when an engine becomes idle, streams wait for it at all instances.

    Args:
        ranked: Engines that take requests now, best first; read only as far as needed.
        is_local: Returns whether an engine is in the data centre of the instance.
        placement: Number of earlier placements of the stream.
        rated: Engines of `ranked` that name a rate. Their slots are rare at a single instance and
            expire, so such an engine is offered whatever its rank.
        kept: Engines that probably keep the beginning of the prompt. They take the place of one
            other engine; all of them may be busy.

    Returns:
        The engines, those of `kept` first, then local ones, then those of `rated`.
    """
    skipped = placement // PLACEMENTS_PER_SET
    local: list[Engine] = []
    remote: list[Engine] = []
    for engine in ranked:
        (local if is_local(engine) else remote).append(engine)
        if len(local) >= LOCAL_CANDIDATES * (skipped + 1) and len(remote) >= REMOTE_CANDIDATES * (
            skipped + 1
        ):
            break
    chosen = [
        *_take_cyclic(local, skipped, LOCAL_CANDIDATES),
        *_take_cyclic(remote, skipped, REMOTE_CANDIDATES),
    ]
    usual = [engine for engine in chosen if engine not in kept]
    chosen = [*kept, *usual[: LOCAL_CANDIDATES + REMOTE_CANDIDATES - bool(kept)]]
    others = (engine for engine in rated if engine not in chosen)
    return [*chosen, *islice(others, RATED_CANDIDATES)]


def compute_start_share(engines: int, instances: int) -> float:
    """Computes which share of waiting streams may start on an engine that looks idle.

    Args:
        engines: Number of engines of the service.
        instances: Number of instances, at least 1.

    Returns:
        The share, at most 1.
    """
    contenders = instances * (LOCAL_CANDIDATES + REMOTE_CANDIDATES)
    return min(1.0, STARTS_PER_IDLE_ENGINE * engines / max(1, contenders))


def _take_cyclic(engines: Sequence[Engine], turn: int, size: int) -> list[Engine]:
    """Takes the next `size` engines for a turn, and starts again after the last one."""
    if len(engines) <= size:
        return list(engines)
    start = turn * size
    return [engines[(start + offset) % len(engines)] for offset in range(size)]
