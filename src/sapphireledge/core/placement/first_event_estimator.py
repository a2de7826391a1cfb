"""Estimate of the time from sending a stream to its first event."""

from __future__ import annotations

__all__ = ["FirstEventEstimator"]

INITIAL_PROMPT_TIME = 1.3
"""Seconds that an engine takes for one prompt, assumed before any observation."""

GAIN = 0.2
"""Weight of a new observation."""

LENGTH_GAIN = 0.1
"""Weight of a new prompt in the mean length."""

MAX_LENGTH = 131_072
"""Longest prompt that counts in the mean, in tokens; callers state the length of theirs."""

MIN_OWN_WORK = 0.25
"""Smallest part of a prompt by which a delay is divided; below it, the first step of the generation
and the round trip outweigh the prompt."""

MIN_PROMPT_TIME = 0.2
"""Lower bound of the estimate in seconds."""

MAX_PROMPT_TIME = 4.0
"""Upper bound of the estimate in seconds; an engine in trouble says little about the others."""


class FirstEventEstimator:
    """Learns the time that the engines of one service take for a prompt of typical length."""

    __slots__ = ("_prompt_time", "_typical_tokens")

    def __init__(self) -> None:
        self._prompt_time = INITIAL_PROMPT_TIME
        self._typical_tokens = 0.0

    @property
    def typical_tokens(self) -> float:
        """Mean length of recent prompts in tokens, 0 before the first one."""
        return self._typical_tokens

    def observe_length(self, prompt_tokens: int) -> None:
        """Adds the length of a prompt to the mean.

        Args:
            prompt_tokens: Length in tokens, 0 if unknown.
        """
        if prompt_tokens:
            sample = min(MAX_LENGTH, prompt_tokens)
            mean = self._typical_tokens or sample
            self._typical_tokens = mean + LENGTH_GAIN * (sample - mean)

    def observe(self, prompts_ahead: float, delay: float, own_work: float = 1.0) -> None:
        """Adds the first event of a stream to the estimate.

        Args:
            prompts_ahead: Prompts that were to be processed first when the stream was sent.
            delay: Time from sending the stream to its first event in seconds.
            own_work: What the stream itself had to be processed, in prompts of typical length.
        """
        work = prompts_ahead + max(MIN_OWN_WORK, own_work)
        sample = min(MAX_PROMPT_TIME, max(MIN_PROMPT_TIME, delay / work))
        self._prompt_time += GAIN * (sample - self._prompt_time)

    def estimate(self, prompts_ahead: float, own_work: float = 1.0) -> float:
        """Estimates the time to the first event.

        Args:
            prompts_ahead: Prompts that an engine processes first.
            own_work: What the stream itself has to be processed, in prompts of typical length.

        Returns:
            Seconds.
        """
        return (prompts_ahead + own_work) * self._prompt_time
