"""Limits of load shedding."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["SheddingLimits"]


@dataclass(frozen=True, slots=True)
class SheddingLimits:
    """Limits of load shedding; response times are shares of the latency target."""

    target_share: float = 0.55
    """Response time that the admitted share is controlled to. The rest of the target is for
    requests that take longer than others and for the way back to the caller."""

    baseline_factor: float = 2.0
    """Multiple of the response time without load up to which a service is not overloaded, however
    tight its target is."""

    baseline_drift: float = 0.02
    """Rate per second at which the response time without load is forgotten."""

    smoothing_time: float = 0.5
    """Time constant in seconds of the moving average of response times."""

    min_sample_weight: float = 0.1
    """Smallest weight of a response in the moving average."""

    max_sample_weight: float = 0.35
    """Largest weight of a response in the moving average, also after a pause; a single rejection
    does not show that a service is overloaded."""

    rejected_response: float = 1.0
    """Response time that a rejection by a full server counts as; its queue is about a target
    long."""

    rejection_memory: float = 3.0
    """Seconds for which a rejection shows that a service is overloaded."""

    rejected_share: float = 0.05
    """Rejections as a share of the responses at the other instances of the data centre from which
    they show that a service is overloaded."""

    min_rejections: float = 2.0
    """Recent rejections at the other instances below which they show nothing."""

    min_responses: float = 4.0
    """Recent responses at the other instances below which their response time shows nothing."""

    elsewhere_weight: float = 0.2
    """Weight of the response time that the other instances see. What they report is up to two
    seconds old, so the responses of this instance must keep their part."""

    max_shared_response: float = 3.0
    """Largest response time that an instance reports to the others or takes from them."""

    response_memory: float = 1.0
    """Seconds without a response after which the last ones say nothing about the load."""

    proportional_gain: float = 0.7
    """How strongly the admitted share follows the response time. Queues grow for as long as too
    much is admitted, so a control by the sum of the deviations alone would oscillate."""

    integral_gain: float = 0.3
    """Rate per second at which the admitted share moves while responses are twice as slow as
    permitted, or immediate."""

    min_share: float = 0.1
    """Smallest admitted share; its responses show when the overload ends."""

    rank_floor: float = 0.25
    """Share of the admitted requests that each rank keeps of its even share, so that no rank is
    starved by a more urgent one."""

    arrival_window: float = 5.0
    """Time constant in seconds over which the arrivals of a workspace are averaged."""

    signal_window: float = 1.0
    """Time constant in seconds over which rejections and responses are summed for other
    instances."""

    division_interval: float = 0.25
    """Seconds for which a division among workspaces is used."""

    max_callers: int = 256
    """Largest number of workspaces and ranks whose arrivals are kept apart; the others are counted
    together."""

    shortest_retry_after: float = 0.3
    """Shortest time in seconds around which Retry-After is spread."""

    longest_retry_after: float = 3.0
    """Longest time in seconds around which Retry-After is spread; floods change meanwhile."""
