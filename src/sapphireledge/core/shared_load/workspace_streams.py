"""Streams of one workspace."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["MIN_AMOUNT", "WorkspaceStreams"]

MIN_AMOUNT = 0.05
"""Amount below which a workspace is left out; messages carry tenths."""


@dataclass(frozen=True, slots=True)
class WorkspaceStreams:
    """Streams of one workspace at one service, as decayed sums."""

    tokens: float = 0.0
    """Tokens of the streams that started."""

    arrived: float = 0.0
    """Streams that arrived."""

    started: float = 0.0
    """Streams that started."""

    @property
    def is_negligible(self) -> bool:
        """Whether so little is left that the workspace need not be listed."""
        return self.tokens < 1.0 and self.arrived < MIN_AMOUNT
