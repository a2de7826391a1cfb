"""Result of a replay."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.core.replay.replay_difference import ReplayDifference
    from sapphireledge.core.replay.replay_gap import ReplayGap

__all__ = ["ReplayReport"]


@dataclass(frozen=True, slots=True)
class ReplayReport:
    """Result of a replay."""

    replayed: int
    """Number of events that were replayed."""

    skipped: int
    """Number of events that could not be replayed because of a gap."""

    differences: tuple[ReplayDifference, ...]
    """One entry for each event whose decisions differ from the recorded ones."""

    gaps: tuple[ReplayGap, ...]
    """Missing parts of the recordings."""

    @property
    def exact(self) -> bool:
        """Whether every event was replayed with the same decisions."""
        return not (self.differences or self.gaps or self.skipped)
