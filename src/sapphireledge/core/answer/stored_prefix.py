"""Part of an answer that was generated before."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["StoredPrefix"]


@dataclass(frozen=True, slots=True)
class StoredPrefix:
    """Part of an answer that was generated before.

    Text that a caller sends back has no token boundaries, so the prefix consists of one text and a
    token count.
    """

    offset: int = 0
    """Number of tokens in the text."""

    text: str = ""
    """Concatenated text of the tokens."""

    @classmethod
    def from_pieces(cls, pieces: Sequence[str]) -> StoredPrefix:
        """Builds the prefix from the pieces of a copy.

        Args:
            pieces: Text of each token.

        Returns:
            The prefix.
        """
        return cls(len(pieces), "".join(pieces))

    def to_pieces(self) -> tuple[str, ...]:
        """Converts the prefix to pieces when its token boundaries are unknown.

        Returns:
            One piece for each token: the first holds the entire text, the others are empty. An
            event id inside the prefix cannot be verified against them; the result is
            `answer_diverged`.
        """
        if self.offset == 0:
            return ()
        return (self.text, *("",) * (self.offset - 1))
