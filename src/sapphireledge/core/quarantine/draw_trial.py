"""Choice of the requests by which a suspect is tried again."""

from __future__ import annotations

import hashlib

__all__ = ["draw_trial", "trial_share"]

MIN_SHARE = 1 / 32
"""Share of the requests that try a suspect right after its last death. Many instances may get it at
once, and few of them may send it on."""

MAX_SHARE = 1 / 4
"""Highest share of the requests that try a suspect."""

FULL_TIME = 120.0
"""Seconds after the last death in which the share would grow to 1."""


def draw_trial(request_id: str) -> float:
    """Draws a number for a request, the same one whenever it is asked for.

    Args:
        request_id: Id of the caller's attempt.

    Returns:
        A number from 0 to 1.
    """
    digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
    return int.from_bytes(digest) / 2**64


def trial_share(since_death: float) -> float:
    """Computes the share of the requests that try a suspect again.

    Args:
        since_death: Seconds since its last death.

    Returns:
        The share, from 0 to 1.
    """
    return min(MAX_SHARE, max(MIN_SHARE, since_death / FULL_TIME))
