"""Difference between the recorded and the replayed decisions of an event."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from sapphireledge.core.replay.request_event import RequestEvent

__all__ = ["ReplayDifference"]


@dataclass(frozen=True, slots=True)
class ReplayDifference:
    """Difference between the recorded and the replayed decisions of an event."""

    event: RequestEvent
    """The recorded event."""

    replayed: list[dict[str, Any]]
    """Decisions of the current code for the recorded input."""

    reason: str
    """Description of the difference."""
