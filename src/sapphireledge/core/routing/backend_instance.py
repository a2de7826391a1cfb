"""Backend server as listed by the platform."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["BackendInstance"]


@dataclass(frozen=True, slots=True)
class BackendInstance:
    """Entry of the platform's instance list for a backend server."""

    name: str
    """Name that is unique in the fleet."""

    address: str
    """Address in the form IP:port."""

    data_centre: str
    """Name of the data centre."""

    region: str
    """Name of the region of the data centre."""

    role: str = "drafting"
    """Role of an engine; the name of the service for a plain service."""

    leaving: bool = False
    """Whether the instance list marks it as leaving."""

    reports_load: bool = True
    """Whether it reports its load and models; plain services do not."""

    slots: int = 64
    """Maximum number of concurrent calls if it does not report its load."""
