"""Settings of the store's client."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["StoreSettings"]


@dataclass(frozen=True, slots=True)
class StoreSettings:
    """Where the store is and the times its client keeps, in seconds."""

    host: str
    """IP address."""

    port: int
    """TCP port."""

    call_limit: float = 0.8
    """Time for an answer beside the time that the store is asked to wait. The store answers in
    4 ms, fifty times slower on its slow days."""

    config_wait: float = 2.4
    """Time that the store holds a watch on the configuration. A watch that ends without events
    confirms the configuration, so this bounds its age; each call is charged."""

    registry_wait: float = 3.0
    """Time that the store holds a watch on the backend servers. With `call_limit` it stays below
    the 4 s after which rules hold again when a connection fell silent."""

    confirm_wait: float = 0.5
    """Time that the store holds the first watch after changes."""

    settle_time: float = 1.2
    """Pause after changes of backend servers, so that the next call collects several; each call
    is charged. Half of the 3 s within which a leaving server must receive no more work."""

    retry_base: float = 0.1
    """First pause after a failed call."""

    retry_cap: float = 0.6
    """Longest pause after failed calls; keys are trusted for 3.8 s without a confirmation."""

    regain_grace: float = 2.2
    """Time after the store's return in which missing entries of the registry stay in use; backend
    servers that lapsed meanwhile register again within about 2 s."""
