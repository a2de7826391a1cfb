"""Heartbeat interval, depending on the size of the data centre."""

from __future__ import annotations

__all__ = ["compute_heartbeat_interval"]

BASE_INTERVAL_MEMBERS = 9
"""Members of a data centre up to which the base interval applies."""

MAX_INTERVAL_MEMBERS = 52
"""Members from which the largest factor applies: 360 entries spread over 7 data centres."""

MAX_INTERVAL_FACTOR = 3.0
"""Largest factor; 51 peers then cost as many heartbeats per second as 17 at the base interval."""


def compute_heartbeat_interval(base: float, members: int) -> float:
    """Computes the heartbeat interval.

    Args:
        base: Interval for a small data centre, in seconds.
        members: Number of entries in the data centre.

    Returns:
        Interval in seconds, which grows linearly from the base to three times the base.
    """
    share = (members - BASE_INTERVAL_MEMBERS) / (MAX_INTERVAL_MEMBERS - BASE_INTERVAL_MEMBERS)
    return base * (1 + (MAX_INTERVAL_FACTOR - 1) * min(1.0, max(0.0, share)))
