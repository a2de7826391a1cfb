"""Appends of one call."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.peers.messages import AnswerAppend

if TYPE_CHECKING:
    from typing import Any

    from sapphireledge.peers.copy_progress import CopyProgress

__all__ = ["CopyBatch"]

MAX_PIECES = 2_000
"""Tokens in one call; a call of this size keeps the loops of both sides for some milliseconds."""

MAX_CHARACTERS = 262_144
"""Characters in one call, unless a single header, event or piece is longer."""


class CopyBatch:
    """Collects appends until a limit is reached."""

    def __init__(self) -> None:
        self.appends: list[Any] = []
        """The AnswerAppend messages."""
        self._pieces_left = MAX_PIECES
        self._characters_left = MAX_CHARACTERS

    @property
    def is_full(self) -> bool:
        """Whether nothing more fits."""
        return self._pieces_left <= 0 or self._characters_left <= 0

    def add(self, progress: CopyProgress) -> None:
        """Adds what one answer has to send, as far as it fits, but at least one piece.

        Args:
            progress: The answer with what was sent; it is moved on.
        """
        answer = progress.answer
        append = AnswerAppend(answer.request_id, answer.epoch, progress.sent)
        # Empty fields are left out: most calls carry one token for each of a hundred answers, and
        # an empty field takes as long to read as the token.
        append.header = None if progress.header_sent else self._take_header(progress)
        append.events = self._take_events(progress) or None
        append.pieces = self._take_pieces(progress)
        append.finish = None
        if not progress.unsent and progress.events_sent == len(answer.events):
            append.finish = answer.finish_reason or None
            progress.finish_sent = bool(answer.finish_reason)
        self.appends.append(append)

    def _take_header(self, progress: CopyProgress) -> str:
        """Takes the header."""
        header = progress.answer.header
        progress.header_sent = True
        self._characters_left -= len(header)
        return header

    def _take_events(self, progress: CopyProgress) -> str:
        """Takes the next recorded events, at least one entry."""
        events = progress.answer.events
        selected: list[str] = []
        while progress.events_sent < len(events) and (not selected or self._characters_left > 0):
            entry = events[progress.events_sent]
            selected.append(entry)
            self._characters_left -= len(entry)
            progress.events_sent += 1
        return "".join(selected)

    def _take_pieces(self, progress: CopyProgress) -> list[str]:
        """Takes the next pieces, at least one."""
        start = progress.sent
        pieces = progress.answer.pieces[start : start + max(1, self._pieces_left)]
        size = sum(map(len, pieces))
        while len(pieces) > 1 and size > self._characters_left:
            size -= len(pieces.pop())
        progress.sent = start + len(pieces)
        self._pieces_left -= len(pieces)
        self._characters_left -= size
        return pieces
