"""The closed list of error kinds."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["ErrorKind"]


class ErrorKind(StrEnum):
    """Every kind of error that callers, operators and peers can receive."""

    INVALID_REQUEST = "invalid_request"
    """A field of the request is missing, malformed or out of bounds."""

    UNAUTHENTICATED = "unauthenticated"
    """Credentials are missing or unknown."""

    FORBIDDEN = "forbidden"
    """The credentials do not permit the requested workspace, rank or operation."""

    UNKNOWN_MODEL = "unknown_model"
    """No deployment declares the requested model."""

    UNKNOWN_WORKSPACE = "unknown_workspace"
    """The workspace is not declared."""

    TOO_LARGE = "too_large"
    """The body or a header exceeds its limit."""

    WOULD_BE_LATE = "would_be_late"
    """The first token is expected later than the deadline."""

    OVERLOADED = "overloaded"
    """Every candidate refused the request, or the retry budget is exhausted."""

    NOT_CONFIGURED = "not_configured"
    """The instance has no configuration yet."""

    NO_BACKEND = "no_backend"
    """No live backend server can serve the request."""

    VERSION_GONE = "version_gone"
    """No backend server runs the version that began an answer any more."""

    PLATFORM_UNAVAILABLE = "platform_unavailable"
    """The platform's object API did not answer in time."""

    REQUEST_CONDEMNED = "request_condemned"
    """The request crashed several backend servers and is refused."""

    IDEMPOTENCY_KEY_EXPIRED = "idempotency_key_expired"
    """The timestamp of the idempotency key is outside the accepted window."""

    OUTCOME_UNKNOWN = "outcome_unknown"
    """A non-idempotent request was sent, and its outcome cannot be determined."""

    ANSWER_LOST = "answer_lost"
    """No copy of the answer remains, and the caller did not supply the text."""

    ANSWER_DIVERGED = "answer_diverged"
    """The caller's position does not match the stored answer."""

    ANSWER_MOVED = "answer_moved"
    """Another instance now owns the answer."""

    DEADLINE_EXCEEDED = "deadline_exceeded"
    """The deadline passed before the request was sent or answered."""

    SHUTTING_DOWN = "shutting_down"
    """The instance is draining and accepts no new work."""

    CONFLICT = "conflict"
    """The object has changed since the version on which the change was based."""

    NOT_FOUND = "not_found"
    """The named object does not exist."""

    SERVICE_FAILED = "service_failed"
    """The backend service itself returned an error."""

    INTERNAL = "internal"
    """An internal error of the system."""
