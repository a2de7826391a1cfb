"""Reader of an answer that this instance owns."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sapphireledge.entry.answer_runner import AnswerRunner
    from sapphireledge.entry.caller_request import CallerRequest
    from sapphireledge.entry.entry_parts import EntryParts
    from sapphireledge.errors import Failure

__all__ = ["LocalReader"]

CATCH_UP_TIMEOUT = 2.0
"""Seconds to wait until the readable tokens reach the caller's position before refusing it."""


class LocalReader:
    """Reads an answer that this instance owns."""

    def __init__(self, parts: EntryParts, runner: AnswerRunner) -> None:
        """Creates the reader; `open` attaches it.

        Args:
            parts: Components of the instance.
            runner: Runner of the answer.
        """
        self._parts = parts
        self._runner = runner
        self._attached = False
        self.version = ""
        self.software: str | None = None

    async def open(self, req: CallerRequest, offset: int) -> Failure | None:
        """Checks the caller's position and attaches to the answer.

        Args:
            req: The request of this connection.
            offset: Number of tokens that the caller has.

        Returns:
            None, or why reading cannot continue from there.
        """
        answer = self._runner.answer
        if offset > answer.readable and not answer.is_drained:
            await answer.wait(offset - 1, CATCH_UP_TIMEOUT)
        pieces = answer.pieces[: answer.readable]
        failure = self._parts.locator.check_position(req, answer.version, answer.software, pieces)
        if failure is not None:
            return failure
        self._runner = self._parts.registry.attach(self._runner)
        self._attached = True
        return None

    async def wait(self, offset: int) -> None:
        """Waits for the token at an offset, or for the end of the answer.

        Args:
            offset: Number of tokens already read.
        """
        await self._runner.answer.wait(offset)
        self.version = self._runner.answer.version
        self.software = self._runner.answer.software

    def pieces(self, start: int, stop: int | None) -> Sequence[str]:
        """Returns the tokens of a range that are available for delivery.

        Args:
            start: Offset of the first token.
            stop: Offset after the last token, None for all available ones.

        Returns:
            One text for each token.
        """
        answer = self._runner.answer
        return answer.pieces[start : answer.readable if stop is None else stop]

    def close(self) -> None:
        """Detaches from the answer."""
        if self._attached:
            self._attached = False
            self._parts.registry.detach(self._runner)

    @property
    def available(self) -> int:
        """Number of tokens available for delivery."""
        return self._runner.answer.readable

    @property
    def is_drained(self) -> bool:
        """Whether the answer has ended and no further token becomes available."""
        return self._runner.answer.is_drained

    @property
    def failure(self) -> Failure | None:
        """Why the answer ended early; None while it is running or if it completed."""
        end = self._runner.answer.end
        return end.failure if end is not None and self.is_drained else None

    @property
    def finish_reason(self) -> str:
        """Finish reason of an answer that completed."""
        end = self._runner.answer.end
        return end.reason if end is not None else ""
