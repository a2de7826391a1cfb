"""Settings of the gateway."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["GatewaySettings"]


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Where the gateway listens and the times it keeps; times are in seconds."""

    instance: str
    """Name of the instance."""

    data_centre: str
    """Data centre of the instance."""

    listen_host: str
    """IP address for callers and readiness."""

    listen_port: int
    """Port for callers."""

    ready_host: str
    """IP address for readiness."""

    ready_port: int
    """Port for readiness."""

    metrics_port: int
    """Port for metrics."""

    key_trust: float
    """Age of the confirmed configuration up to which its keys are accepted."""

    stop_limit: float
    """Time from SIGTERM to SIGKILL."""

    start_wait: float = 0.2
    """Longest wait of a request for the first configuration. An instance listens 0.02 to 0.25 s
    before it has one; a refusal after that time still comes early."""

    drain_time: float = 4.0
    """Time after SIGTERM in which connections still arrive; readiness is asked each second, and
    two misses take the instance out."""

    pause_limit: float = 0.33
    """Silence of a running stream that counts as a loss. Half of the pause that is still on time
    (0.7 s); a prompt that is read next to the stream stretches the pauses to 0.15 s."""

    probe_period: float = 0.8
    """Silence before the first event after which an engine is asked for its report."""

    probe_limit: float = 0.45
    """Time for such a report: a round trip between regions and two retransmissions."""

    retry_ratio: float = 0.6
    """Repeated sends that each request earns; three quarters of the shared ratio of 0.8."""

    retry_earned_cap: float = 4.0
    """Largest number of earned repeated sends."""

    retry_slack: float = 90.0
    """Repeated sends of all instances in a window beside the earned ones; a part of the shared
    slack of 150, because instances that start anew count from zero."""

    retry_burst_cap: float = 6.0
    """Largest part of `retry_slack` for one instance."""

    retry_window: float = 10.0
    """Window of the shared budget."""
