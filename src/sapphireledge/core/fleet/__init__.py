"""Orders to engines."""

from __future__ import annotations

from sapphireledge.core.fleet.engine_state import EngineState, ModelVersion
from sapphireledge.core.fleet.fleet_planner import FleetPlan, FleetPlanner, serving_version
from sapphireledge.core.fleet.lease_record import LEASE_PREFIX, LeaseRecord, lease_key
from sapphireledge.core.fleet.order import Order, OrderAction, OrderOutcome, OrderReply
from sapphireledge.core.fleet.order_lease import LeaseWrite, OrderLease
from sapphireledge.core.fleet.weight_budget import WeightBudget

__all__ = [
    "LEASE_PREFIX",
    "EngineState",
    "FleetPlan",
    "FleetPlanner",
    "LeaseRecord",
    "LeaseWrite",
    "ModelVersion",
    "Order",
    "OrderAction",
    "OrderLease",
    "OrderOutcome",
    "OrderReply",
    "WeightBudget",
    "lease_key",
    "serving_version",
]
