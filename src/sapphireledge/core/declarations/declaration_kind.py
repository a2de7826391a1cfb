"""Kinds of declarations."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["DeclarationKind"]


class DeclarationKind(StrEnum):
    """Kinds of objects that operators declare."""

    RANK = "rank"
    """A request rank."""

    WORKSPACE = "workspace"
    """A workspace."""

    DEPLOYMENT = "deployment"
    """A model version and its engines."""

    SERVICE = "service"
    """A plain service."""
