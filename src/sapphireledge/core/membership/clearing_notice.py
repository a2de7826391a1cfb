"""Clearing of a suspected request, as exchanged between peers."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ClearingNotice"]


@dataclass(frozen=True, slots=True)
class ClearingNotice:
    """States that the deaths of a request up to `time_unix` no longer count."""

    fingerprint: str
    """Fingerprint of the request."""

    time_unix: float
    """Time of the completion or of the operator's command, in Unix seconds."""

    who: str = ""
    """Operator who lifted the quarantine; empty for a completion."""

    why: str = ""
    """Reason given by the operator."""
