"""Estimate of the time from the first event of a stream to its last one."""

from __future__ import annotations

from sapphireledge.core.decay import DecayedSum

__all__ = ["GenerationEstimator"]

GAIN = 0.2
"""Weight of a new observation."""


PACE_WINDOW = 3.0
"""Seconds over which the pace of the running streams is averaged."""

MIN_PACE_TIME = 1.0
"""Seconds of running streams within the window below which their pace counts as unknown."""

SPREADS = 2.0
"""Mean deviations by which a short generation is shorter than the mean one."""


class GenerationEstimator:
    """Learns how long the engines of one service take to generate a stream.

    Callers announce the largest output, and many generations end earlier. The time is learned per
    announced token, so what usually stays unused is part of the estimate. A caller that resumes a
    stream lacks only the rest, which is learned from the number of events per announced token.

    Load pattern: in a flood, engines process prompts all the time, and generations take several
    times as long as before. Complete streams show that only when it is over, running ones at once.
    """

    __slots__ = (
        "_duration",
        "_events",
        "_pace_events",
        "_pace_time",
        "_spread",
        "_token_events",
        "_token_time",
    )

    def __init__(self) -> None:
        self._duration = 0.0
        self._token_time = 0.0
        self._events = 0.0
        self._token_events = 0.0
        self._spread = 0.0
        self._pace_events = DecayedSum(PACE_WINDOW)
        self._pace_time = DecayedSum(PACE_WINDOW)

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

    def observe_pace(self, now: float, events: int, duration: float) -> None:
        """Adds a part of a running stream.

        Args:
            now: Current time in seconds.
            events: Number of events in the part.
            duration: Length of the part in seconds.
        """
        self._pace_events.add(now, events)
        self._pace_time.add(now, duration)

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
        events = self._expected_events(output_tokens)
        rest = 1.0 if not received else max(0.0, 1.0 - received / events) if events else 0.0
        return max(0.0, 1.0 - SPREADS * self._spread) * rest * self.estimate(output_tokens)

    def estimate_at_pace(self, now: float, output_tokens: int, received: int = 0) -> float:
        """Estimates the time of a generation at the pace of the streams that run now.

        Args:
            now: Current time in seconds.
            output_tokens: Largest output that is announced, in tokens, 0 if unknown.
            received: Number of events that the caller has received already.

        Returns:
            Seconds, 0 if the pace is unknown.
        """
        duration = self._pace_time.value(now)
        events = self._pace_events.value(now)
        if duration < MIN_PACE_TIME or not events:
            return 0.0
        return max(0.0, self._expected_events(output_tokens) - received) * duration / events

    def _expected_events(self, output_tokens: int) -> float:
        """Estimates the number of events of a stream, 0 if unknown."""
        if output_tokens and self._token_events:
            return output_tokens * self._token_events
        return self._events


def _update(mean: float, sample: float) -> float:
    """Updates a moving average; the first sample replaces the initial 0."""
    return sample if not mean else mean + GAIN * (sample - mean)
