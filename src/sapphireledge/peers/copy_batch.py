"""Batch of answer appends sent in one call."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.peers.messages import AnswerAppend

if TYPE_CHECKING:
    from typing import Any

    from sapphireledge.peers.copy_progress import CopyProgress

__all__ = ["CopyBatch"]

MAX_PIECES = 2_000
"""Maximum tokens in one call; this many occupy both event loops for a few milliseconds."""

MAX_CHARACTERS = 262_144
"""Maximum characters in one call, unless a single header, event or token is longer."""


class CopyBatch:
    """Collects appends until a size limit is reached."""

    def __init__(self) -> None:
        self.appends: list[Any] = []
        """The AnswerAppend messages."""
        self._pieces_left = MAX_PIECES
        self._characters_left = MAX_CHARACTERS

    @property
    def is_full(self) -> bool:
        """Whether a size limit has been reached."""
        return self._pieces_left <= 0 or self._characters_left <= 0

    def add(self, progress: CopyProgress) -> None:
        """Adds the unsent data of one answer up to the size limits, but at least one token.

        Args:
            progress: Progress of the answer; it is advanced past the data added.
        """
        answer = progress.answer
        append = AnswerAppend(answer.request_id, answer.epoch, progress.sent)
        # Empty fields are omitted: most calls carry one token for each of about a hundred answers,
        # and decoding an empty field takes as long as decoding the token.
        append.header = None if progress.header_sent else self._take_header(progress)
        append.events = self._take_events(progress) or None
        append.pieces = self._take_pieces(progress)
        append.finish = None
        if append.pieces and not append.offset:
            append.software = answer.software
        if not progress.unsent and progress.events_sent == len(answer.events):
            append.finish = answer.finish_reason or None
            progress.finish_sent = bool(answer.finish_reason)
        self.appends.append(append)

    def _take_header(self, progress: CopyProgress) -> str:
        """Returns the header and marks it as sent."""
        header = progress.answer.header
        progress.header_sent = True
        self._characters_left -= len(header)
        return header

    def _take_events(self, progress: CopyProgress) -> str:
        """Returns the next recorded events that fit, at least one if there are any."""
        events = progress.answer.events
        selected: list[str] = []
        while progress.events_sent < len(events) and (not selected or self._characters_left > 0):
            entry = events[progress.events_sent]
            selected.append(entry)
            self._characters_left -= len(entry)
            progress.events_sent += 1
        return "".join(selected)

    def _take_pieces(self, progress: CopyProgress) -> list[str]:
        """Returns the next tokens that fit, at least one if there are any."""
        start = progress.sent
        pieces = progress.answer.pieces[start : start + max(1, self._pieces_left)]
        size = sum(map(len, pieces))
        while len(pieces) > 1 and size > self._characters_left:
            size -= len(pieces.pop())
        progress.sent = start + len(pieces)
        self._pieces_left -= len(pieces)
        self._characters_left -= size
        return pieces
