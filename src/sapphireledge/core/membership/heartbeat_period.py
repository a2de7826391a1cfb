"""Interval of heartbeats by the size of the data centre."""

from __future__ import annotations

__all__ = ["heartbeat_period"]

SMALL_SIZE = 9
"""Members of a data centre up to which the base interval holds."""

LARGE_SIZE = 52
"""Members at which the interval reaches its largest factor: 360 entries in 7 data centres."""

LARGE_FACTOR = 3.0
"""Largest factor; with it 51 peers cost as many heartbeats per second as 17 at the base."""


def heartbeat_period(base: float, members: int) -> float:
    """Computes the interval of heartbeats.

    Args:
        base: Interval in a small data centre, in seconds.
        members: Entries of the own data centre.

    Returns:
        Interval in seconds, growing linearly from the base to three times the base.
    """
    share = (members - SMALL_SIZE) / (LARGE_SIZE - SMALL_SIZE)
    return base * (1 + (LARGE_FACTOR - 1) * min(1.0, max(0.0, share)))
