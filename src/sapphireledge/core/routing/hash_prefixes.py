"""Hashes that identify prompt prefixes in cache events."""

from __future__ import annotations

import xxhash

__all__ = ["BLOCK_BYTES", "BLOCK_TOKENS", "MAX_BLOCKS", "hash_prefixes"]

BLOCK_BYTES = 256
"""Number of bytes of prompt text in a block, as defined in docs/engine-protocol.md."""

BLOCK_TOKENS = 64
"""Approximate number of tokens in a block, at 4 bytes per token."""

MAX_BLOCKS = 512
"""Maximum number of hashed blocks; in practice, prompts do not share longer prefixes."""


def hash_prefixes(prompt: str) -> tuple[int, ...]:
    """Hashes the prefixes of a prompt at block boundaries.

    Each hash seeds the next one, so it identifies the entire prefix up to the end of its block. An
    incomplete last block is not hashed.

    Args:
        prompt: Prompt text as sent to the engine.

    Returns:
        XXH64 of each prefix, shortest first; encoded in hexadecimal in the engine protocol.
    """
    data = prompt.encode("utf-8", "replace")
    hashes: list[int] = []
    seed = 0
    for start in range(0, min(len(data), BLOCK_BYTES * MAX_BLOCKS) - BLOCK_BYTES + 1, BLOCK_BYTES):
        seed = xxhash.xxh64_intdigest(data[start : start + BLOCK_BYTES], seed)
        hashes.append(seed)
    return tuple(hashes)
