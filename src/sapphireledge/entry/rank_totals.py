"""Counts since the start of the instance."""

from __future__ import annotations

from collections import Counter

__all__ = ["RankTotals"]


class RankTotals:
    """Delivered tokens and refusals by rank since the start of the instance."""

    def __init__(self) -> None:
        """Starts at zero."""
        self._tokens: Counter[str] = Counter()
        self._refused: Counter[str] = Counter()

    def add_tokens(self, rank: str, count: int) -> None:
        """Counts delivered tokens.

        Args:
            rank: Name of the rank.
            count: Number of tokens.
        """
        self._tokens[rank] += count

    def add_refusal(self, rank: str) -> None:
        """Counts a refusal.

        Args:
            rank: Name of the rank.
        """
        self._refused[rank] += 1

    def tokens(self, rank: str) -> int:
        """Reads the delivered tokens of a rank.

        Args:
            rank: Name of the rank.

        Returns:
            Number of tokens.
        """
        return self._tokens[rank]

    def refused(self, rank: str) -> int:
        """Reads the refusals of a rank.

        Args:
            rank: Name of the rank.

        Returns:
            Number of requests.
        """
        return self._refused[rank]
