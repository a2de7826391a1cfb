"""Reconciles the engines of one data centre with their declared deployments."""

from __future__ import annotations

from sapphireledge.fleet.fleet_controller import FleetController
from sapphireledge.fleet.fleet_snapshot import FleetSnapshot
from sapphireledge.fleet.order_sender import OrderSender

__all__ = ["FleetController", "FleetSnapshot", "OrderSender"]
