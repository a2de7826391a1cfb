"""Result of checking a chained answer."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ChainReport"]


@dataclass(frozen=True, slots=True)
class ChainReport:
    """Result of checking a chained answer."""

    tokens: int
    """Tokens that are in order, from the first one."""

    ended: bool
    """Whether the last token is marked as the end of the answer."""

    nonces: tuple[str, ...]
    """Nonces of the generations that made the answer, in order; one per attempt."""

    problem: str = ""
    """First fault found, empty for none."""

    position: int = 0
    """Character at which the first fault is."""

    @property
    def intact(self) -> bool:
        """Whether no token is missing, repeated or foreign up to the end of the text."""
        return not self.problem

    @property
    def complete(self) -> bool:
        """Whether the answer is intact and reaches its end."""
        return self.ended and not self.problem
