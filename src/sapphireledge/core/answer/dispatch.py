"""Decision to start an attempt on a backend server."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Dispatch"]


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Decision to start an attempt on a backend server."""

    attempt: int
    """Number of the attempt; 1 is the first."""

    offset: int
    """Token offset to continue from; the text before it is sent as the prefix."""

    prefer: str
    """Backend server to use if available; empty for no preference."""

    avoid: tuple[str, ...]
    """Backend servers to use only when no other candidate is left."""

    version: str
    """Model version that the backend server must run; empty for any."""

    software: str | None = ""
    """Software version that generated the tokens before the offset; None if it is not known."""
