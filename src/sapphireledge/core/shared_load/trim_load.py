"""Bounds the size of load figures."""

from __future__ import annotations

from heapq import nlargest
from typing import TYPE_CHECKING

from sapphireledge.core.shared_load.service_load import ServiceLoad
from sapphireledge.core.shared_load.workspace_streams import MIN_AMOUNT

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sapphireledge.core.shared_load.workspace_streams import WorkspaceStreams

__all__ = ["trim_load"]

MAX_NAME_LENGTH = 64
"""Longest name of a service or workspace in a message, in bytes."""

MAX_RANKS = 4
"""Number of ranks whose remaining workspaces are summed; the arrivals of others are left out."""


def trim_load(
    services: Mapping[str, ServiceLoad], max_services: int, max_rows: int
) -> dict[str, ServiceLoad]:
    """Leaves out the workspaces and services with the least load.

    Args:
        services: Load by service.
        max_services: Largest number of services.
        max_rows: Largest number of workspaces of all services together, for streams and for plain
            requests each.

    Returns:
        Load by service within the limits.
    """
    named = {name: load for name, load in services.items() if _is_short(name)}
    kept = nlargest(max_services, named, key=lambda name: _weight(named[name]))
    stream_rows = max_rows // max(1, sum(bool(named[name].streams) for name in kept))
    arrival_rows = max_rows // max(1, sum(bool(named[name].arrivals) for name in kept))
    return {
        name: ServiceLoad(
            _trim_streams(load.streams, stream_rows),
            _trim_arrivals(load.arrivals, arrival_rows),
            load.rejections,
            load.responses,
            load.response_time,
        )
        for name in kept
        for load in (named[name],)
    }


def _trim_streams(
    streams: Mapping[str, WorkspaceStreams], rows: int
) -> dict[str, WorkspaceStreams]:
    """Keeps the workspaces that use most."""
    names = [name for name, part in streams.items() if not part.is_negligible and _is_short(name)]
    kept = nlargest(rows, names, key=lambda name: (streams[name].tokens, streams[name].arrived))
    return {name: streams[name] for name in kept}


def _trim_arrivals(
    arrivals: Mapping[tuple[int, str], float], rows: int
) -> dict[tuple[int, str], float]:
    """Keeps the workspaces that send most, and sums the others of each rank."""
    listed = [
        caller
        for caller, amount in arrivals.items()
        if caller[1] and amount >= MIN_AMOUNT and _is_short(caller[1])
    ]
    kept = {caller: arrivals[caller] for caller in nlargest(rows, listed, key=arrivals.__getitem__)}
    rest: dict[tuple[int, str], float] = {}
    for caller, amount in arrivals.items():
        if caller not in kept:
            rest[caller[0], ""] = rest.get((caller[0], ""), 0.0) + amount
    for caller in sorted(rest)[:MAX_RANKS]:
        if rest[caller] >= MIN_AMOUNT:
            kept[caller] = rest[caller]
    return kept


def _is_short(name: str) -> bool:
    """Whether a name may be part of a message."""
    try:
        return len(name.encode()) <= MAX_NAME_LENGTH
    except UnicodeEncodeError:
        return False


def _weight(load: ServiceLoad) -> float:
    """Returns the number of recent requests for a service."""
    return sum(load.arrivals.values()) + sum(part.arrived for part in load.streams.values())
