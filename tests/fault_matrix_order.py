"""Cells of the life of an order, over the controllers and engines of the fleet test."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace
from typing import TYPE_CHECKING

from fault_matrix_cells import Fault
from memory_store import MemoryStore, StoreFault
from test_fleet import CFG, SimulatedDataCentre, SimulatedEngine, SimulatedSender

from sapphireledge.core.fleet import Order, OrderAction, OrderOutcome, OrderReply

if TYPE_CHECKING:
    from fault_matrix_cells import Cell

HEAL_AFTER = 30.0
"""Seconds of a fault that ends by itself; longer than a lease, its wait and an order."""
SETTLE = 150.0
STORE_FAULTS = {
    Fault.PLATFORM_OUTAGE: StoreFault.REFUSED,
    Fault.PLATFORM_PARTITION: StoreFault.REFUSED,
    Fault.PLATFORM_SLOW: StoreFault.LATE,
    Fault.WRITE_ANSWER_LOST: StoreFault.LOST_ANSWER,
}
PAUSES = (Fault.ENTRY_PAUSES, Fault.LEASE_LAPSES)
PAUSE = CFG.lease + CFG.order_timeout + 1.0


class PromptStore(MemoryStore):
    """Answers without a turn of the event loop; the controllers of a cell move one by one."""

    async def _turn(self):
        return


class MatrixCentre(SimulatedDataCentre):
    """Engines and two controllers, with the steps of an order as hooks."""

    def __init__(self, cell: Cell, checks: bool):
        self.cell = cell
        self.struck = self.healed = False
        self.struck_at = 0.0
        self.applied = 0
        self.stopped: set[int] = set()
        self.held_orders: list[tuple[SimulatedEngine, Order, int]] = []
        self.effective: dict[str, list[int]] = {}
        self.stores: list[MemoryStore] = []
        super().__init__(random.Random(0), checks)
        self.deployments = [replace(self.deployments[0], engines=2)]

    def controller(self, name):
        index = int(name[-1])
        # The own stores share one table; a partition cuts off the one of entry 0.
        shared = PromptStore(self.store.table, lambda op, key: self.store_fault(index, op))
        self.stores.append(shared)
        whole, self.store = self.store, shared
        made = super().controller(name)
        self.store = whole
        made._sender = MatrixSender(self, name)
        return made

    def store_fault(self, index: int, operation: str) -> StoreFault:
        if operation == "put":
            self.reach("lease being taken" if index == 0 else "lease passing on")
        for fault in self.active:
            if fault is Fault.PLATFORM_PARTITION and index:
                continue
            found = STORE_FAULTS.get(fault, StoreFault.NONE)
            if found is StoreFault.REFUSED or operation == "put":
                return found
        return StoreFault.NONE

    def snapshot(self):
        found = super().snapshot()
        if self.controllers and self.controllers[0].lease.is_held(self.now):
            self.reach("order planned")
            if self.applied:
                self.reach("state checked")
        if {Fault.FLOOD_LEAST, Fault.FLOOD_MOST} & self.active:
            found = replace(found, demand={"d": 100.0})
        return found

    @property
    def active(self) -> frozenset[Fault]:
        ongoing = self.struck and not self.healed
        return frozenset(self.cell.faults) if ongoing else frozenset()

    def reach(self, step: str) -> None:
        if step == self.cell.step and not self.struck:
            self.struck, self.struck_at = True, self.now
            for fault in self.cell.faults:
                self.strike(fault)

    def strike(self, fault: Fault) -> None:
        match fault:
            case Fault.ENGINE_DIES:
                self.restart("e0")
            case Fault.REQUEST_CRASHES:
                for name in ("e0", "e1", "e2"):
                    self.restart(name)
            case Fault.ENTRY_DIES:
                self.stopped.add(0)
            case Fault.OPERATORS_RACE:
                self.deployments[0] = replace(self.deployments[0], version="2")
                self.deployments[0] = replace(self.deployments[0], version="1")
                self.engines["e0"].models.clear()
            case Fault.ENTRY_PAUSES | Fault.LEASE_LAPSES:
                self.stopped.add(0)

    def restart(self, name: str) -> None:
        engine = self.engines[name]
        fresh = SimulatedEngine(name, engine.checks)
        engine.__dict__.update(fresh.__dict__)

    def execute(self, engine: SimulatedEngine, order: Order, number: int) -> OrderReply:
        reply = engine.execute(self.now, order, number, self.rng.choice([1, 8, 25]))
        if reply.outcome is not OrderOutcome.FENCED:
            self.effective.setdefault(engine.name, []).append(number)
            self.applied += 1
        return reply

    async def live(self) -> None:
        """Runs until the step, through the fault, and until the system has settled."""
        while not self.struck and self.now < SETTLE:
            # The lease passes on when entry 0 stops to renew it.
            passing = self.cell.step == "lease passing on" and self.now > SETTLE / 3
            await self.move([1] if passing else [0] if self.now < SETTLE / 3 else [0, 1])
            if self.controllers[0].lease.is_held(self.now):
                self.reach("held")
        assert self.struck, "the step was not reached"
        while self.now < self.struck_at + HEAL_AFTER:
            await self.move([0, 1])
        await self.heal()
        end = self.now + SETTLE
        while self.now < end:
            await self.move([0, 1])
        self.check()

    async def move(self, indexes: list[int]) -> None:
        self.now += 1.0
        for index in indexes:
            if index not in self.stopped:
                await self.controllers[index].update_lease()
                self.check_holder()
                if index not in self.stopped:
                    await self.controllers[index].reconcile()
                    self.check_holder()

    async def heal(self) -> None:
        self.healed = True
        for store in self.stores:
            store.apply_late_writes()
        if Fault.ENTRY_DIES in self.cell.faults:
            self.controllers[0] = self.controller("entry-0")
        elif self.stopped:
            # A paused holder first acts on what it knew, before it reads the lease.
            await self.controllers[0].reconcile()
        self.stopped.clear()
        for engine, order, number in reversed(self.held_orders):
            self.execute(engine, order, number)
        del self.held_orders[:]
        self.check_holder()

    def check_holder(self) -> None:
        held = [c for c in self.controllers if c.lease.is_held(self.now)]
        assert len(held) <= 1, "two holders"

    def check(self) -> None:
        assert self.matches_declaration(), "the declared state is not restored"
        if self.deployments[0].checks_fencing:
            for numbers in self.effective.values():
                assert numbers == sorted(numbers), "an order of an earlier holder took effect"


class MatrixSender(SimulatedSender):
    """Carries orders through the faults."""

    async def send(self, order, number):
        centre = self.centre
        engine = centre.engines[order.engine]
        centre.sent.append((centre.now, self.holder, number, order))
        centre.check_holder()
        held = [c for c in centre.controllers if c.lease.is_held(centre.now)]
        assert [c.lease.fencing_number for c in held] == [number], "order without the lease"
        centre.reach("order sent")
        active = centre.active
        if centre.cell.step == "order sent" and set(PAUSES) & active:
            # The order left before the pause and arrives when another entry has the lease.
            centre.held_orders.append((engine, order, number))
            return OrderReply(OrderOutcome.NO_ANSWER)
        if {Fault.LATE, Fault.ENGINE_PAUSES, Fault.CROSSED} & active:
            centre.held_orders.append((engine, order, number))
            return OrderReply(OrderOutcome.NO_ANSWER)
        if Fault.SILENT_CONNECTION in active:
            return OrderReply(OrderOutcome.NO_ANSWER)
        reply = centre.execute(engine, order, number)
        if Fault.DUPLICATE in active:
            reply = centre.execute(engine, order, number)
        centre.reach("engine applied it")
        if Fault.ENTRY_DIES in centre.active or Fault.WRITE_ANSWER_LOST in centre.active:
            return OrderReply(OrderOutcome.NO_ANSWER)
        return reply


class OrderCell:
    """The same faults with engines that check the fencing number and that ignore it."""

    def __init__(self, cell: Cell):
        self.cell = cell

    def run(self) -> None:
        for checks in (True, False):
            centre = MatrixCentre(self.cell, checks)
            asyncio.run(centre.live())
            self.late_order(centre)

    def late_order(self, centre: MatrixCentre) -> None:
        """An order of an earlier holder that arrives at last is refused, or undone."""
        name = next(e.name for e in centre.engines.values() if e.models)
        late = Order(name, OrderAction.UNLOAD_MODEL, "m", "1")
        reply = centre.execute(centre.engines[name], late, 0)
        checks = centre.deployments[0].checks_fencing
        assert (reply.outcome is OrderOutcome.FENCED) is checks, "a late order took effect"
        asyncio.run(self.settle(centre))
        centre.check()

    async def settle(self, centre: MatrixCentre) -> None:
        end = centre.now + SETTLE
        while centre.now < end:
            await centre.move([0, 1])
