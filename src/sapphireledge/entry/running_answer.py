"""One answer in the memory of the instance that owns it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.core.answer import AnswerEnd

__all__ = ["RunningAnswer"]


class RunningAnswer:
    """Tokens of one answer, for any number of readers.

    A token becomes readable when its copy is stored or the answer runs unprotected. The generation
    does not belong to a connection: readers come and go, and `readers` tells whether anybody waits.
    """

    def __init__(self, answer_id: str, epoch: int, version: str = "") -> None:
        """Creates an empty answer.

        Args:
            answer_id: Key of the answer in the fleet.
            epoch: Number of this ownership.
            version: Model version, empty until the first attempt fixes it.
        """
        self.answer_id = answer_id
        """Key of the answer in the fleet."""
        self.epoch = epoch
        """Number of this ownership."""
        self.version = version
        """Model version, empty until the first attempt fixes it."""
        self.pieces: list[str] = []
        """Text of each token that was decided, readable or not."""
        self.readable = 0
        """Number of tokens that readers may have."""
        self.end: AnswerEnd | None = None
        """Set when no token will follow."""
        self.readers = 0
        """Connections that wait for the answer."""
        self.ended_at: float | None = None
        """Monotonic time of the end, or of the departure of the last reader."""
        self._changed = asyncio.Event()

    @property
    def is_drained(self) -> bool:
        """Whether the end is known and every token may be read."""
        return self.end is not None and self.readable >= len(self.pieces)

    def append(self, text: str) -> None:
        """Adds the next token.

        Args:
            text: Text of the token.
        """
        self.pieces.append(text)

    def release(self, count: int) -> None:
        """Lets readers have the tokens up to a count.

        Args:
            count: Number of tokens from the start of the answer.
        """
        if count > self.readable:
            self.readable = min(count, len(self.pieces))
            self._notify()

    def finish(self, end: AnswerEnd) -> None:
        """Ends the answer; a second end is ignored.

        Args:
            end: How it ended.
        """
        if self.end is None:
            self.end = end
            self._notify()

    def supersede(self, end: AnswerEnd) -> None:
        """Ends the answer because another instance owns it.

        Tokens that no reader may have yet are dropped: the new owner continues differently.

        Args:
            end: The failure that names the new owner.
        """
        del self.pieces[self.readable :]
        self.end = end
        self._notify()

    async def wait(self, offset: int, limit: float | None = None) -> bool:
        """Waits until there is something to read from an offset on, or the end.

        Args:
            offset: Tokens that the reader has.
            limit: Longest wait in seconds, None for no limit.

        Returns:
            False if the limit passed first.
        """
        if limit is None:
            while self.readable <= offset and not self.is_drained:
                await self._changed.wait()
            return True
        try:
            async with asyncio.timeout(limit):
                return await self.wait(offset)
        except TimeoutError:
            return False

    def _notify(self) -> None:
        """Wakes all readers."""
        self._changed.set()
        self._changed = asyncio.Event()
