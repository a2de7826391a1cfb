"""Components of an instance that the operator interface uses."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.core.config import ChangeApplier
    from sapphireledge.core.quarantine import Quarantine
    from sapphireledge.entry.lifecycle import Lifecycle
    from sapphireledge.entry.suspect_exchange import SuspectExchange
    from sapphireledge.operator.declaration_reader import DeclarationReader
    from sapphireledge.operator.event_reader import EventReader
    from sapphireledge.operator.explainer import Explainer
    from sapphireledge.operator.order_dispatcher import OrderDispatcher
    from sapphireledge.operator.status_reporter import StatusReporter

__all__ = ["OperatorParts"]


@dataclass(frozen=True)
class OperatorParts:
    """Components of an instance that the operator interface uses."""

    secret: str
    """Shared secret that operators authenticate with."""

    applier: ChangeApplier
    """Validates and stores changes to declarations."""

    declarations: DeclarationReader
    """Reads stored declarations."""

    reporter: StatusReporter
    """Reports the state of the fleet."""

    events: EventReader
    """Collects the recorded events of requests."""

    quarantine: Quarantine
    """Tracks requests that crash engines."""

    suspects: SuspectExchange
    """Shares engine deaths and quarantine clearings with peers."""

    orders: OrderDispatcher
    """Sends operators' orders to engines."""

    lifecycle: Lifecycle
    """Lifecycle state of the instance; starts its drain."""

    explainer: Explainer
    """Answers where a request would go."""

    instance: str
    """Name of the instance."""
