"""Kinds of declarations."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["DeclarationKind"]


class DeclarationKind(StrEnum):
    """Kinds of objects that operators declare."""

    RANK = "rank"
    """A request rank, declared as `Rank`."""

    WORKSPACE = "workspace"
    """A workspace, declared as `Workspace`."""

    DEPLOYMENT = "deployment"
    """A model version and its engines, declared as `Deployment`."""

    SERVICE = "service"
    """A plain HTTP service, declared as `Service`."""
