"""Components of an entry instance that serve callers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.core.config import ConfigState
    from sapphireledge.entry.answer_context import AnswerContext
    from sapphireledge.entry.answer_locator import AnswerLocator
    from sapphireledge.entry.answer_registry import AnswerRegistry
    from sapphireledge.entry.lifecycle import Lifecycle
    from sapphireledge.entry.service_runner import ServiceRunner
    from sapphireledge.peers import PeerMesh
    from sapphireledge.settings import Settings

__all__ = ["EntryParts"]


@dataclass(frozen=True)
class EntryParts:
    """Components of an entry instance that serve callers."""

    cfg: Settings
    """Settings of the instance."""

    ctx: AnswerContext
    """Components that a generation uses."""

    config: ConfigState
    """Declarations in force."""

    registry: AnswerRegistry
    """Answers that this instance owns."""

    locator: AnswerLocator
    """Locates answers across the fleet."""

    services: ServiceRunner
    """Calls to plain services."""

    mesh: PeerMesh
    """Connections to the other entry instances."""

    lifecycle: Lifecycle
    """Lifecycle state of the process."""
