"""One step of the way of a request."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Check"]


@dataclass(frozen=True, slots=True)
class Check:
    """One step of the way of a request, and its result."""

    name: str
    """What decides, such as configuration, route or quarantine."""

    passed: bool
    """Whether the request goes on."""

    detail: str
    """Reason."""
