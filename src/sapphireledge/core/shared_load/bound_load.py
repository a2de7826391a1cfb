"""Bounds the amounts in load figures that were received."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.core.shared_load.service_load import ServiceLoad

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sapphireledge.core.shared_load.shared_load_limits import SharedLoadLimits

__all__ = ["bound_load"]


def bound_load(
    services: Mapping[str, ServiceLoad], instances: int, limits: SharedLoadLimits
) -> dict[str, ServiceLoad]:
    """Bounds the amounts to what instances can have seen.

    Args:
        services: Load by service.
        instances: Number of instances that have seen it.
        limits: Limits of one instance.

    Returns:
        Load by service. Arrivals above the limit keep their proportions.
    """
    requests = limits.max_request_rate * instances
    return {name: _bound_service(load, requests, limits) for name, load in services.items()}


def _bound_service(load: ServiceLoad, rate: float, limits: SharedLoadLimits) -> ServiceLoad:
    """Bounds the load of one service to a number of requests per second."""
    most_arrivals, most_signals = rate * limits.arrival_window, rate * limits.signal_window
    arrived = sum(load.arrivals.values())
    arrivals = load.arrivals
    if arrived > most_arrivals:
        scale = most_arrivals / arrived
        arrivals = {caller: amount * scale for caller, amount in arrivals.items()}
    responses = min(load.responses, most_signals)
    mean = min(load.mean_response_time, limits.max_response_time)
    return ServiceLoad(
        load.streams, arrivals, min(load.rejections, most_signals), responses, mean * responses
    )
