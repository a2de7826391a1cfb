"""A complete request whose connection this instance closed without a complete response."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["EndReason", "UnansweredRequest"]


class EndReason(StrEnum):
    """Why a connection of a caller ended."""

    CALLER_CLOSED = "caller_closed"
    """The caller closed its side."""

    CONNECTION_LOST = "connection_lost"
    """The caller or the network reset the connection."""

    IDLE = "idle"
    """No further request began within the idle timeout."""

    CLOSING = "closing"
    """The last response announced that the connection is closed."""

    REFUSED = "refused"
    """A request could not be accepted; it was answered with an error status."""

    GAVE_WAY = "gave_way"
    """Other connections needed its place or its memory."""

    ABORTED = "aborted"
    """The response could not be completed."""

    STOPPED = "stopped"
    """The process stopped."""

    UNEXPECTED = "unexpected"
    """The task of the connection ended by an exception."""

    @property
    def is_by_caller(self) -> bool:
        """Whether the caller or the network ended the connection."""
        return self in (EndReason.CALLER_CLOSED, EndReason.CONNECTION_LOST)


@dataclass(frozen=True, slots=True)
class UnansweredRequest:
    """A complete request whose connection this instance closed without a complete response."""

    request_id: str
    """Id of the request, empty if it had been received but not parsed."""

    reason: EndReason
    """Why the connection ended."""

    response_started: bool
    """Whether the head of a response had been sent."""

    held: float | None
    """Seconds since the request began to arrive, None if it had not been parsed."""
