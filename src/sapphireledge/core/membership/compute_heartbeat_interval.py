"""Interval of heartbeats by the size of the data centre."""

from __future__ import annotations

__all__ = ["compute_heartbeat_interval"]

BASE_INTERVAL_MEMBERS = 9
"""Members of a data centre up to which the base interval holds."""

MAX_INTERVAL_MEMBERS = 52
"""Members at which the interval reaches its largest factor: 360 entries in 7 data centres."""

MAX_INTERVAL_FACTOR = 3.0
"""Largest factor; with it 51 peers cost as many heartbeats per second as 17 at the base."""


def compute_heartbeat_interval(base: float, members: int) -> float:
    """Computes the interval of heartbeats.

    Args:
        base: Interval in a small data centre, in seconds.
        members: Entries of the own data centre.

    Returns:
        Interval in seconds, growing linearly from the base to three times the base.
    """
    share = (members - BASE_INTERVAL_MEMBERS) / (MAX_INTERVAL_MEMBERS - BASE_INTERVAL_MEMBERS)
    return base * (1 + (MAX_INTERVAL_FACTOR - 1) * min(1.0, max(0.0, share)))
