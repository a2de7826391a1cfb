"""Constant-time comparison of shared secrets."""

from __future__ import annotations

import hmac

__all__ = ["secret_matches"]


def secret_matches(expected: str, given: str | None) -> bool:
    """Compares a presented secret with the expected one in constant time.

    Args:
        expected: Secret in the settings.
        given: Secret in the hello, None if missing.

    Returns:
        Whether both are equal.
    """
    return hmac.compare_digest(expected.encode(), (given or "").encode())
