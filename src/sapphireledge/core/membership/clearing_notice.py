"""Clearing of a suspected request as peers report it."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ClearingNotice"]


@dataclass(frozen=True, slots=True)
class ClearingNotice:
    """The deaths of a request up to a time no longer count."""

    fingerprint: str
    """Fingerprint of the request."""

    time_unix: float
    """Time of the completion or the order, in Unix seconds."""

    who: str = ""
    """Operator who lifted it; empty for a completion."""

    why: str = ""
    """Reason that the operator gave."""
