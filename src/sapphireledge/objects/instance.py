"""One row of the platform's instance list."""

from __future__ import annotations

from enum import StrEnum

import msgspec

__all__ = ["Instance", "InstanceKind", "InstanceState"]


class InstanceKind(StrEnum):
    """Type of process that an instance runs."""

    ENGINE = "engine"
    """A model engine."""

    SERVICE = "service"
    """A plain HTTP service."""

    ENTRY = "entry"
    """An entry instance, which forwards requests to engines and services."""


class InstanceState(StrEnum):
    """Whether an instance is about to stop."""

    LIVE = "live"
    """The instance is running and accepts new work."""

    LEAVING = "leaving"
    """The instance is about to stop and is given no new work."""


class Instance(msgspec.Struct, frozen=True):
    """One row of the platform's instance list."""

    name: str
    """Name of the instance, unique in the fleet."""

    kind: InstanceKind
    """Type of process that the instance runs."""

    address: str
    """"IP:port" of the interface for its kind."""

    data_centre: str
    """Data centre of the instance."""

    region: str
    """Region of the data centre."""

    state: InstanceState = InstanceState.LIVE
    """Whether the instance is about to stop."""

    role: str = ""
    """Role of an engine, or name of a service."""
