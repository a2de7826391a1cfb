"""Decoding of what a backend server asks of its callers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sapphireledge.core.backpressure import ServerSignals

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["decode_signals"]

RATE_LIMIT = "x-request-limit"
"""Header with the requests per second that the server takes from all instances together."""

REJECTION_STATUSES = frozenset({429, 503})
"""Statuses with which a server can ask for a pause."""

LEAVING = "x-leaving"
"""Header set to 1 by a server that shuts down."""


def decode_signals(status: int, headers: Mapping[str, str]) -> ServerSignals:
    """Decodes the signals of a response.

    Args:
        status: HTTP status; only a rejection asks for a pause.
        headers: Header fields with lower-case names.

    Returns:
        The signals; a value that is not a number is ignored.
    """
    is_rejection = status in REJECTION_STATUSES
    return ServerSignals(
        pause=_parse_decimal(headers.get("retry-after", "")) if is_rejection else None,
        rate_limit=_parse_decimal(headers.get(RATE_LIMIT, "")),
        is_leaving=headers.get(LEAVING, "").strip() == "1",
    )


def _parse_decimal(text: str) -> float | None:
    """Parses a non-negative decimal number; returns None for anything else."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0.0 else None
