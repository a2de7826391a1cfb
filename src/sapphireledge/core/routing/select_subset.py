"""Part of the backend servers that one instance uses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["select_subset"]

MIN_ENTRIES = 2
"""Instances that use each backend server at least, even where that exceeds the wanted size.

With fewer, the failure of one instance leaves backend servers idle until the lists are renewed.
"""


def select_subset(
    entry_id: str,
    entries: Sequence[str],
    backends: Sequence[str],
    size: int,
    min_entries: int = MIN_ENTRIES,
) -> tuple[str, ...]:
    """Selects the backend servers that an instance uses.

    Each backend server ranks the instances by rendezvous hash and is used by the first m of them,
    where m gives each instance `size` backend servers on average. So every backend server is used
    by the same number of instances (within one), and an instance that comes or goes moves only the
    selections in which it ranks among the first.

    Rejected: each instance takes its own `size` highest backend servers. It needs no list of
    instances, but the number of instances per backend server spreads like a random draw, and some
    backend servers are used by none.

    Args:
        entry_id: Name of the instance.
        entries: Names of the live instances; `entry_id` is added if it is missing.
        backends: Names of the backend servers.
        size: Wanted number of backend servers on average.
        min_entries: Instances that use each backend server at least.

    Returns:
        Selected names in the order of `backends`; all of them if there are at most `size`.
    """
    if len(backends) <= size:
        return tuple(backends)
    others = [_hash_entry(name) for name in entries if name != entry_id]
    count = len(others) + 1
    own = _hash_entry(entry_id)
    wanted = max(min_entries, size * count / len(backends))
    min_users = int(wanted)
    # The fraction is decided by a hash, so that m changes for few backend servers at a time.
    extra_threshold = int((wanted - min_users) * 2**64)
    selected: list[str] = []
    for backend in backends:
        data = backend.encode()
        remaining = min_users + (xxh3_64_intdigest(data) < extra_threshold)
        if remaining <= 0:
            continue
        weight = xxh3_64_intdigest(data, seed=own)
        for other in others:
            if xxh3_64_intdigest(data, seed=other) > weight:
                remaining -= 1
                if remaining <= 0:
                    break
        else:
            selected.append(backend)
    return tuple(selected)


def _hash_entry(entry: str) -> int:
    """Hashes the name of an instance once, to seed its hash with each backend server."""
    return xxh3_64_intdigest(entry.encode())
