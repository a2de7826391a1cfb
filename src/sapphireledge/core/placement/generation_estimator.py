"""Estimate of the time from the first event of a stream to its last one."""

from __future__ import annotations

__all__ = ["GenerationEstimator"]

GAIN = 0.2
"""Weight of a new observation."""


SPREADS = 2.0
"""Mean deviations by which a short generation is shorter than the mean one."""


class GenerationEstimator:
    """Learns how long the engines of one service take to generate a stream.

    Callers announce the largest output, and many generations end earlier. The time is learned per
    announced token, so what usually stays unused is part of the estimate. A caller that resumes a
    stream lacks only the rest, which is learned from the number of events per announced token.
    """

    __slots__ = ("_duration", "_events", "_spread", "_token_events", "_token_time")

    def __init__(self) -> None:
        self._duration = 0.0
        self._token_time = 0.0
        self._events = 0.0
        self._token_events = 0.0
        self._spread = 0.0

    def observe(self, output_tokens: int, duration: float, events: int = 0) -> None:
        """Adds a complete stream to the estimate.

        Args:
            output_tokens: Largest output that was announced, in tokens, 0 if unknown.
            duration: Time from the first event to the last one in seconds.
            events: Number of its events, 0 if unknown.
        """
        expected = self.estimate(output_tokens)
        if expected:
            self._spread = _update(self._spread, abs(1.0 - duration / expected))
        if events:
            self._events = _update(self._events, events)
            if output_tokens:
                self._token_events = _update(self._token_events, events / output_tokens)
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

    def estimate_shortest(self, output_tokens: int, received: int = 0) -> float:
        """Estimates the time that a short generation takes, for decisions that must not be wrong.

        Args:
            output_tokens: Largest output that is announced, in tokens, 0 if unknown.
            received: Number of events that the caller has received already.

        Returns:
            Seconds, 0 before the second observation.
        """
        if not self._spread:
            return 0.0
        events = output_tokens * self._token_events if output_tokens else self._events
        rest = 1.0 if not received else max(0.0, 1.0 - received / events) if events else 0.0
        return max(0.0, 1.0 - SPREADS * self._spread) * rest * self.estimate(output_tokens)


def _update(mean: float, sample: float) -> float:
    """Updates a moving average; the first sample replaces the initial 0."""
    return sample if not mean else mean + GAIN * (sample - mean)
