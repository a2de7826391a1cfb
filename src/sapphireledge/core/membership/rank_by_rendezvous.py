"""Ranking of names by rendezvous hashing."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["rank_by_rendezvous"]


def rank_by_rendezvous(key: str, names: Iterable[str]) -> tuple[str, ...]:
    """Ranks names for a key; adding or removing a name keeps the order of the others.

    Args:
        key: Key for which the names are ranked.
        names: The names, in any order.

    Returns:
        The names, in descending order of preference.
    """
    return tuple(sorted(names, key=lambda name: (_score(key, name), name), reverse=True))


def _score(key: str, name: str) -> int:
    """Hashes the pair; the length prefix keeps different pairs from encoding to the same text."""
    return xxhash.xxh3_64_intdigest(f"{len(key)}:{key}{name}".encode())
