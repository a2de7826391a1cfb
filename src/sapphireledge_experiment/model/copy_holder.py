"""Engine that holds copies of the KV cache of runs on other engines."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Hashable

__all__ = ["CopyHolder"]


class CopyHolder(Protocol):
    """Engine that holds copies of the KV cache of runs on other engines."""

    name: str
    """Server id, unique for the incarnation."""

    is_dead: bool
    """Whether the engine has ended."""

    def reserve_copy(self, run: Hashable, tokens: int) -> bool:
        """Takes memory for a copy, if there is any.

        Args:
            run: The run on another engine.
            tokens: Tokens whose KV cache is copied.

        Returns:
            Whether the copy is held.
        """

    def release_copy(self, run: Hashable) -> None:
        """Frees the memory of a copy.

        Args:
            run: The run on another engine.
        """
