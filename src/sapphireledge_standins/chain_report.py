"""Result of a check of a chained answer."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ChainReport"]


@dataclass(frozen=True, slots=True)
class ChainReport:
    """Result of a check of a chained answer, up to the first fault."""

    tokens: int
    """Number of correct tokens before the first fault."""

    ended: bool
    """Whether the last correct token is marked as the end of the answer."""

    nonces: tuple[str, ...]
    """Nonces of the generations that contributed tokens, in order; one per attempt."""

    problem: str = ""
    """Description of the first fault, empty if there is none."""

    position: int = 0
    """Character position of the first fault."""

    @property
    def intact(self) -> bool:
        """Whether no token of the text is missing, repeated or from another generation."""
        return not self.problem

    @property
    def complete(self) -> bool:
        """Whether the answer is intact and has its last token."""
        return self.ended and not self.problem
