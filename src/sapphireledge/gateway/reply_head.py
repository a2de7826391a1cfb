"""Head of a backend server's answer."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ReplyHead"]


@dataclass(frozen=True, slots=True)
class ReplyHead:
    """Status, headers for the caller and what the platform's headers say."""

    status: int
    """HTTP status."""

    headers: tuple[tuple[bytes, bytes], ...]
    """Headers to pass on to the caller."""

    request_id: str | None
    """Id of the request that the answer belongs to, None when it is not named."""

    not_executed: bool
    """Whether the backend server states that it did not run the request."""

    signed: bool
    """Whether the answer carries the signature of a backend server that ran the request."""

    encoded: bool
    """Whether the body has a content encoding, which no backend server applies."""

    keep_idle: float | None
    """Seconds for which the connection may stay idle, None when it is not stated."""

    closing: bool
    """Whether the backend server closes the connection after this answer."""
