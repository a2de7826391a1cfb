"""Kinds of declarations."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["DeclarationKind"]


class DeclarationKind(StrEnum):
    """Kinds of objects that operators declare."""

    RANK = "rank"
    """A `Rank`."""

    WORKSPACE = "workspace"
    """A `Workspace`."""

    DEPLOYMENT = "deployment"
    """A `Deployment`."""

    SERVICE = "service"
    """A `Service`."""
