"""Reconciles the engines of one data centre with their declared deployments."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING
from uuid import uuid4

import structlog

from sapphireledge.core.fleet import (
    FleetPlan,
    FleetPlanner,
    LoadRateLimiter,
    OrderLease,
    OrderOutcome,
    OrderReply,
    lease_key,
)
from sapphireledge.errors import ErrorKind, Failure
from sapphireledge.telemetry import LogEvent

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from sapphireledge.core.fleet import Order
    from sapphireledge.fleet.fleet_snapshot import FleetSnapshot
    from sapphireledge.fleet.order_sender import OrderSender
    from sapphireledge.objects import ObjectStore
    from sapphireledge.settings import Settings

__all__ = ["FleetController"]

LEASE_CHECKS = 6
"""Reads of the lease object per lease term."""


class FleetController:
    """Acquires the lease of its data centre if it is free, and sends orders while it holds it."""

    def __init__(
        self,
        cfg: Settings,
        store: ObjectStore,
        sender: OrderSender,
        take_snapshot: Callable[[], FleetSnapshot],
        rng: Random,
        is_candidate: Callable[[], bool] = lambda: True,
        clock: Callable[[], float] = time.monotonic,
    ):
        self.lease = OrderLease(cfg.instance, cfg.fleet)
        """Lease that authorises sending orders in this data centre."""

        self.last_plan = FleetPlan()
        """Result of the last reconciliation."""

        self._cfg = cfg.fleet
        self._key = lease_key(cfg.data_centre)
        self._store = store
        self._sender = sender
        self._take_snapshot = take_snapshot
        self._rng = rng
        self._is_candidate = is_candidate
        self._clock = clock
        self._planner: FleetPlanner | None = None
        self._planner_fencing_number = 0
        self._lease_lock = asyncio.Lock()

    async def run(self) -> None:
        """Maintains the lease and reconciles until the task is cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_lease_loop())
            group.create_task(self._run_reconcile_loop())

    async def update_lease(self) -> None:
        """Reads the lease object and acquires or renews the lease if it is due.

        An instance that neither holds the lease nor is a candidate does not read the object.
        """
        async with self._lease_lock:
            if not self.lease.fencing_number and not self._is_candidate():
                return
            await self._read_lease()
            write = self.lease.next_write(self._clock(), uuid4().hex)
            if write is None:
                return
            result = await self._store.put(self._key, write.record.encode(), write.expect_version)
            if self.lease.on_written(self._clock(), write, result):
                await self._read_lease()

    async def reconcile(self) -> None:
        """Compares declared and reported state once and sends the orders that are needed."""
        now = self._clock()
        if not self.lease.is_held(now):
            self._planner = None
            return
        if self._planner is None or self._planner_fencing_number != self.lease.fencing_number:
            self._planner = FleetPlanner(self._cfg, LoadRateLimiter(now, self._cfg))
            self._planner_fencing_number = self.lease.fencing_number
        snapshot = self._take_snapshot()
        allowed = [
            entry
            for entry in snapshot.deployments
            if self.lease.may_send_order(now, entry.checks_fencing)
        ]
        self.last_plan = self._planner.plan(now, allowed, snapshot.engines, snapshot.demand)
        for order in self.last_plan.orders:
            await self._send_planned(self._planner, order)

    async def order(self, order: Order) -> OrderReply | Failure:
        """Sends an operator's order if this instance holds the lease.

        Args:
            order: Order to send.

        Returns:
            The engine's reply, a CONFLICT failure if another instance sends the orders or its
            orders may still arrive, or PLATFORM_UNAVAILABLE if the lease could not be renewed.
        """
        if not self.lease.may_send_order(self._clock(), order.checks_fencing):
            # The rest of the lease can be too short for an order shortly before a renewal.
            if self.lease.is_held(self._clock()):
                await self.update_lease()
            if not self.lease.may_send_order(self._clock(), order.checks_fencing):
                return self._refuse(order)
        return await self._send(order)

    def _refuse(self, order: Order) -> Failure:
        """Builds the failure of an order that the lease does not permit."""
        now = self._clock()
        if self.lease.is_held(now + self._cfg.order_timeout):
            reason = f"orders of the previous lease holder may still reach {order.engine}"
            return Failure(ErrorKind.CONFLICT, reason, retry_after=self._cfg.lease)
        if self.lease.is_held(now):
            reason = "the lease could not be renewed"
            retry_after = self._cfg.order_timeout
            return Failure(ErrorKind.PLATFORM_UNAVAILABLE, reason, retry_after=retry_after)
        holder = self.lease.current_holder or "no instance yet"
        reason = f"orders to {order.engine} are sent by {holder}"
        return Failure(ErrorKind.CONFLICT, reason, retry_after=self._cfg.lease)

    async def _send_planned(self, planner: FleetPlanner, order: Order) -> None:
        """Sends a planned order if the lease still permits it."""
        now = self._clock()
        if not self.lease.may_send_order(now, order.checks_fencing):
            return
        planner.on_sent(now, order)
        reply = await self._send(order)
        if reply.outcome in (OrderOutcome.REFUSED, OrderOutcome.FENCED):
            planner.on_rejected(order)

    async def _send(self, order: Order) -> OrderReply:
        """Sends one order with the configured timeout and logs the outcome."""
        fencing_number = self.lease.fencing_number
        event = LogEvent.ORDER_CORRECTED if order.is_correction else LogEvent.ORDER_SENT
        try:
            async with asyncio.timeout(self._cfg.order_timeout):
                reply = await self._sender.send(order, fencing_number)
        except TimeoutError:
            reply = OrderReply(
                OrderOutcome.NO_ANSWER, "the engine did not answer before the order timeout"
            )
        structlog.get_logger().info(
            event,
            engine=order.engine,
            action=order.action,
            fencing_number=fencing_number,
            outcome=reply.outcome,
        )
        if reply.outcome is OrderOutcome.FENCED:
            self.lease.on_fenced(fencing_number)
        return reply

    async def _read_lease(self) -> None:
        """Reads the lease object and passes the result to the lease."""
        stored = await self._store.get(self._key)
        self.lease.on_read(self._clock(), stored)

    async def _run_lease_loop(self) -> None:
        """Calls `update_lease` periodically, with jitter so that instances do not act in step."""
        while True:
            await self.update_lease()
            pause = self._cfg.lease / LEASE_CHECKS
            await asyncio.sleep(pause * self._rng.uniform(0.8, 1.2))

    async def _run_reconcile_loop(self) -> None:
        """Calls `reconcile` periodically."""
        while True:
            await self.reconcile()
            await asyncio.sleep(self._cfg.reconcile_interval)
