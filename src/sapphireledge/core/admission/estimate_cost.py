"""Estimated cost of a request in tokens."""

from __future__ import annotations

__all__ = ["estimate_cost"]


def estimate_cost(
    prompt_tokens: int, cached_tokens: float, expected_output: float, max_output: int | None
) -> tuple[int, int]:
    """Estimates the cost of a request in tokens.

    Args:
        prompt_tokens: Length of the prompt in tokens.
        cached_tokens: Prompt tokens that are expected in the cache of a backend server.
        expected_output: Mean output length of comparable requests in tokens.
        max_output: Output limit in tokens set by the caller, or None.

    Returns:
        Prompt tokens to compute and output tokens to generate.
    """
    prompt = max(0, round(prompt_tokens - cached_tokens))
    output = expected_output if max_output is None else min(expected_output, max_output)
    return prompt, max(1, round(output))
