"""Verdict that a request may run anywhere."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Clear"]


@dataclass(frozen=True, slots=True)
class Clear:
    """The request may run on any backend server."""

    deaths: int = 0
    """Deaths counted against the request; above 0 it must not join an isolated request."""
