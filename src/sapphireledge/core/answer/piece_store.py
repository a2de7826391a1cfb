"""Compact list of the texts of tokens."""

from __future__ import annotations

from array import array
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

__all__ = ["PieceStore"]


class PieceStore:
    """Compact list of the texts of tokens.

    One buffer with end positions takes 4 bytes beside the text of a token; a list of strings
    takes more than 50, which matters for hundreds of long answers.
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
        """Bytes in use."""
        return len(self._data) + self._ends.itemsize * len(self._ends)

    @staticmethod
    def size_of(pieces: Sequence[str]) -> int:
        """Computes the bytes that pieces would use.

        Args:
            pieces: One text for each token.

        Returns:
            Bytes, at most; a character takes up to 4.
        """
        return 4 * (len("".join(pieces)) + len(pieces))

    def append(self, piece: str) -> None:
        """Adds the text of one token.

        Args:
            piece: The text.
        """
        self._data += piece.encode("utf-8", "surrogatepass")
        self._ends.append(len(self._data))

    def extend(self, pieces: Iterable[str]) -> None:
        """Adds the texts of tokens.

        Args:
            pieces: One text for each token.
        """
        for piece in pieces:
            self.append(piece)

    def slice(self, start: int, stop: int | None = None) -> tuple[str, ...]:
        """Reads texts.

        Args:
            start: Offset of the first token.
            stop: Offset after the last token; None reads to the end.

        Returns:
            One text for each token.
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
