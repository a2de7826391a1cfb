"""Tokens and state of one answer at the instance that owns it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.core.answer import AnswerEnd

__all__ = ["RunningAnswer"]


class RunningAnswer:
    """Tokens and state of one answer, shared by any number of readers.

    A token becomes readable when its copy is stored or the answer is unprotected. The generation
    is not tied to a connection: readers may attach and detach, and `readers` counts them.
    """

    def __init__(self, answer_id: str, epoch: int, version: str = "") -> None:
        """Creates an empty answer.

        Args:
            answer_id: Key of the answer in the fleet.
            epoch: Ownership epoch of the answer.
            version: Model version, empty until the first attempt determines it.
        """
        self.answer_id = answer_id
        """Key of the answer in the fleet."""
        self.epoch = epoch
        """Ownership epoch of the answer."""
        self.version = version
        """Model version, empty until the first attempt determines it."""
        self.software: str | None = None
        """Software version of the engine that began it; None without tokens or if not known."""
        self.pieces: list[str] = []
        """Text of each committed token, readable or not."""
        self.readable = 0
        """Number of tokens that readers may deliver."""
        self.end: AnswerEnd | None = None
        """How the answer ended; None while tokens may follow."""
        self.readers = 0
        """Number of attached readers."""
        self.ended_at: float | None = None
        """Monotonic time at which the answer ended or its last reader detached."""
        self._changed = asyncio.Event()

    @property
    def is_drained(self) -> bool:
        """Whether the answer has ended and all its tokens are readable."""
        return self.end is not None and self.readable >= len(self.pieces)

    def append(self, text: str) -> None:
        """Adds the next token.

        Args:
            text: Text of the token.
        """
        self.pieces.append(text)

    def release(self, count: int) -> None:
        """Makes the first `count` tokens readable.

        Args:
            count: Number of tokens from the start of the answer.
        """
        if count > self.readable:
            self.readable = min(count, len(self.pieces))
            self._notify()

    def finish(self, end: AnswerEnd) -> None:
        """Marks the answer as ended; has no effect if it has already ended.

        Args:
            end: How the answer ended.
        """
        if self.end is None:
            self.end = end
            self._notify()

    def supersede(self, end: AnswerEnd) -> None:
        """Ends the answer because another instance owns it now.

        Tokens that are not readable yet are dropped, because the new owner generates others.

        Args:
            end: End of the answer for its readers, a failure of kind answer_moved.
        """
        del self.pieces[self.readable :]
        self.end = end
        self._notify()

    async def wait(self, offset: int, timeout: float | None = None) -> bool:
        """Waits for a readable token at an offset, or for the end of the answer.

        Args:
            offset: Number of tokens that the reader already has.
            timeout: Timeout in seconds, None for no timeout.

        Returns:
            False if the timeout expired first.
        """
        if timeout is None:
            while self.readable <= offset and not self.is_drained:
                await self._changed.wait()
            return True
        try:
            async with asyncio.timeout(timeout):
                return await self.wait(offset)
        except TimeoutError:
            return False

    def _notify(self) -> None:
        """Wakes all readers."""
        self._changed.set()
        self._changed = asyncio.Event()
