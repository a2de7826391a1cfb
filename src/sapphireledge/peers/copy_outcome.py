"""Whether tokens may go to the caller."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["CopyOutcome"]


class CopyOutcome(StrEnum):
    """Whether tokens may go to the caller."""

    STORED = "stored"
    """The partner has the tokens; they may be delivered."""

    UNPROTECTED = "unprotected"
    """No partner has the tokens in time; they may be delivered and the session records it."""

    SUPERSEDED = "superseded"
    """Another instance owns the answer; nothing more may be delivered."""
