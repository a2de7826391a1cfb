"""State of one suspected request, as shown to operators."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["SuspectState"]


@dataclass(frozen=True, slots=True)
class SuspectState:
    """Deaths and quarantine state of one suspected request."""

    fingerprint: str
    """Fingerprint of the request."""

    deaths: int
    """Deaths counted against the request."""

    state: str
    """One of "suspect", "isolated" and "condemned"."""

    since_unix: float
    """Time of the first counted death, in Unix seconds."""

    backends: tuple[str, ...]
    """Backend servers of the counted deaths, in chronological order."""
