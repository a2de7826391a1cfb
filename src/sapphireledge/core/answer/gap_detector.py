"""Adaptive timeout for the gaps in a token stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.settings import ResumeSettings

__all__ = ["GapDetector"]

MEAN_GAIN = 1 / 8
"""Weight of a new gap in the mean, as in TCP's retransmission timer (RFC 6298)."""

DEVIATION_GAIN = 1 / 4
"""Weight of a new deviation in the mean deviation (RFC 6298)."""

WARM_UP_GAPS = 4
"""Number of gaps before the estimate is used; fewer give no reliable deviation."""

SAME_CHUNK_GAP_S = 0.001
"""Shorter gaps separate tokens of the same chunk and are left out of the estimate."""


class GapDetector:
    """Estimates the longest plausible gap between two token arrivals.

    The limit is mean + k * mean deviation, clamped to the floor and the ceiling of the settings. A
    gap is capped at the ceiling before it enters the estimate, so that one long pause does not
    mask the next one.
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
        """Time without a token, in seconds, after which the engine is suspected to have failed."""
        return self._limit

    def observe(self, gap: float) -> None:
        """Adds a gap to the estimate.

        Args:
            gap: Time between two tokens of one attempt in seconds.
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
