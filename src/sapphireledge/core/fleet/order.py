"""Orders to engines and their outcomes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Order", "OrderAction", "OrderOutcome", "OrderReply"]


class OrderAction(StrEnum):
    """Action of an order; each sets a target state and is idempotent."""

    LOAD_MODEL = "load_model"
    """Load a model version."""

    UNLOAD_MODEL = "unload_model"
    """Unload a model version."""

    LOAD_ADAPTER = "load_adapter"
    """Load an adapter."""

    UNLOAD_ADAPTER = "unload_adapter"
    """Unload an adapter."""

    SET_ROLE = "set_role"
    """Switch to a role."""


class OrderOutcome(StrEnum):
    """Outcome of sending an order."""

    DONE = "done"
    """The engine accepted the order."""

    UNCHANGED = "unchanged"
    """The engine was already in the target state."""

    REFUSED = "refused"
    """The engine rejected the order."""

    FENCED = "fenced"
    """The engine rejected the order because it has seen a newer fencing number."""

    NO_ANSWER = "no_answer"
    """The engine did not answer; the order may or may not have arrived."""


@dataclass(frozen=True, slots=True)
class Order:
    """An order to one engine."""

    engine: str
    """Name of the engine."""

    action: OrderAction
    """Action that the engine is to perform."""

    model: str = ""
    """Model name, for LOAD_MODEL and UNLOAD_MODEL."""

    version: str = ""
    """Model version, for LOAD_MODEL and UNLOAD_MODEL."""

    adapter: str = ""
    """Adapter name, for LOAD_ADAPTER and UNLOAD_ADAPTER."""

    role: str = ""
    """Target role, for SET_ROLE."""

    checks_fencing: bool = False
    """Whether the engine rejects orders with an old fencing number."""

    is_correction: bool = False
    """Whether the engine had reached the declared state and left it without an order."""


@dataclass(frozen=True, slots=True)
class OrderReply:
    """Reply to an order."""

    outcome: OrderOutcome
    """Outcome of the order."""

    reason: str = ""
    """Why the order was rejected or not answered; may be empty."""
