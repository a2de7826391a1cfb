"""Estimated cost of a request in tokens."""

from __future__ import annotations

__all__ = ["estimate_cost"]


def estimate_cost(
    prompt_tokens: int, cached_tokens: float, expected_output: float, max_output: int | None
) -> tuple[int, int]:
    """Estimates the cost of a request.

    Args:
        prompt_tokens: Length of the prompt in tokens.
        cached_tokens: Tokens of it that a backend server is expected to hold in its cache.
        expected_output: Mean output length of comparable requests in tokens.
        max_output: Limit set by the caller in tokens, or None.

    Returns:
        Prompt tokens to compute and output tokens to generate.
    """
    prompt = max(0, round(prompt_tokens - cached_tokens))
    output = expected_output if max_output is None else min(expected_output, max_output)
    return prompt, max(1, round(output))
