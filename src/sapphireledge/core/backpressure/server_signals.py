"""What one response of a backend server says about the requests that the server takes."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ServerSignals"]


@dataclass(frozen=True, slots=True)
class ServerSignals:
    """What one response of a backend server says about the requests that the server takes."""

    rate_limit: float | None = None
    """Requests per second that the server takes from all instances together, None if unlimited."""

    pause: float | None = None
    """Seconds for which the server takes no requests from this instance, None without a pause."""

    is_leaving: bool = False
    """Whether the server shuts down and takes no new requests."""
