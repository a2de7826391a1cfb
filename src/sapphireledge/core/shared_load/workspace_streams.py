"""Streams of one workspace."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["WorkspaceStreams"]


@dataclass(frozen=True, slots=True)
class WorkspaceStreams:
    """Streams of one workspace at one service, as decayed sums."""

    tokens: float = 0.0
    """Tokens of the streams that started."""

    arrived: float = 0.0
    """Streams that arrived."""

    started: float = 0.0
    """Streams that started."""
