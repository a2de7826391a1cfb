"""Consecutive delivered tokens of one attempt."""

from __future__ import annotations

__all__ = ["TokenRun"]

TICKS_PER_SECOND = 1000
"""Unit of the recorded delays."""


class TokenRun:
    """Collects consecutive delivered tokens of one attempt for one record."""

    __slots__ = ("_last_ticks", "attempt", "delays", "offset", "start", "texts")

    def __init__(self, attempt: int, offset: int, start: float) -> None:
        self.attempt = attempt
        self.offset = offset
        self.start = start
        self.delays: list[int] = []
        self.texts: list[str] = []
        self._last_ticks = round(start * TICKS_PER_SECOND)

    def add(self, now: float, text: str) -> None:
        """Adds a token.

        Args:
            now: Arrival in seconds, a whole number of milliseconds.
            text: Text of the token.
        """
        ticks = round(now * TICKS_PER_SECOND)
        self.delays.append(ticks - self._last_ticks)
        self.texts.append(text)
        self._last_ticks = ticks
