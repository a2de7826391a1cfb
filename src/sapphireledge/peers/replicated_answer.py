"""Owner side of a running answer that is copied to a partner."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.peers.copy_outcome import CopyOutcome

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["ReplicatedAnswer"]


class ReplicatedAnswer:
    """Owner side of one copied answer, created by AnswerCopies.open and used by one session.

    Token offsets count from the start of the answer. Tokens before the greater of the offsets
    `stored` and `released` may be delivered, unless `newer_epoch` is set.
    """

    def __init__(
        self,
        request_id: str,
        epoch: int,
        header: str,
        on_change: Callable[[ReplicatedAnswer], None],
        on_end: Callable[[ReplicatedAnswer], None],
    ) -> None:
        """Creates an answer without tokens.

        Args:
            request_id: Id of the request.
            epoch: Epoch under which this entry owns the answer.
            header: Request as JSON, for an entry that takes over the answer.
            on_change: Called when there is data to send.
            on_end: Called when the answer no longer needs to be copied.
        """
        self.request_id = request_id
        """Id of the request."""
        self.epoch = epoch
        """Epoch under which this entry owns the answer."""
        self.header = header
        """Request as JSON."""
        self.software: str | None = None
        """Software version of the engine that began the answer; None if it is not known."""
        self.pieces: list[str] = []
        """Text of each token so far; other objects must not modify it."""
        self.events: list[str] = []
        """Recorded events so far; each item is one or more JSON lines."""
        self.finish_reason = ""
        """Finish reason, empty until the answer ends."""
        self.stored = 0
        """Number of tokens that a partner has stored."""
        self.released = 0
        """Number of tokens that may be delivered without a copy."""
        self.newer_epoch = 0
        """Epoch of the new owner, 0 while this entry owns the answer."""
        self.protected = False
        """Whether a partner is up to date, so that new tokens wait until it has stored them."""
        self.is_copyable = True
        """Whether the answer can be sent to a partner."""
        self.waiting_since: float | None = None
        """Time in seconds of the oldest token not yet sent to an up-to-date partner."""
        self._on_change = on_change
        self._on_end = on_end
        self.on_progress: Callable[[], None] | None = None
        """Called when more tokens may be delivered or another instance has become the owner."""
        self._progress = asyncio.Event()

    def append(self, now: float, pieces: list[str], events: str = "") -> int:
        """Appends tokens.

        Args:
            now: Current time of the AnswerCopies clock in seconds.
            pieces: Text of each token; may be empty if there are only events.
            events: Recorded events as JSON lines.

        Returns:
            Offset after the last token, for `wait_stored`.
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
        """Ends the answer; copying stops once the partner has the finish reason.

        Args:
            now: Current time of the AnswerCopies clock in seconds.
            reason: Finish reason.
            events: Last recorded events as JSON lines.
        """
        self.finish_reason = reason
        self.append(now, [], events)

    def close(self) -> None:
        """Stops copying immediately, for an answer that ends here without a finish reason."""
        self._on_end(self)

    def outcome(self, offset: int) -> CopyOutcome | None:
        """Returns whether the tokens before an offset may be delivered.

        Args:
            offset: Offset after the last token.

        Returns:
            The outcome, or None while the partner has yet to acknowledge them.
        """
        if self.newer_epoch:
            return CopyOutcome.SUPERSEDED
        if self.stored >= offset:
            return CopyOutcome.STORED
        if self.released >= offset:
            return CopyOutcome.UNPROTECTED
        return None

    async def wait_stored(self, offset: int) -> CopyOutcome:
        """Waits until it is decided whether the tokens before an offset may be delivered.

        The wait is limited by the `copy_timeout` of the settings.

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
        """Records that a partner has stored the tokens before an offset."""
        if offset > self.stored:
            self.stored = offset
            self._report_progress()

    def release_all(self) -> None:
        """Releases all tokens so far for delivery without a copy."""
        self.released = len(self.pieces)
        self.waiting_since = None
        self._report_progress()

    def on_superseded(self, epoch: int) -> None:
        """Records that another instance owns the answer."""
        self.newer_epoch = epoch
        self._report_progress()

    def _report_progress(self) -> None:
        """Wakes the waiter and calls `on_progress`."""
        self._progress.set()
        if self.on_progress is not None:
            self.on_progress()


def _is_encodable(piece: str) -> bool:
    """Whether a text can be encoded as UTF-8, which lone surrogates cannot."""
    try:
        piece.encode()
    except UnicodeEncodeError:
        return False
    return True
