"""Why a call to a backend server did not complete."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["BreakCause"]


class BreakCause(StrEnum):
    """Why a call to a backend server did not complete."""

    NOT_CONNECTED = "not_connected"
    """The connection was refused or timed out before a byte was sent."""

    NO_CONNECTION_FREE = "no_connection_free"
    """The bounded pool had no connection in time; nothing was sent."""

    LEAVING = "leaving"
    """The backend server takes nothing new (503 leaving)."""

    BUSY = "busy"
    """The backend server has no room (429)."""

    UNKNOWN_MODEL = "unknown_model"
    """The model or version is not loaded there (404)."""

    INVALID = "invalid"
    """The backend server rejects the request itself (other 4xx)."""

    SERVER_ERROR = "server_error"
    """The backend server answered with a fault of its own."""

    NO_ANSWER = "no_answer"
    """The request was sent and no answer began within its time limit."""

    CONNECTION_LOST = "connection_lost"
    """The connection broke after the request was sent."""

    TRUNCATED = "truncated"
    """The stream ended in order but without its finish chunk."""

    MALFORMED = "malformed"
    """The answer does not follow the protocol."""
