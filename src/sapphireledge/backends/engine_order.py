"""Orders that change the loaded models, adapters or role of an engine."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.core.fleet import OrderAction

__all__ = ["EngineOrder", "OrderResult", "OrderStatus"]


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """An idempotent order to an engine."""

    order_id: str
    """Id of the order; the same for each repetition."""

    kind: OrderAction
    """Action to perform."""

    fencing: int
    """Fencing number of the lease under which the order is sent."""

    model: str = ""
    """Name of the model; empty for an order that sets the role."""

    version: str = ""
    """Version of the model; empty for an order that sets the role."""

    adapter: str = ""
    """Adapter to load or unload; empty for other orders."""

    role: str = ""
    """Role to set; empty for other orders."""


class OrderStatus(StrEnum):
    """Outcome of an order to one engine."""

    DONE = "done"
    """The engine is in the ordered state."""

    OLD_FENCING = "old_fencing"
    """The engine has seen a higher fencing number; nothing changed."""

    REFUSED = "refused"
    """The engine refused the order or it was not sent; nothing changed."""

    UNKNOWN = "unknown"
    """The order was sent but got no usable response; it may still take effect later."""


@dataclass(frozen=True, slots=True)
class OrderResult:
    """Result of an order to one engine."""

    status: OrderStatus
    """Outcome of the order."""

    changed: bool = False
    """Whether the order changed the state of the engine."""

    highest_fencing: int = 0
    """Highest fencing number that the engine has seen, set for OLD_FENCING."""

    detail: str = ""
    """Short description for logs."""
