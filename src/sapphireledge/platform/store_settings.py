"""Settings of the client of the store."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["DEFAULT_WRITE_RATE", "StoreSettings"]

DEFAULT_WRITE_RATE = 400.0
"""Writes a second that a store takes if its settings do not say."""


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Address of the store and timeout of its client."""

    host: str
    """IP address."""

    port: int
    """TCP port."""

    call_timeout: float = 0.8
    """Timeout in seconds of a call that is not held open. The store answers in 4 ms, or fifty times
    slower when it is degraded."""

    watch_slack: float = 0.3
    """Seconds after the end of a watch within which it is answered. It is repeated on a new
    connection then, so that a connection that has stalled is told from a store that is away."""

    writes_per_second: float = DEFAULT_WRITE_RATE
    """Writes that the store takes from all instances together."""
