"""Fault matrix cells of a claim's life cycle, on the simulated fleet of test_claims."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from fault_matrix_cells import Fault
from memory_store import StoreFault
from test_claims import CFG, START_UNIX, ClaimFleet, key_text

from sapphireledge.core.claims import (
    Answer,
    DispatchOnce,
    RecordOutcome,
    WriteClaim,
    parse_idempotency_key,
)
from sapphireledge.entry.claim_collector import ClaimCollector
from sapphireledge.errors import Failure, Ran
from sapphireledge.settings import ClaimSettings

if TYPE_CHECKING:
    from fault_matrix_cells import Cell
    from test_claims import Call

STORE_FAULTS = {
    Fault.PLATFORM_PARTITION: StoreFault.REFUSED,
    Fault.PLATFORM_OUTAGE: StoreFault.REFUSED,
    Fault.PLATFORM_SLOW: StoreFault.LATE,
    Fault.LATE: StoreFault.LATE,
    Fault.WRITE_ANSWER_LOST: StoreFault.LOST_ANSWER,
    Fault.SILENT_CONNECTION: StoreFault.LOST_REQUEST,
}
"""Effect of each ongoing fault on store calls."""

WRITES_ONLY = (StoreFault.LATE, StoreFault.LOST_ANSWER, StoreFault.LOST_REQUEST)
"""Store faults limited to claim writes, after which the state can be read back."""

DISPATCH_RESULTS = {
    Fault.ENGINE_DIES: "broken after",
    Fault.ENGINE_PAUSES: "broken after",
    Fault.REQUEST_CRASHES: "broken before",
    Fault.SILENT_CONNECTION: "broken after",
    Fault.FLOOD_LEAST: "none left",
    Fault.FLOOD_MOST: "not sent",
}
"""Result of a dispatch during each ongoing fault."""

FAULTY_ACTIONS = 3
"""Number of actions, over all calls, for which a fault lasts; also of attempts to record."""

OTHER_ENTRIES = (1, 2)
MAX_ACTIONS = 400


class ClaimCell:
    """A call at entry 0 with faults at one step, which the caller then repeats at all entries."""

    def __init__(self, cell: Cell):
        self.cell = cell
        self.fleet = ClaimFleet()
        self.fleet.begin([0])
        self.first_call = self.fleet.calls[0]
        self.injected = self.healed = False
        self.remaining_actions = 0
        self.paused = False

    def run(self) -> None:
        fleet, first_call = self.fleet, self.first_call
        self.reach("key received")
        for _ in range(MAX_ACTIONS):
            if self.paused or first_call not in fleet.live or not first_call.pending:
                break
            self.reach_step_of(first_call.pending[0])
            if self.paused or first_call not in fleet.live:
                break
            self.carry_out_next(first_call)
        self.finish_records()
        assert self.injected, f"the step {self.cell.step} was not reached"
        self.finish_and_check()

    # Life cycle of the first call.

    def reach(self, step: str) -> None:
        if step == self.cell.step and not self.injected:
            self.injected, self.remaining_actions = True, FAULTY_ACTIONS
            for fault in self.cell.faults:
                self.inject(fault)

    def reach_step_of(self, decision) -> None:
        match decision:
            case WriteClaim():
                self.reach("claim being written")
            case DispatchOnce() if not self.first_call.clock_checked:
                self.reach("claimed but not dispatched")
            case DispatchOnce():
                self.reach("dispatched")
            case RecordOutcome():
                self.reach("service ran but not answered")

    def finish_records(self) -> None:
        """Records the outcome of the first call, then runs the collector for the last step."""
        fleet = self.fleet
        if fleet.records:
            self.reach("outcome being recorded")
            for _ in range(FAULTY_ACTIONS):
                if fleet.records:
                    fleet.record(self.current_store_fault())
        self.reach("recorded")
        if self.cell.step == "collected":
            # The collector deletes a claim only after its key is refused because of its age.
            fleet.now += CFG.window + 2 * (CFG.future_skew + CFG.bucket + CFG.service_timeout)
            self.reach("collected")
            for fault in (self.current_store_fault(), StoreFault.NONE):
                fleet.set_faults(fault)
                asyncio.run(self.collect())
            assert fleet.store.table.get(fleet.key) is None, "the claim was not collected"
            refusal = parse_idempotency_key(key_text(START_UNIX), fleet.now_unix, CFG)
            assert (
                isinstance(refusal, Failure) and refusal.ran is Ran.UNKNOWN
            ), "a collected key was accepted"

    async def collect(self) -> None:
        cfg = ClaimSettings(collect_rate=1_000)
        fleet = self.fleet
        await ClaimCollector(fleet.store, cfg, lambda: (0, 1), lambda: fleet.now_unix).collect()

    def carry_out_next(self, call: Call) -> None:
        fault, dispatch_result = self.current_store_fault(), self.dispatch_result()
        if fault in WRITES_ONLY and not isinstance(call.pending[0], WriteClaim):
            fault = StoreFault.NONE
        self.fleet.carry_out(call, fault, dispatch_result, Fault.ENTRY_PARTITION not in self.active)
        self.remaining_actions -= 1
        if not call.pending and call in self.fleet.live:
            self.fleet.live.remove(call)
        self.check()

    @property
    def active(self) -> frozenset[Fault]:
        ongoing = self.injected and not self.healed and self.remaining_actions > 0
        return frozenset(self.cell.faults) if ongoing else frozenset()

    def current_store_fault(self) -> StoreFault:
        for fault in self.active:
            if fault in STORE_FAULTS:
                return STORE_FAULTS[fault]
        return StoreFault.NONE

    def dispatch_result(self) -> str:
        for fault in self.active:
            if fault in DISPATCH_RESULTS:
                return DISPATCH_RESULTS[fault]
        return "ok"

    # Faults.

    def inject(self, fault: Fault) -> None:
        fleet = self.fleet
        match fault:
            case Fault.ENTRY_DIES:
                fleet.event("crash", 0)
            case Fault.ENTRY_PAUSES | Fault.LEASE_EXPIRES:
                self.paused = True
                self.repeat(1)
                fleet.event(CFG.lease + 1 if fault is Fault.LEASE_EXPIRES else 1.0, 0)
            case Fault.ENGINE_PAUSES:
                fleet.event(4.0, 0)
            case Fault.FLOOD_MOST:
                fleet.event(4.0, 0)
            case Fault.OPERATORS_RACE:
                # Two callers use the same key for different content.
                self.repeat(1, "b")
            case Fault.DUPLICATE:
                self.repeat(0)
                self.repeat(0)
            case Fault.REORDERED:
                self.repeat(1)
                self.repeat(2)
                self.advance_other_calls()
            case Fault.ENTRY_PARTITION | Fault.PLATFORM_PARTITION:
                self.repeat(1)

    def repeat(self, entry: int, content: str = "a") -> None:
        """Sends the key again; does nothing once the key is refused because of its age."""
        if self.cell.step != "collected":
            self.fleet.call(entry, 60, content)

    def advance_other_calls(self) -> None:
        """Advances each call at the other entries by one action."""
        for call in list(self.fleet.live):
            if call is not self.first_call and call.pending:
                self.carry_out_next(call)

    # Healing.

    def finish_and_check(self) -> None:
        """Advances the other calls during a pause, heals, and repeats the call at all entries."""
        fleet = self.fleet
        if self.paused:
            self.remaining_actions = 0
            self.drain(exclude_first=True, seconds=2.0)
        self.healed = True
        fleet.store.apply_late_writes()
        self.check()
        self.drain()
        for entry in (0, *OTHER_ENTRIES):
            self.repeat(entry)
        self.drain()
        for _ in range(MAX_ACTIONS):
            if fleet.records:
                fleet.record(StoreFault.NONE)
        assert not fleet.records, "an outcome was not recorded"
        self.check_answers()

    def drain(self, exclude_first: bool = False, seconds: float = 120.0) -> None:
        end = self.fleet.now + seconds
        while self.fleet.now < end:
            live = [c for c in self.fleet.live if not (exclude_first and c is self.first_call)]
            if not live:
                return
            for call in live:
                if call.pending:
                    self.carry_out_next(call)
                elif call in self.fleet.live:
                    self.fleet.live.remove(call)
            if self.fleet.records and not exclude_first:
                self.fleet.record(StoreFault.NONE)
            self.fleet.event(0.1, 0)

    def check(self) -> None:
        self.fleet.runs_at_most_once()
        self.fleet.refusals_are_true()
        self.fleet.answers_are_the_run()

    def check_answers(self) -> None:
        """Checks that each call was answered exactly once, unless its entry crashed."""
        self.check()
        fleet = self.fleet
        answered = {call.number for _, call, _ in fleet.answers}
        crashed = Fault.ENTRY_DIES in self.cell.faults
        for call in fleet.calls:
            lost = crashed and call.entry == 0
            assert lost or call.number in answered, f"call {call.number} has no answer"
        assert (
            not any(isinstance(d, Answer) for call in fleet.calls for d in call.pending) or crashed
        )
