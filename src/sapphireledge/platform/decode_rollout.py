"""Decodes the operator's orders to roll out a version, and their statuses."""

from __future__ import annotations

import math
from typing import Any

import msgspec
import structlog

from sapphireledge.core.rollout import RolloutOrder, RolloutState
from sapphireledge.gateway import GatewayEvent, StoredOrder
from sapphireledge.platform.decode_server import decode_version

__all__ = ["ROLLOUT_KIND", "decode_rollout", "encode_status"]

ROLLOUT_KIND = "rollouts"
"""Kind of the orders; each is named like its service."""


class _Order(msgspec.Struct):
    """An order; `target` is a version, `duration_s` the time in which to move there."""

    service: str
    target: Any
    duration_s: float


class _Status(msgspec.Struct):
    """Status of an order; one with another target or `order` belongs to an earlier one.

    The store keeps the status when the operator changes the order. Without `order`, as other
    writers and earlier releases leave it, the target alone tells.
    """

    state: str
    target: Any
    order: Any = None


def decode_rollout(
    name: str, spec: object, status: object, revision: int, created: int
) -> StoredOrder:
    """Decodes an order.

    Args:
        name: Name of the object.
        spec: Decoded JSON value of the order.
        status: Decoded JSON value of the status, None without one.
        revision: Revision of the object.
        created: Number that the store gave the object when it was created.

    Returns:
        The order; a status that cannot be decoded counts as none.

    Raises:
        msgspec.ValidationError: A field is missing or has another type.
        ValueError: The order is for another service than its name says, or has no version or time.
    """
    entry = msgspec.convert(spec, _Order)
    target = decode_version(entry.target)
    if entry.service != name:
        raise ValueError(f"the order {name} is for the service {entry.service}")
    if not target:
        raise ValueError(f"{entry.target!r} is no version")
    if not (math.isfinite(entry.duration_s) and entry.duration_s > 0.0):
        raise ValueError(f"{entry.duration_s} s is no time in which to move")
    order_id = f"{created}/{target}/{entry.duration_s:g}"
    order = RolloutOrder(name, target, entry.duration_s, order_id)
    state, is_of_order = _decode_state(name, status, order)
    if is_of_order:
        return StoredOrder(order, state, revision)
    return StoredOrder(order, None, revision, state is RolloutState.COMPLETED)


def encode_status(order: RolloutOrder, state: RolloutState) -> Any:
    """Encodes the status of an order.

    Args:
        order: The order.
        state: Its state.

    Returns:
        A value that JSON can encode.
    """
    return {"state": state.value, "target": order.target, "order": order.order_id}


def _decode_state(
    name: str, status: object, order: RolloutOrder
) -> tuple[RolloutState | None, bool]:
    """Decodes the state in a status, and whether it is of this order or an earlier one for the
    same target; the state is None if the status is missing, odd or for another target."""
    if status is None:
        return None, False
    try:
        stored = msgspec.convert(status, _Status)
        state = RolloutState(stored.state)
    except (msgspec.ValidationError, ValueError, RecursionError) as exc:
        structlog.get_logger().warning(
            GatewayEvent.ROLLOUT_UNREADABLE, service=name, part="status", reason=str(exc)
        )
        return None, False
    if decode_version(stored.target) != order.target:
        return None, False
    return state, stored.order in (None, order.order_id)
