"""Delay before a retry."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

__all__ = ["backoff_delay"]

MAX_DOUBLINGS = 32
"""Maximum exponent, so that a large attempt number cannot overflow."""


def backoff_delay(attempt: int, base: float, cap: float, rng: Random) -> float:
    """Draws the delay before a retry (exponential backoff with full jitter).

    Full jitter spreads the retries of callers that failed together over the entire interval.

    Args:
        attempt: Number of failed attempts, starting at 1.
        base: Upper limit of the first delay in seconds.
        cap: Upper limit of any delay in seconds.
        rng: Random source.

    Returns:
        Delay in seconds.
    """
    doublings = min(max(attempt - 1, 0), MAX_DOUBLINGS)
    return rng.uniform(0.0, min(cap, base * 2.0**doublings))
