"""Settings of the store's client."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["StoreSettings"]


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Where the store is and the time its client waits."""

    host: str
    """IP address."""

    port: int
    """TCP port."""

    call_timeout: float = 0.8
    """Seconds for an answer beside the time that the store is asked to wait. The store answers in
    4 ms, fifty times slower on its slow days."""
