"""Load of an engine as it reports it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["EngineLoad"]


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """A report; it is some hundred milliseconds old when it arrives."""

    waiting: int
    """Requests that wait for a slot or for memory."""

    running: int
    """Running requests."""

    memory_used: int
    """Tokens in memory that cannot yield."""

    memory_total: int
    """Tokens that fit into memory."""

    events: Mapping[str, int] = field(default_factory=dict)
    """Events made so far of each running request, by the id of the caller attempt."""

    born: int = 0
    """Start of the incarnation that reports, in Unix milliseconds, 0 when unknown."""

    @property
    def reading(self) -> int:
        """Running requests that have no event yet, so that their prompt is still read."""
        return sum(1 for made in self.events.values() if not made)
