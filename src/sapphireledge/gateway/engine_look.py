"""Load reports of a few engines, fetched at the same time."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.engine_load import EngineLoad

__all__ = ["EngineLook"]


@dataclass(frozen=True, slots=True)
class EngineLook:
    """Load reports of a few engines, fetched at the same time.

    One look serves all streams that wait at this instance.
    """

    candidates: Sequence[BackendServer]
    """The engines, in order of preference."""

    reports: Mapping[str, EngineLoad]
    """Reports that arrived in time, by server id."""
