"""Exponential moving average of output lengths."""

from __future__ import annotations

__all__ = ["OutputEstimator"]

DEFAULT_OUTPUT = 256.0
"""Output length in tokens that is assumed until an answer of the kind has finished."""

SMOOTHING_FACTOR = 0.05
"""Weight of a new observation, so that the mean covers about the last 20 requests."""


class OutputEstimator:
    """Exponential moving average of the output length for each kind of request.

    A kind is any grouping of requests, such as model and rank.
    """

    def __init__(self, default: float = DEFAULT_OUTPUT):
        self._default = default
        self._means: dict[str, float] = {}

    def on_finished(self, kind: str, output_tokens: int) -> None:
        """Adds the length of a finished answer to the average.

        Args:
            kind: Kind of the request.
            output_tokens: Number of generated tokens.
        """
        mean = self._means.get(kind, self._default)
        self._means[kind] = mean + SMOOTHING_FACTOR * (output_tokens - mean)

    def expected(self, kind: str) -> float:
        """Estimates the length of an answer.

        Args:
            kind: Kind of the request.

        Returns:
            Expected output in tokens.
        """
        return self._means.get(kind, self._default)
