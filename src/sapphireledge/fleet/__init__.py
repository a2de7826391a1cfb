"""Reconciles the engines of one data centre with their declared deployments."""

from __future__ import annotations

from sapphireledge.fleet.fleet_controller import FleetController
from sapphireledge.fleet.fleet_view import FleetView
from sapphireledge.fleet.order_sender import OrderSender

__all__ = ["FleetController", "FleetView", "OrderSender"]
