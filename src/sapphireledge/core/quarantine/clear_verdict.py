"""Verdict that a request may run anywhere."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ClearVerdict"]


@dataclass(frozen=True, slots=True)
class ClearVerdict:
    """The request may run on any backend server."""

    deaths: int = 0
    """Deaths counted against the request; above 0 it must not join an isolated request."""
