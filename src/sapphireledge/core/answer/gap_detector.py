"""Adaptive limit for the silence of a token stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.settings import ResumeSettings

__all__ = ["GapDetector"]

MEAN_GAIN = 1 / 8
"""Weight of a new gap in the mean, as in TCP's retransmission timer (RFC 6298)."""

DEVIATION_GAIN = 1 / 4
"""Weight of a new difference in the mean deviation (RFC 6298)."""

WARM_UP_GAPS = 4
"""Gaps before the estimate is used; fewer say too little about the deviation."""

SAME_CHUNK_GAP_S = 0.001
"""Gaps below this (seconds) lie between tokens of one chunk and say nothing about the pace."""


class GapDetector:
    """Estimates the longest plausible gap between two arrivals of tokens.

    The limit is mean + k * mean deviation, kept between the floor and the ceiling of the
    settings. A gap is limited to the ceiling before it enters the estimate, so that one long
    pause does not hide the next one.
    """

    __slots__ = ("_cfg", "_deviation", "_gap_count", "_limit", "_mean")

    def __init__(self, cfg: ResumeSettings) -> None:
        self._cfg = cfg
        self._mean = 0.0
        self._deviation = 0.0
        self._gap_count = 0
        self._limit = max(cfg.gap_floor, cfg.gap_ceiling)

    @property
    def limit(self) -> float:
        """Silence in seconds that counts as a loss."""
        return self._limit

    def observe(self, gap: float) -> None:
        """Takes one gap into account.

        Args:
            gap: Seconds between two tokens of one attempt.
        """
        if gap < SAME_CHUNK_GAP_S:
            return
        cfg = self._cfg
        gap = min(gap, cfg.gap_ceiling)
        if self._gap_count == 0:
            self._mean = gap
            self._deviation = gap / 2
        else:
            self._deviation += DEVIATION_GAIN * (abs(gap - self._mean) - self._deviation)
            self._mean += MEAN_GAIN * (gap - self._mean)
        self._gap_count += 1
        if self._gap_count >= WARM_UP_GAPS:
            estimate = self._mean + cfg.gap_deviations * self._deviation
            self._limit = max(cfg.gap_floor, min(estimate, cfg.gap_ceiling))
