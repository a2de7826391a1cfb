"""Death of an engine, as exchanged between peers."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["DeathNotice"]


@dataclass(frozen=True, slots=True)
class DeathNotice:
    """Death of one engine incarnation, with the requests that were in flight on it."""

    backend: str
    """Name of the backend server."""

    boot_id: str
    """Boot id of the incarnation that died."""

    time_unix: float
    """Time of detection in Unix seconds."""

    suspects: tuple[str, ...]
    """Fingerprints of the requests in flight, isolated ones included."""

    isolated: tuple[str, ...] = ()
    """Those of the `suspects` that ran isolated."""

    begun: tuple[tuple[str, tuple[str, ...]], ...] = ()
    """Those of the `suspects` that the engine had just begun to answer, each with the parts of its
    prompt that other requests can share."""

    service: str = ""
    """Service of the backend server."""

    load: float = 0.0
    """Share of time in which any server of the service ran a request that has a scope."""

    scopes: tuple[tuple[str, tuple[str, ...]], ...] = ()
    """Scopes of the requests in `begun` that have one, each with the fingerprints."""

    presence: tuple[tuple[str, float], ...] = ()
    """Share of time in which any server of the service ran a request of each of the `scopes`."""

    servers: int = 0
    """Servers of the service that were not known to have died before; 0 if unknown."""
