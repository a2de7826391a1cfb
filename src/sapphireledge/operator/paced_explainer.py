"""Limits the time that a process spends on questions of operators."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from sapphireledge.core.explanation import Explanation, Question
    from sapphireledge.operator.explainer import Explainer

__all__ = ["MAX_WAITING", "PAUSE", "PacedExplainer"]

PAUSE = 0.2
"""Seconds from the end of a question to the next one; each takes the event loop for some time."""

MAX_WAITING = 8
"""Questions that may wait; more are refused."""


class PacedExplainer:
    """Answers one question at a time, with a pause after each; implements `Explainer`."""

    def __init__(self, explainer: Explainer) -> None:
        """Creates the explainer.

        Args:
            explainer: Answers the questions.
        """
        self._explainer = explainer
        self._turn = asyncio.Lock()
        self._waiting = 0
        self._next_at = 0.0

    async def explain(self, question: Question) -> Explanation | Failure:
        """Explains where a request would go, when it is the question's turn.

        Args:
            question: The request.

        Returns:
            The explanation, or why the question cannot be answered.
        """
        if self._waiting > MAX_WAITING:
            reason = f"{self._waiting} questions of operators are already waiting"
            return Failure(ErrorKind.OVERLOADED, reason)
        self._waiting += 1
        try:
            async with self._turn:
                return await self._explain_next(question)
        finally:
            self._waiting -= 1

    async def _explain_next(self, question: Question) -> Explanation | Failure:
        """Answers a question after the pause."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(self._next_at - loop.time())
        try:
            return await self._explainer.explain(question)
        finally:
            self._next_at = loop.time() + PAUSE
