"""Running mean of output lengths."""

from __future__ import annotations

__all__ = ["OutputEstimator"]

DEFAULT_OUTPUT = 256.0
"""Assumed output length in tokens before anything was measured."""

SMOOTHING_FACTOR = 0.05
"""Weight of one new observation; the mean follows about the last 20 requests."""


class OutputEstimator:
    """Running mean of output lengths for each kind of request, such as model and rank."""

    def __init__(self, default: float = DEFAULT_OUTPUT):
        self._default = default
        self._means: dict[str, float] = {}

    def on_finished(self, kind: str, output_tokens: int) -> None:
        """Takes up the length of a finished answer.

        Args:
            kind: Kind of the request.
            output_tokens: Tokens generated.
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
