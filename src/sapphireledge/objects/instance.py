"""One row of the platform's instance list."""

from __future__ import annotations

from enum import StrEnum

import msgspec

__all__ = ["Instance", "InstanceKind", "InstanceState"]


class InstanceKind(StrEnum):
    """What runs on an instance."""

    ENGINE = "engine"
    """A model engine."""

    SERVICE = "service"
    """A plain service."""

    ENTRY = "entry"
    """An entry instance."""


class InstanceState(StrEnum):
    """Whether an instance is about to stop."""

    LIVE = "live"
    """It runs."""

    LEAVING = "leaving"
    """It is about to stop and gets no new work."""


class Instance(msgspec.Struct, frozen=True):
    """One row of the platform's instance list."""

    name: str
    """Name, unique in the fleet."""

    kind: InstanceKind
    """What runs on it."""

    address: str
    """"IP:port" of the interface that serves its kind."""

    data_centre: str
    """Data centre of the instance."""

    region: str
    """Region of the data centre."""

    state: InstanceState = InstanceState.LIVE
    """Whether it is about to stop."""

    role: str = ""
    """Role of an engine, or name of the service."""
