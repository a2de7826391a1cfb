"""Why a call to a backend server did not complete."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["CallFailureCause"]


class CallFailureCause(StrEnum):
    """Why a call to a backend server did not complete."""

    NOT_CONNECTED = "not_connected"
    """The connection was refused or timed out before a byte was sent."""

    NO_CONNECTION_FREE = "no_connection_free"
    """No connection of the bounded pool became free in time; nothing was sent."""

    LEAVING = "leaving"
    """The backend server is shutting down and accepts no new work (503 leaving)."""

    BUSY = "busy"
    """The backend server is at capacity (429)."""

    UNKNOWN_MODEL = "unknown_model"
    """The model or version is not loaded on the backend server (404)."""

    INVALID = "invalid"
    """The request is invalid for the backend server (other 4xx) or cannot be sent."""

    SERVER_ERROR = "server_error"
    """The backend server reported an internal error."""

    NO_ANSWER = "no_answer"
    """The request was sent, but the response did not arrive within its timeout."""

    CONNECTION_LOST = "connection_lost"
    """The connection broke after the request was sent."""

    TRUNCATED = "truncated"
    """The stream ended cleanly but without a finish chunk."""

    MALFORMED = "malformed"
    """The response violates the protocol."""
