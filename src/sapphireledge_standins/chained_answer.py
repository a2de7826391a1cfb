"""Answers whose tokens form a hash chain, so that a check finds any wrong token.

A token has the form `<offset>:<nonce>:<hash>` and ends in a separator: a space, or a full stop for
the last token. The nonce identifies the generation. The hash covers all answer text before the
token, or the prompt for token 0. A missing, repeated or replaced token therefore contradicts the
hash of a later one.
"""

from __future__ import annotations

import re

import xxhash

from sapphireledge_standins.chain_report import ChainReport

__all__ = ["TokenChain", "check_chained_answer"]

TOKEN_PATTERN = re.compile(r"(0|[1-9][0-9]*):([0-9a-z-]+):([0-9a-f]{8})([ .])")
"""Matches one token: offset, nonce, hash and separator."""

HASH_MASK = 0xFFFFFFFF
"""Selects the lower 32 bits of xxhash64, enough to detect any fault in practice."""


class TokenChain:
    """Generates the tokens of one answer."""

    __slots__ = ("_hash", "_nonce", "_prompt", "offset")

    def __init__(self, nonce: str, prompt: str, offset: int = 0, text: str = "") -> None:
        """Starts or continues an answer.

        Args:
            nonce: Identifier of this generation; characters 0-9, a-z and "-".
            prompt: Prompt text.
            offset: Number of tokens already generated.
            text: Text of those tokens.
        """
        self.offset = offset
        """Offset of the next token."""

        self._nonce = nonce
        self._prompt = prompt
        self._hash = xxhash.xxh64(text.encode("utf-8", "replace"))

    def next_token(self, last: bool) -> str:
        """Generates the next token.

        Args:
            last: Whether the token ends the answer.

        Returns:
            Text of the token, including its separator.
        """
        digest = self._hash.intdigest() if self.offset else _prompt_hash(self._prompt)
        end = "." if last else " "
        token = f"{self.offset}:{self._nonce}:{digest & HASH_MASK:08x}{end}"
        self._hash.update(token.encode())
        self.offset += 1
        return token


def check_chained_answer(text: str, prompt: str | None = None) -> ChainReport:
    """Checks that no token is missing, repeated or from another generation.

    Args:
        text: Answer text as the caller received it, from token 0.
        prompt: Prompt text; if given, the check also detects an answer to another prompt.

    Returns:
        Result of the check; an answer truncated between two tokens is intact but not ended.
    """
    hasher = xxhash.xxh64()
    nonces: list[str] = []
    count = position = 0
    ended = False

    def report_problem(problem: str) -> ChainReport:
        return ChainReport(count, ended, tuple(nonces), problem, position)

    while position < len(text):
        match = TOKEN_PATTERN.match(text, position)
        if match is None:
            return report_problem("malformed or incomplete token")
        if ended:
            return report_problem("text after the last token")
        offset, nonce, found_hash, end = match.groups()
        if int(offset) != count:
            return report_problem(f"token {offset} instead of token {count}")
        expected = hasher.intdigest()
        if count == 0:
            expected = int(found_hash, 16) if prompt is None else _prompt_hash(prompt)
        if int(found_hash, 16) != expected & HASH_MASK:
            return report_problem(
                "hash does not match the preceding text" if count else "answer to another prompt"
            )
        if not nonces or nonces[-1] != nonce:
            nonces.append(nonce)
        hasher.update(match.group().encode())
        position = match.end()
        count += 1
        ended = end == "."
    return ChainReport(count, ended, tuple(nonces))


def _prompt_hash(prompt: str) -> int:
    """Computes the hash that token 0 contains."""
    return xxhash.xxh64_intdigest(prompt.encode("utf-8", "replace"))
