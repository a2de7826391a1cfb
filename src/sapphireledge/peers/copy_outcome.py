"""Whether tokens may be delivered to the caller."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["CopyOutcome"]


class CopyOutcome(StrEnum):
    """Whether tokens may be delivered to the caller."""

    STORED = "stored"
    """A partner has stored the tokens; they may be delivered."""

    UNPROTECTED = "unprotected"
    """No partner stored the tokens in time; they may be delivered, which the session records."""

    SUPERSEDED = "superseded"
    """Another instance owns the answer; nothing more may be delivered."""
