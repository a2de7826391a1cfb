"""Outcome of one send to a backend server."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.reply_head import ReplyHead

__all__ = ["Outcome", "OutcomeKind"]


MISDIRECTED = 421
"""Status of a server that took over the address of the one that was expected."""


class OutcomeKind(StrEnum):
    """What is known after one send."""

    ANSWERED = "answered"
    """A whole answer of a backend server that ran the request."""

    NOT_EXECUTED = "not_executed"
    """The request certainly did not run and never will."""

    FAILED = "failed"
    """The backend server ran the request and reported a failure of its own."""

    LOST = "lost"
    """The request was sent and no usable answer came; it may have run."""

    OUT_OF_TIME = "out_of_time"
    """The request was sent and the time for it is over; it may have run."""


@dataclass(frozen=True, slots=True)
class Outcome:
    """What one send led to."""

    kind: OutcomeKind
    """What is known."""

    server: BackendServer
    """Backend server that was asked."""

    reason: str
    """Cause for the log."""

    head: ReplyHead | None = None
    """Head of a whole answer or failure."""

    body: bytes = b""
    """Body of a whole answer or failure."""

    @property
    def is_misdirected(self) -> bool:
        """Whether another server has taken over the address of the one that was expected."""
        return (
            self.kind is OutcomeKind.NOT_EXECUTED
            and self.head is not None
            and self.head.status == MISDIRECTED
        )
