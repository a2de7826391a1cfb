"""Part of an answer that exists already."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["StoredPrefix"]


@dataclass(frozen=True, slots=True)
class StoredPrefix:
    """Part of an answer that exists already.

    Text that a caller hands back has no token boundaries, so the prefix is one text and a count.
    """

    offset: int = 0
    """Number of tokens in the text."""

    text: str = ""
    """The text of these tokens."""

    @classmethod
    def from_pieces(cls, pieces: Sequence[str]) -> StoredPrefix:
        """Builds the prefix from a copy of the answer.

        Args:
            pieces: One text for each token.

        Returns:
            The prefix.
        """
        return cls(len(pieces), "".join(pieces))

    def to_pieces(self) -> tuple[str, ...]:
        """Gives the prefix the form of a copy when its token boundaries are unknown.

        Returns:
            One text for each token: the whole text first, then empty ones. An event id inside
            the prefix does not verify against such a copy, which ends in `answer_diverged`.
        """
        if self.offset == 0:
            return ()
        return (self.text, *("",) * (self.offset - 1))
