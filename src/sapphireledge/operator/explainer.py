"""Answers where a request would go."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from sapphireledge.core.explanation import Explanation, Question
    from sapphireledge.errors import Failure

__all__ = ["Explainer"]


class Explainer(Protocol):
    """Answers where a request would go; each interface for callers has its own."""

    async def explain(self, question: Question) -> Explanation | Failure:
        """Explains where a request would go now, without any effect.

        Args:
            question: The request.

        Returns:
            The explanation, or why the question cannot be answered.
        """
        ...
