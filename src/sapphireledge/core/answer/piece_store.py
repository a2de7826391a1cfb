"""Compact list of token texts."""

from __future__ import annotations

from array import array
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

__all__ = ["PieceStore"]


class PieceStore:
    """Compact list of the texts of tokens.

    A byte buffer with an array of end positions adds 4 bytes to the text of each token. A list of
    strings adds more than 50, which matters with hundreds of long answers in memory.
    """

    __slots__ = ("_data", "_ends")

    def __init__(self, pieces: Iterable[str] = ()) -> None:
        self._data = bytearray()
        self._ends = array("I")
        self.extend(pieces)

    def __len__(self) -> int:
        return len(self._ends)

    @property
    def size(self) -> int:
        """Memory used in bytes."""
        return len(self._data) + self._ends.itemsize * len(self._ends)

    @staticmethod
    def size_of(pieces: Sequence[str]) -> int:
        """Computes an upper bound of the memory that pieces would use.

        Args:
            pieces: Text of each token.

        Returns:
            Upper bound in bytes: 4 for each character and 4 for the end position of each token.
        """
        return 4 * (len("".join(pieces)) + len(pieces))

    def append(self, piece: str) -> None:
        """Appends the text of one token.

        Args:
            piece: The text.
        """
        self._data += piece.encode("utf-8", "surrogatepass")
        self._ends.append(len(self._data))

    def extend(self, pieces: Iterable[str]) -> None:
        """Appends the texts of several tokens.

        Args:
            pieces: Text of each token.
        """
        for piece in pieces:
            self.append(piece)

    def slice(self, start: int, stop: int | None = None) -> tuple[str, ...]:
        """Reads the texts of a range of tokens.

        Args:
            start: Offset of the first token.
            stop: Offset after the last token; None for the end.

        Returns:
            Text of each token in the range.
        """
        ends = self._ends[start:stop]
        if not ends:
            return ()
        begin = self._ends[start - 1] if start else 0
        pieces = []
        for end in ends:
            pieces.append(self._data[begin:end].decode("utf-8", "surrogatepass"))
            begin = end
        return tuple(pieces)
