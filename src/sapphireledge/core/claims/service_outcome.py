"""Answer of a plain service."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ServiceOutcome"]


@dataclass(frozen=True, slots=True)
class ServiceOutcome:
    """Answer of a plain service, from the run itself or from the record of it."""

    status: int
    """HTTP status code."""

    content_type: str
    """Content type of the body."""

    body: bytes
    """Body."""

    body_omitted: bool = False
    """Whether the record lacks the body because it exceeded the limit."""

    repeated: bool = False
    """Whether this is the recorded answer of an earlier call."""
