"""Load that one instance has seen."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sapphireledge.core.shared_load.service_load import ServiceLoad

__all__ = ["LoadDigest"]


@dataclass(frozen=True, slots=True)
class LoadDigest:
    """Load that one instance has seen."""

    instance: str
    """Name of the instance."""

    incarnation: int
    """Random number of the process, which tells a restarted instance from the one before."""

    sequence: int
    """Number of the digest within the incarnation."""

    services: Mapping[str, ServiceLoad] = field(default_factory=dict)
    """Load by service."""
