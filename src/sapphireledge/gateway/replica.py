"""Copy of the memory of a generation, from which it can go on."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.gateway.backend_server import BackendServer

__all__ = ["Replica"]


@dataclass(frozen=True, slots=True)
class Replica:
    """Copy of the memory of a generation, from which it can go on."""

    holder: BackendServer
    """Engine that holds the copy."""

    source: BackendServer | None = None
    """Engine that made the copy on request, None if it was sent continuously."""

    handle: str = ""
    """Id that the source gave the copy, empty if it was sent continuously."""
