"""Estimate of the time from sending a stream to its first event."""

from __future__ import annotations

__all__ = ["FirstEventEstimator"]

INITIAL_PROMPT_TIME = 1.3
"""Seconds that an engine takes for one prompt, assumed before any observation."""

GAIN = 0.2
"""Weight of a new observation."""

MIN_PROMPT_TIME = 0.2
"""Lower bound of the estimate in seconds."""

MAX_PROMPT_TIME = 4.0
"""Upper bound of the estimate in seconds; an engine in trouble says little about the others."""


class FirstEventEstimator:
    """Learns the time that the engines of one service take for a prompt."""

    __slots__ = ("_prompt_time",)

    def __init__(self) -> None:
        self._prompt_time = INITIAL_PROMPT_TIME

    def observe(self, prompts_ahead: float, delay: float) -> None:
        """Adds the first event of a stream to the estimate.

        Args:
            prompts_ahead: Prompts that were to be processed first when the stream was sent.
            delay: Time from sending the stream to its first event in seconds.
        """
        sample = min(MAX_PROMPT_TIME, max(MIN_PROMPT_TIME, delay / (prompts_ahead + 1.0)))
        self._prompt_time += GAIN * (sample - self._prompt_time)

    def estimate(self, prompts_ahead: float) -> float:
        """Estimates the time to the first event.

        Args:
            prompts_ahead: Prompts that an engine processes first.

        Returns:
            Seconds.
        """
        return (prompts_ahead + 1.0) * self._prompt_time
