"""Progress of copying one answer to one partner."""

from __future__ import annotations

from dataclasses import dataclass

from sapphireledge.peers.replicated_answer import ReplicatedAnswer

__all__ = ["CopyProgress"]


@dataclass(slots=True)
class CopyProgress:
    """Progress of copying one answer to one partner."""

    answer: ReplicatedAnswer
    """Answer that is copied."""

    synced: bool
    """Whether the partner is up to date, so that new tokens are held until it has stored them."""

    header_sent: bool = False
    """Whether the header was sent."""

    sent: int = 0
    """Number of tokens sent."""

    events_sent: int = 0
    """Number of items of `ReplicatedAnswer.events` sent."""

    finish_sent: bool = False
    """Whether the finish reason was sent."""

    restarts: int = 0
    """Number of times that the answer was resent from its start."""

    @property
    def unsent(self) -> int:
        """Number of tokens not sent yet."""
        return len(self.answer.pieces) - self.sent

    @property
    def has_more(self) -> bool:
        """Whether anything remains to be sent."""
        answer = self.answer
        return (
            self.unsent > 0
            or not self.header_sent
            or self.events_sent < len(answer.events)
            or (bool(answer.finish_reason) and not self.finish_sent)
        )

    def restart(self) -> None:
        """Resets the progress, so that everything is sent again."""
        self.restarts += 1
        self.synced = False
        self.header_sent = False
        self.sent = 0
        self.events_sent = 0
        self.finish_sent = False
