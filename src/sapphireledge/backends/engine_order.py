"""Orders to engines."""

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
    """Id of the order; a repeated order keeps it."""

    kind: OrderAction
    """What the order sets."""

    fencing: int
    """Term of the lease under which the order is sent."""

    model: str = ""
    """Name of the model, unless the order sets the role."""

    version: str = ""
    """Version of the model."""

    adapter: str = ""
    """Adapter of an adapter order."""

    role: str = ""
    """Role of a role order."""


class OrderStatus(StrEnum):
    """How an order ended."""

    DONE = "done"
    """The state is as ordered."""

    OLD_FENCING = "old_fencing"
    """The engine knows a higher fencing number; nothing changed."""

    REFUSED = "refused"
    """The engine refused the order or it was not sent; nothing changed."""

    UNKNOWN = "unknown"
    """The order was sent and no usable answer came; it may take effect, even later."""


@dataclass(frozen=True, slots=True)
class OrderResult:
    """Result of an order."""

    status: OrderStatus
    """How the order ended."""

    changed: bool = False
    """Whether the state was different before."""

    highest_fencing: int = 0
    """Highest fencing number that the engine knows, on OLD_FENCING."""

    detail: str = ""
    """One sentence for logs."""
