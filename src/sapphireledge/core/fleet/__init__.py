"""Orders to engines."""

from __future__ import annotations

from sapphireledge.core.fleet.engine_state import EngineState, ModelVersion
from sapphireledge.core.fleet.fleet_planner import FleetPlan, FleetPlanner, choose_serving_version
from sapphireledge.core.fleet.lease_record import LEASE_PREFIX, LeaseRecord, lease_key
from sapphireledge.core.fleet.load_rate_limiter import LoadRateLimiter
from sapphireledge.core.fleet.order import Order, OrderAction, OrderOutcome, OrderReply
from sapphireledge.core.fleet.order_lease import LeaseWrite, OrderLease

__all__ = [
    "LEASE_PREFIX",
    "EngineState",
    "FleetPlan",
    "FleetPlanner",
    "LeaseRecord",
    "LeaseWrite",
    "LoadRateLimiter",
    "ModelVersion",
    "Order",
    "OrderAction",
    "OrderLease",
    "OrderOutcome",
    "OrderReply",
    "choose_serving_version",
    "lease_key",
]
