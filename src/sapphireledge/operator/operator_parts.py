"""Parts of an instance that operators act on."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.core.config import ChangeApplier
    from sapphireledge.core.quarantine import Quarantine
    from sapphireledge.entry.lifecycle import Lifecycle
    from sapphireledge.entry.suspect_exchange import SuspectExchange
    from sapphireledge.operator.declaration_reader import DeclarationReader
    from sapphireledge.operator.event_finder import EventFinder
    from sapphireledge.operator.order_giver import OrderGiver
    from sapphireledge.operator.status_reporter import StatusReporter

__all__ = ["OperatorParts"]


@dataclass(frozen=True)
class OperatorParts:
    """Parts of an instance that operators act on."""

    secret: str
    """Secret that operators present."""

    applier: ChangeApplier
    """Acceptance of changes."""

    declarations: DeclarationReader
    """Stored declarations."""

    reporter: StatusReporter
    """State of the fleet."""

    events: EventFinder
    """Recorded events of requests."""

    quarantine: Quarantine
    """Requests that crash engines."""

    suspects: SuspectExchange
    """Exchange of engine deaths and clearings."""

    orders: OrderGiver
    """Orders to engines."""

    lifecycle: Lifecycle
    """State of the process."""
