"""Names of prompt prefixes in cache events."""

from __future__ import annotations

import xxhash

__all__ = ["BLOCK_BYTES", "BLOCK_TOKENS", "MAX_BLOCKS", "hash_prefixes"]

BLOCK_BYTES = 256
"""Bytes of prompt text in one block; docs/engine-protocol.md fixes it."""

BLOCK_TOKENS = 64
"""Approximate length of one block in tokens, at 4 bytes per token."""

MAX_BLOCKS = 512
"""Most blocks that are hashed; longer prompts share no more than that in practice."""


def hash_prefixes(prompt: str) -> tuple[int, ...]:
    """Hashes the prefixes of a prompt at block boundaries.

    Each hash seeds the next one, so it identifies the whole prefix up to its block. A last block
    that is not full has no hash.

    Args:
        prompt: Text that the engine sees.

    Returns:
        XXH64 of each prefix, the shortest first; the engine protocol writes it in hexadecimal.
    """
    data = prompt.encode("utf-8", "replace")
    hashes: list[int] = []
    seed = 0
    for start in range(0, min(len(data), BLOCK_BYTES * MAX_BLOCKS) - BLOCK_BYTES + 1, BLOCK_BYTES):
        seed = xxhash.xxh64_intdigest(data[start : start + BLOCK_BYTES], seed)
        hashes.append(seed)
    return tuple(hashes)
