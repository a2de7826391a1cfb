"""Hashes of the prefixes of a prompt."""

from __future__ import annotations

from xxhash import xxh3_64_intdigest

__all__ = ["BLOCK_BYTES", "BLOCK_TOKENS", "MAX_BLOCKS", "hash_prefix"]

BLOCK_BYTES = 512
"""Length of one block of the prompt in bytes of UTF-8."""

BLOCK_TOKENS = 128
"""Approximate length of one block in tokens, at 4 bytes per token."""

MAX_BLOCKS = 64
"""Most blocks that are hashed; longer prompts share no more than that in practice."""


def hash_prefix(prompt: str | bytes) -> tuple[int, ...]:
    """Hashes the prefixes of a prompt at block boundaries.

    Each hash seeds the next one, so it identifies the whole prefix up to its block. A last block
    that is not full has no hash.

    Args:
        prompt: Text that the engine sees, or its UTF-8 form.

    Returns:
        XXH3 (64 bits) of each prefix, the shortest first.
    """
    data = prompt.encode() if isinstance(prompt, str) else prompt
    hashes: list[int] = []
    seed = 0
    for start in range(0, min(len(data), BLOCK_BYTES * MAX_BLOCKS) - BLOCK_BYTES + 1, BLOCK_BYTES):
        seed = xxh3_64_intdigest(data[start : start + BLOCK_BYTES], seed=seed)
        hashes.append(seed)
    return tuple(hashes)
