"""Rendezvous hashing."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["rank_by_rendezvous"]


def rank_by_rendezvous(key: str, names: Iterable[str]) -> tuple[str, ...]:
    """Ranks names for a key; a name that joins or leaves does not change the order of the others.

    Args:
        key: What the names are ranked for.
        names: The names, in any order.

    Returns:
        The names, the first choice first.
    """
    return tuple(sorted(names, key=lambda name: (_score(key, name), name), reverse=True))


def _score(key: str, name: str) -> int:
    """Hashes the pair; the length keeps different pairs from having the same text."""
    return xxhash.xxh3_64_intdigest(f"{len(key)}:{key}{name}".encode())
