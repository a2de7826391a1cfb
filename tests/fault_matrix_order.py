"""Fault matrix cells of an order's life cycle, on the simulated data centre of test_fleet."""

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
"""Seconds after which faults are healed; longer than a lease, the wait for it and an order."""

SETTLE_TIME = 150.0
"""Seconds within which the step must be reached, and the declared state restored after healing."""

STORE_FAULTS = {
    Fault.PLATFORM_OUTAGE: StoreFault.REFUSED,
    Fault.PLATFORM_PARTITION: StoreFault.REFUSED,
    Fault.PLATFORM_SLOW: StoreFault.LATE,
    Fault.WRITE_ANSWER_LOST: StoreFault.LOST_ANSWER,
}
PAUSES = (Fault.ENTRY_PAUSES, Fault.LEASE_EXPIRES)
PAUSE = CFG.lease + CFG.order_timeout + 1.0


class ImmediateStore(MemoryStore):
    """Answers without yielding to the event loop, so that the controllers run one at a time."""

    async def _turn(self):
        return


class FaultyDataCentre(SimulatedDataCentre):
    """Engines and two controllers; injects the faults of a cell when its step is reached."""

    def __init__(self, cell: Cell, checks: bool):
        self.cell = cell
        self.injected = self.healed = False
        self.injected_at = 0.0
        self.applied = 0
        self.stopped_controllers: set[int] = set()
        self.held_orders: list[tuple[SimulatedEngine, Order, int]] = []
        self.effective_numbers: dict[str, list[int]] = {}
        self.stores: list[MemoryStore] = []
        super().__init__(random.Random(0), checks)
        self.deployments = [replace(self.deployments[0], engines=2)]

    def controller(self, name):
        index = int(name[-1])
        # Each controller has its own store on a shared table; a partition only affects entry 0.
        faulty_store = ImmediateStore(self.store.table, lambda op, key: self.store_fault(index, op))
        self.stores.append(faulty_store)
        original, self.store = self.store, faulty_store
        controller = super().controller(name)
        self.store = original
        controller._sender = FaultySender(self, name)
        return controller

    def store_fault(self, index: int, operation: str) -> StoreFault:
        if operation == "put":
            self.reach("lease being taken" if index == 0 else "lease changing holder")
        for fault in self.active:
            if fault is Fault.PLATFORM_PARTITION and index:
                continue
            result = STORE_FAULTS.get(fault, StoreFault.NONE)
            if result is StoreFault.REFUSED or operation == "put":
                return result
        return StoreFault.NONE

    def snapshot(self):
        result = super().snapshot()
        if self.controllers and self.controllers[0].lease.is_held(self.now):
            self.reach("order planned")
            if self.applied:
                self.reach("state checked")
        if {Fault.FLOOD_LEAST, Fault.FLOOD_MOST} & self.active:
            result = replace(result, demand={"d": 100.0})
        return result

    @property
    def active(self) -> frozenset[Fault]:
        ongoing = self.injected and not self.healed
        return frozenset(self.cell.faults) if ongoing else frozenset()

    def reach(self, step: str) -> None:
        if step == self.cell.step and not self.injected:
            self.injected, self.injected_at = True, self.now
            for fault in self.cell.faults:
                self.inject(fault)

    def inject(self, fault: Fault) -> None:
        match fault:
            case Fault.ENGINE_DIES:
                self.restart("e0")
            case Fault.REQUEST_CRASHES:
                for name in ("e0", "e1", "e2"):
                    self.restart(name)
            case Fault.ENTRY_DIES:
                self.stopped_controllers.add(0)
            case Fault.OPERATORS_RACE:
                self.deployments[0] = replace(self.deployments[0], version="2")
                self.deployments[0] = replace(self.deployments[0], version="1")
                self.engines["e0"].models.clear()
            case Fault.ENTRY_PAUSES | Fault.LEASE_EXPIRES:
                self.stopped_controllers.add(0)

    def restart(self, name: str) -> None:
        engine = self.engines[name]
        fresh = SimulatedEngine(name, engine.checks)
        engine.__dict__.update(fresh.__dict__)

    def execute(self, engine: SimulatedEngine, order: Order, number: int) -> OrderReply:
        reply = engine.execute(self.now, order, number, self.rng.choice([1, 8, 25]))
        if reply.outcome is not OrderOutcome.FENCED:
            self.effective_numbers.setdefault(engine.name, []).append(number)
            self.applied += 1
        return reply

    async def run_life_cycle(self) -> None:
        """Runs up to the step, through the faults and until the system has settled."""
        while not self.injected and self.now < SETTLE_TIME:
            # The lease passes to entry 1 when entry 0 stops renewing it.
            lease_changing_holder = (
                self.cell.step == "lease changing holder" and self.now > SETTLE_TIME / 3
            )
            await self.advance(
                [1] if lease_changing_holder else [0] if self.now < SETTLE_TIME / 3 else [0, 1]
            )
            if self.controllers[0].lease.is_held(self.now):
                self.reach("held")
        assert self.injected, "the step was not reached"
        while self.now < self.injected_at + HEAL_AFTER:
            await self.advance([0, 1])
        await self.heal()
        end = self.now + SETTLE_TIME
        while self.now < end:
            await self.advance([0, 1])
        self.check()

    async def advance(self, indexes: list[int]) -> None:
        self.now += 1.0
        for index in indexes:
            if index not in self.stopped_controllers:
                await self.controllers[index].update_lease()
                self.check_holder()
                if index not in self.stopped_controllers:
                    await self.controllers[index].reconcile()
                    self.check_holder()

    async def heal(self) -> None:
        self.healed = True
        for store in self.stores:
            store.apply_late_writes()
        if Fault.ENTRY_DIES in self.cell.faults:
            self.controllers[0] = self.controller("entry-0")
        elif self.stopped_controllers:
            # A resumed holder first acts on its stale state, before it reads the lease.
            await self.controllers[0].reconcile()
        self.stopped_controllers.clear()
        for engine, order, number in reversed(self.held_orders):
            self.execute(engine, order, number)
        del self.held_orders[:]
        self.check_holder()

    def check_holder(self) -> None:
        held = [c for c in self.controllers if c.lease.is_held(self.now)]
        assert len(held) <= 1, "two controllers hold the lease"

    def check(self) -> None:
        assert self.matches_declaration(), "the declared state was not restored"
        if self.deployments[0].checks_fencing:
            for numbers in self.effective_numbers.values():
                assert numbers == sorted(numbers), "an order of an earlier holder took effect"


