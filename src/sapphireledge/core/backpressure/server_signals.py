"""What one response of a backend server says about the requests that the server takes."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["ServerSignals"]


@dataclass(frozen=True, slots=True)
class ServerSignals:
    """What one response of a backend server says about the requests that the server takes."""

    rate_limit: float | None = None
    """Requests per second that the server takes from all instances together, None if unlimited."""

    pause: float | None = None
    """Seconds for which the server takes no requests from this instance, None without a pause."""

    rejection_limit: float | None = None
    """Rejections per second, of requests of all instances together, above which the server crashes;
    None if any number is safe."""

    has_rejected: bool = field(default=False, compare=False)
    """Whether the response rejects a request, as the server has no room."""

    is_leaving: bool = False
    """Whether the server shuts down and takes no new requests."""
