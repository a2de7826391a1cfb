"""Load of an engine as it reports it."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["EngineLoad"]


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """A report; it is some hundred milliseconds old when it arrives."""

    waiting: int
    """Requests that wait for a slot or for memory."""

    reading: int
    """Running requests that have no event yet, so that their prompt is still read."""

    running: int
    """Running requests."""

    memory_used: int
    """Tokens in memory that cannot yield."""

    memory_total: int
    """Tokens that fit into memory."""

    born: int = 0
    """Start of the incarnation that reports, in Unix milliseconds, 0 when unknown."""
