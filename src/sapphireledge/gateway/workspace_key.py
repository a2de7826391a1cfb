"""Workspace of an API key."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["WorkspaceKey"]


@dataclass(frozen=True, slots=True)
class WorkspaceKey:
    """Workspace and priority that an API key stands for."""

    workspace: str
    """Name of the workspace."""

    rank: int | None = None
    """Priority that overrides that of the route, or None."""