class FaultySender(SimulatedSender):
    """Delivers orders subject to the active faults."""

    async def send(self, order, number):
        data_centre = self.centre
        engine = data_centre.engines[order.engine]
        data_centre.sent.append((data_centre.now, self.holder, number, order))
        data_centre.check_holder()
        held = [c for c in data_centre.controllers if c.lease.is_held(data_centre.now)]
        assert [c.lease.fencing_number for c in held] == [
            number
        ], "an order was sent without holding the lease"
        data_centre.reach("order sent")
        active = data_centre.active
        if data_centre.cell.step == "order sent" and set(PAUSES) & active:
            # The order was sent before the pause and arrives when another entry holds the lease.
            data_centre.held_orders.append((engine, order, number))
            return OrderReply(OrderOutcome.NO_ANSWER)
        if {Fault.LATE, Fault.ENGINE_PAUSES, Fault.REORDERED} & active:
            data_centre.held_orders.append((engine, order, number))
            return OrderReply(OrderOutcome.NO_ANSWER)
        if Fault.SILENT_CONNECTION in active:
            return OrderReply(OrderOutcome.NO_ANSWER)
        reply = data_centre.execute(engine, order, number)
        if Fault.DUPLICATE in active:
            reply = data_centre.execute(engine, order, number)
        data_centre.reach("engine applied it")
        if Fault.ENTRY_DIES in data_centre.active or Fault.WRITE_ANSWER_LOST in data_centre.active:
            return OrderReply(OrderOutcome.NO_ANSWER)
        return reply


class OrderCell:
    """Runs the faults with engines that check the fencing number, then with ones that ignore it."""

    def __init__(self, cell: Cell):
        self.cell = cell

    def run(self) -> None:
        for checks in (True, False):
            data_centre = FaultyDataCentre(self.cell, checks)
            asyncio.run(data_centre.run_life_cycle())
            self.check_late_order(data_centre)

    def check_late_order(self, data_centre: FaultyDataCentre) -> None:
        """Checks that a late order of an earlier holder is refused or undone."""
        name = next(e.name for e in data_centre.engines.values() if e.models)
        late = Order(name, OrderAction.UNLOAD_MODEL, "m", "1")
        reply = data_centre.execute(data_centre.engines[name], late, 0)
        checks = data_centre.deployments[0].checks_fencing
        assert (reply.outcome is OrderOutcome.FENCED) is checks, "a late order took effect"
        asyncio.run(self.run_until_settled(data_centre))
        data_centre.check()

    async def run_until_settled(self, data_centre: FaultyDataCentre) -> None:
        end = data_centre.now + SETTLE_TIME
        while data_centre.now < end:
            await data_centre.advance([0, 1])
