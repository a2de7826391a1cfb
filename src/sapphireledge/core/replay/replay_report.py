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
    """Events that were run again."""

    skipped: int
    """Events that could not be run again because of a gap."""

    differences: tuple[ReplayDifference, ...]
    """Every event whose decisions differ from the recorded ones."""

    gaps: tuple[ReplayGap, ...]
    """Parts of the record that are missing."""

    @property
    def exact(self) -> bool:
        """Whether every event was run again with the same decisions."""
        return not (self.differences or self.gaps or self.skipped)
