"""How far one answer has reached one partner."""

from __future__ import annotations

from dataclasses import dataclass

from sapphireledge.peers.answer_copy import AnswerCopy

__all__ = ["CopyProgress"]


@dataclass(slots=True)
class CopyProgress:
    """How far one answer has reached one partner."""

    answer: AnswerCopy
    """The answer."""

    synced: bool
    """Whether the partner is up to date, so that new tokens wait for it."""

    header_sent: bool = False
    """Whether the partner has the header."""

    sent: int = 0
    """Tokens sent."""

    events_sent: int = 0
    """Entries of the event list sent."""

    finish_sent: bool = False
    """Whether the finish was sent."""

    restarts: int = 0
    """Times that the answer was sent again from its start."""

    @property
    def unsent(self) -> int:
        """Tokens not sent yet."""
        return len(self.answer.pieces) - self.sent

    @property
    def has_more(self) -> bool:
        """Whether anything is left to send."""
        answer = self.answer
        return (
            self.unsent > 0
            or not self.header_sent
            or self.events_sent < len(answer.events)
            or (bool(answer.finish_reason) and not self.finish_sent)
        )

    def restart(self) -> None:
        """Plans to send everything again."""
        self.restarts += 1
        self.synced = False
        self.header_sent = False
        self.sent = 0
        self.events_sent = 0
        self.finish_sent = False
