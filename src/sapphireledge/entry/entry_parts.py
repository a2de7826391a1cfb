"""Parts of an entry instance that serve callers."""

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
    """Parts of an entry instance that serve callers."""

    cfg: Settings
    """Settings of the instance."""

    ctx: AnswerContext
    """Parts that a generation needs."""

    config: ConfigState
    """Declarations in force."""

    registry: AnswerRegistry
    """Answers that this instance owns."""

    locator: AnswerLocator
    """Finds answers in the fleet."""

    services: ServiceRunner
    """Calls to plain services."""

    mesh: PeerMesh
    """Links to other instances."""

    lifecycle: Lifecycle
    """State of the process."""
