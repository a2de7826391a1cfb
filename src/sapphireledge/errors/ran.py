"""What is known about the execution of a refused request."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["Ran"]


class Ran(StrEnum):
    """Tells whether a refused request had any effect."""

    NO = "no"
    """Nothing was generated or booked by this call."""

    YES = "yes"
    """The request ran, at least in part."""

    UNKNOWN = "unknown"
    """The request was sent and its effect cannot be determined."""
