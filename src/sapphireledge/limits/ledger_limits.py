"""Limits of a group of connections."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CONNECTION_BYTES", "INCLUDED_BYTES", "SMALL_BYTES", "LedgerLimits"]

CONNECTION_BYTES = 24_576
"""Bytes that count for each connection: its objects, buffers and the first `INCLUDED_BYTES`."""

INCLUDED_BYTES = 8_192
"""Bytes of requests and answers that each connection may hold without counting them."""

SMALL_BYTES = 32_768
"""Further bytes of a connection that may take memory which large holdings leave free. The head of
an ordinary request and its body fit."""


@dataclass(frozen=True, slots=True)
class LedgerLimits:
    """What the connections of one group may hold together."""

    connections: int
    """Largest number of connections."""

    total_bytes: int
    """Largest sum of all holdings in bytes."""

    large_bytes: int
    """Largest sum in bytes of the parts of holdings above `SMALL_BYTES`; less than the total, so
    that a few large requests leave memory for many small ones."""

    stall_time: float
    """Seconds without progress after which a connection may be closed while memory is short."""

    least_progress: int
    """Bytes that count as progress."""
