"""Difference between a recorded and a repeated decision."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from sapphireledge.core.replay.request_event import RequestEvent

__all__ = ["ReplayDifference"]


@dataclass(frozen=True, slots=True)
class ReplayDifference:
    """Difference between a recorded and a repeated decision."""

    event: RequestEvent
    """The recorded event."""

    replayed: list[dict[str, Any]]
    """What the core decides on the same input now."""

    reason: str
    """What differs, in one sentence."""
