"""Progress of one attempt at a backend server."""

from __future__ import annotations

__all__ = ["AttemptProgress"]


class AttemptProgress:
    """How far a backend server came with one attempt."""

    __slots__ = ("events", "has_head", "is_sent")

    def __init__(self) -> None:
        self.is_sent = False
        """Whether the request was sent."""

        self.has_head = False
        """Whether the head of the response arrived; engines send it when they begin an answer."""

        self.events = 0
        """Number of events that arrived."""

    @property
    def stage(self) -> str:
        """How far the attempt came, for the log: "unsent", "sent", "head" or "events"."""
        if self.events:
            return "events"
        if self.has_head:
            return "head"
        return "sent" if self.is_sent else "unsent"
