"""Run of consecutive delivered tokens."""

from __future__ import annotations

__all__ = ["TokenRun"]

TICKS_PER_SECOND = 1000
"""Resolution of the recorded delays: one tick is a millisecond."""


class TokenRun:
    """Collects consecutive delivered tokens of one attempt to record them as one event."""

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
            now: Arrival time in seconds, rounded to a millisecond.
            text: Text of the token.
        """
        ticks = round(now * TICKS_PER_SECOND)
        self.delays.append(ticks - self._last_ticks)
        self.texts.append(text)
        self._last_ticks = ticks
