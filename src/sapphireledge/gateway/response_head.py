"""Head of a backend server's response."""

from __future__ import annotations

from dataclasses import dataclass, field

from sapphireledge.core.backpressure import ServerSignals

__all__ = ["ResponseHead"]


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status, headers to forward and the decoded headers of the platform."""

    status: int
    """HTTP status."""

    headers: tuple[tuple[bytes, bytes], ...]
    """Headers to forward to the caller."""

    request_id: str | None
    """Id of the request that the response belongs to, None if the response has no id."""

    not_executed: bool
    """Whether the backend server states that it did not execute the request."""

    signed: bool
    """Whether the response is signed by a backend server that executed the request."""

    encoded: bool
    """Whether the body has a content encoding, which no backend server applies."""

    idle_timeout: float | None
    """Idle timeout of the connection in seconds, None if the backend server announced none."""

    closes_connection: bool
    """Whether the backend server closes the connection after this response."""

    is_event_stream: bool = False
    """Whether the body is a series of server-sent events."""

    signals: ServerSignals = field(default_factory=ServerSignals)
    """What the backend server asks of its callers."""
