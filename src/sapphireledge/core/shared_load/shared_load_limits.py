"""Limits of the load that instances share."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["SharedLoadLimits"]


@dataclass(frozen=True, slots=True)
class SharedLoadLimits:
    """Limits of the load that instances share; times are in seconds."""

    max_age: float = 3.0
    """Time after which figures that were not replaced are dropped: several polls of a follower."""

    merge_interval: float = 0.25
    """Time for which merged figures are used, because each merge reads the digests of all
    followers."""

    max_instances: int = 128
    """Largest number of instances whose digests are kept."""

    max_services: int = 4
    """Largest number of services in a message, those with the most load."""

    digest_rows: int = 16
    """Largest number of workspaces in a digest, for streams and for plain requests each."""

    merged_rows: int = 32
    """Largest number of workspaces in merged figures, for streams and for plain requests each."""

    max_request_rate: float = 2_000.0
    """Largest number of plain requests per second that one instance can have seen."""

    max_response_time: float = 3.0
    """Largest mean response time as a share of the latency target, as in `SheddingLimits`."""

    usage_half_life: float = 10.0
    """Time after which tokens count half, as in `WaitingLimits`."""

    start_window: float = 10.0
    """Time constant of arrivals and starts of streams, as in `WaitingLimits`."""

    arrival_window: float = 5.0
    """Time constant of arrivals of plain requests, as in `SheddingLimits`."""

    signal_window: float = 1.0
    """Time constant of rejections and responses, as in `SheddingLimits`."""
