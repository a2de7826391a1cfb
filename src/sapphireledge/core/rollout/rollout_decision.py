"""Result of one evaluation of a roll-out at an instance."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from sapphireledge.core.rollout.rollout_state import RolloutState

__all__ = ["RolloutDecision", "RolloutStage"]


class RolloutStage(StrEnum):
    """Position of an instance in a roll-out."""

    WAITING = "waiting"
    """Old version only: the order is new, or reports do not arrive."""

    TRIAL = "trial"
    """The new version is given a small share of the requests that may be repeated."""

    WATCH = "watch"
    """The new version is given a small share of all requests, and is held to be good so far."""

    MOVE = "move"
    """The share of the new version rises."""

    FINISH = "finish"
    """New version only; work at servers of the old version ends."""

    STOPPED = "stopped"
    """Old version only, because the new one is held to be bad."""

    DONE = "done"
    """The stored status is final."""


@dataclass(frozen=True, slots=True)
class RolloutDecision:
    """Result of one evaluation of a roll-out at an instance."""

    stage: RolloutStage
    """Position of this instance."""

    share: float
    """Share of the requests that the new version is given."""

    proposed: RolloutState | None = None
    """Final state that this instance would write now, None for none."""

    reason: str = ""
    """Why, for the log."""

    evidence: Mapping[str, float] = field(default_factory=dict)
    """Figures behind the decision, for the log."""

    move_streams: bool = False
    """Streams at servers of the old version of which nothing was delivered begin at the new one, if
    their kind permits it; what still runs there by the deadline is lost."""
