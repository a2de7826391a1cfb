"""One entry of the instance list."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["BackendInstance"]


@dataclass(frozen=True, slots=True)
class BackendInstance:
    """A backend server as the platform's instance list shows it."""

    name: str
    """Name, unique in the fleet."""

    address: str
    """Address in the form IP:port."""

    data_centre: str
    """Data centre."""

    region: str
    """Region of the data centre."""

    role: str = "drafting"
    """Role of an engine; the name of the service for a plain service."""

    leaving: bool = False
    """Whether the list marks it as leaving."""

    reports_load: bool = True
    """Whether it reports load and models; plain services do not."""

    slots: int = 64
    """Concurrent calls of a backend server that reports no load."""
