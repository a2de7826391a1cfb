"""What the end of an attempt says about the version of the server that ran it."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["AnswerQuality"]


class AnswerQuality(StrEnum):
    """What the end of an attempt says about the version of the server that ran it."""

    GOOD = "good"
    """A complete answer; its time is compared with that of the other version."""

    FAILED = "failed"
    """The server answered with an error, broke off, or did not answer in time."""

    UNKNOWN = "unknown"
    """Nothing: the caller left, the server did not run the request because it was full, stopping or
    at its limits, or the request's own content is known to crash servers."""
