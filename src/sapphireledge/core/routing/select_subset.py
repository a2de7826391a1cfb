"""Selection of the subset of backend servers that an instance uses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["select_subset"]

MIN_ENTRIES = 2
"""Minimum number of instances that use each backend server, even if subsets then exceed `size`.

With fewer, the failure of one instance would leave backend servers idle until the lists are
updated.
"""


def select_subset(
    entry_id: str,
    entries: Sequence[str],
    backends: Sequence[str],
    size: int,
    min_entries: int = MIN_ENTRIES,
) -> tuple[str, ...]:
    """Selects the backend servers that an instance uses.

    Each backend server ranks the instances by rendezvous hashing and is used by the first m of
    them, where m is such that each instance uses `size` backend servers on average. So each backend
    server is used by the same number of instances (within one), and adding or removing an instance
    changes only the selections in which it ranks among the first m.

    Rejected alternative: each instance uses its `size` highest-ranked backend servers. That needs
    no list of instances, but the number of instances per backend server then varies as in a random
    draw, and some backend servers are used by none.

    Args:
        entry_id: Name of the instance.
        entries: Names of the live instances; `entry_id` is added if it is missing.
        backends: Names of the backend servers.
        size: Target number of backend servers per instance, on average.
        min_entries: Minimum number of instances that use each backend server.

    Returns:
        Names of the selected backend servers in the order of `backends`; all of them if there are
        at most `size`.
    """
    if len(backends) <= size:
        return tuple(backends)
    other_seeds = [_hash_entry(name) for name in entries if name != entry_id]
    count = len(other_seeds) + 1
    own_seed = _hash_entry(entry_id)
    wanted = max(min_entries, size * count / len(backends))
    min_users = int(wanted)
    # A hash decides which backend servers round m up, so that m changes for only a few at a time.
    extra_threshold = int((wanted - min_users) * 2**64)
    selected: list[str] = []
    for backend in backends:
        data = backend.encode()
        remaining = min_users + (xxh3_64_intdigest(data) < extra_threshold)
        if remaining <= 0:
            continue
        weight = xxh3_64_intdigest(data, seed=own_seed)
        for seed in other_seeds:
            if xxh3_64_intdigest(data, seed=seed) > weight:
                remaining -= 1
                if remaining <= 0:
                    break
        else:
            selected.append(backend)
    return tuple(selected)


def _hash_entry(entry: str) -> int:
    """Hashes the name of an instance, as the seed of its hash with each backend server."""
    return xxh3_64_intdigest(entry.encode())
