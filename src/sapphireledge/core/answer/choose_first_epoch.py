"""Epoch of an answer that is started rather than taken over."""

from __future__ import annotations

__all__ = ["choose_first_epoch"]

MILLISECONDS = 1_000
"""Milliseconds in a second."""


def choose_first_epoch(is_first: bool, unix_time: float) -> int:
    """Chooses the epoch of an answer that is started rather than taken over.

    An epoch from the clock exceeds any that was counted from 1, so an owner that could not be
    reached is superseded as soon as it meets this answer.

    Args:
        is_first: Whether no other instance can own the answer: every one replied that it does not,
            and the caller has no text of it.
        unix_time: Current time in Unix seconds.

    Returns:
        The epoch, at least 1.
    """
    return 1 if is_first else int(unix_time * MILLISECONDS)
