"""Holder of an API key."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["WorkspaceKey"]


@dataclass(frozen=True, slots=True)
class WorkspaceKey:
    """The workspace that holds an API key."""

    workspace: str
    """Name of the workspace."""

    rank: int | None = None
    """Urgency that replaces the rank of the route, or None."""
