"""Load that several instances have seen."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sapphireledge.core.shared_load.service_load import ServiceLoad

__all__ = ["MergedLoad"]


@dataclass(frozen=True, slots=True)
class MergedLoad:
    """Load that several instances have seen."""

    instances: int = 0
    """Number of instances."""

    age: float = 0.0
    """Mean age of their figures in seconds, by which the amounts have decayed."""

    services: Mapping[str, ServiceLoad] = field(default_factory=dict)
    """Load by service."""
