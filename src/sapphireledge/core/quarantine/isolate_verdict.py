"""Verdict that a request must run isolated."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["IsolateVerdict"]


@dataclass(frozen=True, slots=True)
class IsolateVerdict:
    """The request may run only on a backend server without any other suspect."""

    deaths: int
    """Deaths counted against the request."""
