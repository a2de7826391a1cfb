"""One order to an engine."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Order", "OrderAction", "OrderOutcome", "OrderReply"]


class OrderAction(StrEnum):
    """What an engine is told; each action sets a state and can be repeated."""

    LOAD_MODEL = "load_model"
    """Hold a model version."""

    UNLOAD_MODEL = "unload_model"
    """Do not hold a model version."""

    LOAD_ADAPTER = "load_adapter"
    """Hold an adapter."""

    UNLOAD_ADAPTER = "unload_adapter"
    """Do not hold an adapter."""

    SET_ROLE = "set_role"
    """Have a role."""


class OrderOutcome(StrEnum):
    """How an order ended."""

    DONE = "done"
    """The engine has accepted it."""

    UNCHANGED = "unchanged"
    """The engine was in that state already."""

    REFUSED = "refused"
    """The engine does not follow it."""

    FENCED = "fenced"
    """The engine has seen a newer fencing number."""

    NO_ANSWER = "no_answer"
    """The order may or may not have arrived."""


@dataclass(frozen=True, slots=True)
class Order:
    """One order to an engine."""

    engine: str
    """Name of the engine."""

    action: OrderAction
    """What it is told."""

    model: str = ""
    """Model name for loads and unloads of models."""

    version: str = ""
    """Model version for loads and unloads of models."""

    adapter: str = ""
    """Adapter for loads and unloads of adapters."""

    role: str = ""
    """Role for a change of role."""

    checks_fencing: bool = False
    """Whether the engine refuses an old fencing number."""

    is_correction: bool = False
    """Whether the engine was in the declared state before and has left it without an order."""


@dataclass(frozen=True, slots=True)
class OrderReply:
    """Answer to an order."""

    outcome: OrderOutcome
    """How it ended."""

    reason: str = ""
    """Reason of a refusal."""
