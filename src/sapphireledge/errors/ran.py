"""Whether a refused request was executed."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["Ran"]


class Ran(StrEnum):
    """Whether a refused request was executed, as far as known."""

    NO = "no"
    """This call generated and booked nothing."""

    YES = "yes"
    """The request was executed, at least in part."""

    UNKNOWN = "unknown"
    """The request was sent, but its effect cannot be determined."""
