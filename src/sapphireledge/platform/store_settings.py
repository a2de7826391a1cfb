"""Settings of the client of the store."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["StoreSettings"]


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Address of the store and timeout of its client."""

    host: str
    """IP address."""

    port: int
    """TCP port."""

    call_timeout: float = 0.8
    """Timeout in seconds, in addition to the time for which the store holds open a watch. The store
    answers in 4 ms, or fifty times slower when it is degraded."""
