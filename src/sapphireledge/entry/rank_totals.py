"""Token and refusal counts per rank."""

from __future__ import annotations

from collections import Counter

__all__ = ["RankTotals"]


class RankTotals:
    """Delivered tokens and refused requests per rank since the instance started."""

    def __init__(self) -> None:
        """Creates counters at zero."""
        self._tokens: Counter[str] = Counter()
        self._refused: Counter[str] = Counter()

    def add_tokens(self, rank: str, count: int) -> None:
        """Adds delivered tokens to the count of a rank.

        Args:
            rank: Name of the rank.
            count: Number of tokens.
        """
        self._tokens[rank] += count

    def add_refusal(self, rank: str) -> None:
        """Counts a refused request.

        Args:
            rank: Name of the rank.
        """
        self._refused[rank] += 1

    def tokens(self, rank: str) -> int:
        """Returns the number of tokens delivered for a rank.

        Args:
            rank: Name of the rank.

        Returns:
            Number of tokens.
        """
        return self._tokens[rank]

    def refused(self, rank: str) -> int:
        """Returns the number of refused requests of a rank.

        Args:
            rank: Name of the rank.

        Returns:
            Number of requests.
        """
        return self._refused[rank]
