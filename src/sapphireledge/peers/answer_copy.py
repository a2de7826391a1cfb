"""One running answer whose pieces are copied to the partner."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.peers.copy_outcome import CopyOutcome

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["AnswerCopy"]


class AnswerCopy:
    """The owner's side of one answer; made by AnswerCopies.open and used by one session.

    Token offsets count from the start of the answer. `stored` and `released` say up to which offset
    tokens may be delivered.
    """

    def __init__(
        self,
        request_id: str,
        epoch: int,
        header: str,
        on_change: Callable[[AnswerCopy], None],
        on_end: Callable[[AnswerCopy], None],
    ) -> None:
        """Creates an answer without tokens.

        Args:
            request_id: Id of the request.
            epoch: Epoch under which this entry owns the answer.
            header: JSON of the request, for whoever takes the answer over.
            on_change: Called when there is something to send.
            on_end: Called when the answer needs no copy any more.
        """
        self.request_id = request_id
        """Id of the request."""
        self.epoch = epoch
        """Epoch under which this entry owns the answer."""
        self.header = header
        """JSON of the request."""
        self.pieces: list[str] = []
        """All tokens so far; read only for others."""
        self.events: list[str] = []
        """Recorded events so far, each one or more JSON lines."""
        self.finish_reason = ""
        """Finish reason, empty while the answer goes on."""
        self.stored = 0
        """Tokens that a partner has stored."""
        self.released = 0
        """Tokens that may be delivered without a copy."""
        self.newer_epoch = 0
        """Epoch of the new owner, 0 while this entry owns the answer."""
        self.protected = False
        """Whether some partner is up to date, so that new tokens wait for it."""
        self.is_copyable = True
        """False if the answer cannot be sent to a partner at all."""
        self.waiting_since: float | None = None
        """Time of the oldest token that was not sent to an up-to-date partner yet."""
        self._on_change = on_change
        self._on_end = on_end
        self.on_progress: Callable[[], None] | None = None
        """Called when more may be delivered or another instance owns the answer."""
        self._progress = asyncio.Event()

    def append(self, now: float, pieces: list[str], events: str = "") -> int:
        """Adds tokens.

        Args:
            now: Current time of the clock of AnswerCopies.
            pieces: One text for each token, may be empty when there are only events.
            events: Recorded events as JSON lines.

        Returns:
            Offset after the last token, to wait for with `wait_stored`.
        """
        self.pieces.extend(pieces)
        if events:
            self.events.append(events)
        if not all(piece.isascii() or _is_encodable(piece) for piece in pieces):
            self.is_copyable = False
            self.protected = False
        if not self.protected:
            self.release_all()
        elif pieces and self.waiting_since is None:
            self.waiting_since = now
        self._on_change(self)
        return len(self.pieces)

    def finish(self, now: float, reason: str, events: str = "") -> None:
        """Ends the answer; the partner is told and the answer is then forgotten here.

        Args:
            now: Current time of the clock of AnswerCopies.
            reason: Finish reason.
            events: Last recorded events as JSON lines.
        """
        self.finish_reason = reason
        self.append(now, [], events)

    def close(self) -> None:
        """Stops copying at once, for an answer that ends without a finish here."""
        self._on_end(self)

    def outcome(self, offset: int) -> CopyOutcome | None:
        """Tells whether the tokens before an offset may be delivered.

        Args:
            offset: Offset after the last token.

        Returns:
            The outcome, or None while the partner has to be waited for.
        """
        if self.newer_epoch:
            return CopyOutcome.SUPERSEDED
        if self.stored >= offset:
            return CopyOutcome.STORED
        if self.released >= offset:
            return CopyOutcome.UNPROTECTED
        return None

    async def wait_stored(self, offset: int) -> CopyOutcome:
        """Waits until the tokens before an offset may be delivered or never may.

        The wait is bounded by the copy timeout of the settings.

        Args:
            offset: Offset after the last token.

        Returns:
            The outcome.
        """
        outcome = self.outcome(offset)
        while outcome is None:
            self._progress.clear()
            await self._progress.wait()
            outcome = self.outcome(offset)
        return outcome

    def on_stored(self, offset: int) -> None:
        """Notes that a partner has the tokens before an offset."""
        if offset > self.stored:
            self.stored = offset
            self._report_progress()

    def release_all(self) -> None:
        """Lets all tokens so far be delivered without a copy."""
        self.released = len(self.pieces)
        self.waiting_since = None
        self._report_progress()

    def on_superseded(self, epoch: int) -> None:
        """Notes that another instance owns the answer."""
        self.newer_epoch = epoch
        self._report_progress()

    def _report_progress(self) -> None:
        """Wakes whoever waits for the partner."""
        self._progress.set()
        if self.on_progress is not None:
            self.on_progress()


def _is_encodable(piece: str) -> bool:
    """Tells whether a text can be encoded; lone surrogates cannot."""
    try:
        piece.encode()
    except UnicodeEncodeError:
        return False
    return True
