"""Estimate of the time from the first event of a stream to its last one."""

from __future__ import annotations

__all__ = ["GenerationEstimator"]

GAIN = 0.2
"""Weight of a new observation."""


class GenerationEstimator:
    """Learns how long the engines of one service take to generate a stream.

    Callers announce the largest output, and many generations end earlier. The time is learned per
    announced token, so what usually stays unused is part of the estimate.
    """

    __slots__ = ("_duration", "_token_time")

    def __init__(self) -> None:
        self._duration = 0.0
        self._token_time = 0.0

    def observe(self, output_tokens: int, duration: float) -> None:
        """Adds a complete stream to the estimate.

        Args:
            output_tokens: Largest output that was announced, in tokens, 0 if unknown.
            duration: Time from the first event to the last one in seconds.
        """
        self._duration = _update(self._duration, duration)
        if output_tokens:
            self._token_time = _update(self._token_time, duration / output_tokens)

    def estimate(self, output_tokens: int) -> float:
        """Estimates the time from the first event to the last one.

        Args:
            output_tokens: Largest output that is announced, in tokens, 0 if unknown.

        Returns:
            Seconds, 0 before the first observation.
        """
        if output_tokens and self._token_time:
            return output_tokens * self._token_time
        return self._duration


def _update(mean: float, sample: float) -> float:
    """Updates a moving average; the first sample replaces the initial 0."""
    return sample if not mean else mean + GAIN * (sample - mean)
