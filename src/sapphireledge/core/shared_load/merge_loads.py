"""Sums of the load that several instances have seen."""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING

from sapphireledge.core.shared_load._load_sum import LoadSum
from sapphireledge.core.shared_load.service_load import ServiceLoad
from sapphireledge.core.shared_load.workspace_streams import MIN_AMOUNT, WorkspaceStreams

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from sapphireledge.core.shared_load.shared_load_limits import SharedLoadLimits

__all__ = ["merge_loads", "subtract_load"]


def merge_loads(
    loads: Iterable[tuple[float, Mapping[str, ServiceLoad]]], limits: SharedLoadLimits
) -> dict[str, ServiceLoad]:
    """Sums the load that several instances have seen.

    Args:
        loads: Age in seconds and load by service of each instance.
        limits: Limits; each amount decays by its age.

    Returns:
        Load by service.
    """
    sums: dict[str, LoadSum] = {}
    for age, services in loads:
        factors = _decay_factors(age, limits)
        for service, load in services.items():
            sums.setdefault(service, LoadSum()).add(load, factors)
    return {service: total.freeze() for service, total in sums.items()}


def subtract_load(
    total: Mapping[str, ServiceLoad],
    age: float,
    services: Mapping[str, ServiceLoad],
    limits: SharedLoadLimits,
) -> dict[str, ServiceLoad]:
    """Takes the load of one instance out of a sum.

    Args:
        total: Load by service.
        age: Age that the instance's load had when it was summed, in seconds.
        services: Load of the instance by service.
        limits: Limits; each amount decays by its age.

    Returns:
        Load by service of the others. What is not listed in the sum is not listed here.
    """
    tokens, starts, arrivals, signals = _decay_factors(age, limits)
    result = dict(total)
    for service, load in services.items():
        known = total.get(service)
        if known is None:
            continue
        streams = dict(known.streams)
        for workspace, part in load.streams.items():
            row = streams.pop(workspace, None)
            if row is None:
                continue
            others = WorkspaceStreams(
                max(0.0, row.tokens - tokens * part.tokens),
                max(0.0, row.arrived - starts * part.arrived),
                max(0.0, row.started - starts * part.started),
            )
            if not others.is_negligible:
                streams[workspace] = others
        result[service] = ServiceLoad(
            streams,
            _subtract_arrivals(known.arrivals, load.arrivals, arrivals),
            max(0.0, known.rejections - signals * load.rejections),
            max(0.0, known.responses - signals * load.responses),
            max(0.0, known.response_time - signals * load.response_time),
        )
    return result


def _subtract_arrivals(
    total: Mapping[tuple[int, str], float], part: Mapping[tuple[int, str], float], factor: float
) -> dict[tuple[int, str], float]:
    """Takes the arrivals of one instance out of a sum, from the unlisted ones if not listed."""
    callers = dict(total)
    for (rank, workspace), amount in part.items():
        caller = (rank, workspace if (rank, workspace) in total else "")
        if caller in callers:
            callers[caller] -= factor * amount
    return {caller: amount for caller, amount in callers.items() if amount >= MIN_AMOUNT}


def _decay_factors(age: float, limits: SharedLoadLimits) -> tuple[float, float, float, float]:
    """Returns what is left of tokens, starts, arrivals and signals at an age."""
    return (
        2.0 ** (-age / limits.usage_half_life),
        exp(-age / limits.start_window),
        exp(-age / limits.arrival_window),
        exp(-age / limits.signal_window),
    )
