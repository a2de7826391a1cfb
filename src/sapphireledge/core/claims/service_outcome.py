"""Response of a plain service."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ServiceOutcome"]


@dataclass(frozen=True, slots=True)
class ServiceOutcome:
    """Response of a plain service, received directly or read from a claim."""

    status: int
    """HTTP status code."""

    content_type: str
    """Content type of the body."""

    body: bytes
    """Response body."""

    body_omitted: bool = False
    """Whether the body is missing because it exceeded the size limit of a claim."""

    repeated: bool = False
    """Whether this is the recorded response to an earlier call."""
