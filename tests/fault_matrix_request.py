"""Fault matrix cells of a request's life cycle, on the model of test_answer_properties."""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING

from fault_matrix_cells import Fault
from test_admission import ranks
from test_answer_properties import ENTRIES, AnswerModel, Attempt, Caller
from test_quarantine import is_condemned
from test_routing import report, view_of

from sapphireledge.core.admission import Admitted, Capacity, DroppedWork, QueuedWork, RankScheduler
from sapphireledge.core.answer import AnswerEnd, AttemptFailureCause, ChangePartner
from sapphireledge.core.quarantine import DeathRecord, IsolateVerdict, Quarantine
from sapphireledge.core.routing import Router, RouteRequest
from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.settings import AdmissionSettings, QuarantineSettings, RoutingSettings

if TYPE_CHECKING:
    from fault_matrix_cells import Cell

TICK = 0.05
"""Seconds of simulated time per tick."""

TOTAL = 12
"""Tokens of the complete answer."""

MIDDLE = 5
"""Offset at which the step between tokens is reached."""

TICKS = 900
"""Ticks of a cell."""

MAX_DEATHS = 4
"""Maximum number of engines that one request may crash before it is condemned."""

HEAL_AFTER = 40
"""Ticks after which faults are healed: 2 s, beyond the ceiling of the gap detector."""

SILENCE = 30
"""Ticks without output from a paused entry after which the first caller reconnects."""

ENGINES = tuple(f"e{number}" for number in range(8))
START_UNIX = 1_000_000.0


class RequestCell(AnswerModel):
    """One request from the offer to the end, with faults at one step.

    `AnswerModel.receive` checks every token that a caller receives. Each tick advances every part
    of the system once.
    """

    def __init__(self, cell: Cell):
        self.cell = cell
        self.ticks = self.injected_at = 0
        self.partitioned = False
        self.total_runs = 0
        self.injected = self.healed = False
        self.dead: set[str] = set()
        self.frozen: set[str] = set()
        self.silent: set[Attempt] = set()
        self.refusals: list[Failure] = []
        self.refused_callers: set[int] = set()
        self.engine_of: dict[Attempt, str] = {}
        self.work_ids: dict[tuple[object, int], str] = {}
        self.schedulers = {name: self.scheduler() for name in ENTRIES}
        self.quarantine = Quarantine(QuarantineSettings())
        self.last_output = Counter()
        self.operators_raced = False
        self.reordered_attempt: Attempt | None = None
        self.taken_over = False
        self.leaving: set[str] = set()
        self.views = {name: view_of(*ENGINES) for name in ENTRIES}
        self.rng = random.Random(0)
        super().__init__()
        # A second reader stays attached to a paused entry and shows what a resumed owner delivers.
        self.attach(self.callers[1], self.sessions[0])

    @staticmethod
    def scheduler() -> RankScheduler:
        return RankScheduler(ranks(), AdmissionSettings())

    def run(self) -> None:
        self.reach("offered")
        while self.ticks < TICKS:
            self.tick()
        self.check()
        self.teardown()

    def check(self) -> None:
        """Checks the properties after the system has settled."""
        assert self.injected, "the step was not reached"
        for number, caller in enumerate(self.callers):
            assert caller.ended or number in self.refused_callers, "neither an answer nor a refusal"
        for failure in self.refusals:
            assert (
                failure.ran is not Ran.NO or not self.total_runs
            ), f"wrong `ran` in refusal: {failure}"
            assert (
                failure.ran is not Ran.YES or self.total_runs
            ), f"wrong `ran` in refusal: {failure}"
        if Fault.REQUEST_CRASHES in self.cell.faults:
            assert len(self.dead) <= MAX_DEATHS, "the request crashed too many engines"
            self.check_condemnation()

        if self.taken_over and Fault.ENTRY_PARTITION not in self.cell.faults:
            readers = [caller.pieces for caller in self.callers if caller.ended]
            assert all(
                pieces == readers[0] for pieces in readers
            ), "readers received different answers"

    def check_condemnation(self) -> None:
        """Checks that a refused request may run once more, isolated, as proof outside a burst.

        If it crashes that engine too, it must be condemned.
        """
        if not self.refused_callers:
            return
        unix = START_UNIX + self.now
        assert isinstance(self.quarantine.verdict(unix, "request"), IsolateVerdict), "not isolated"
        record = DeathRecord("e0", "proof", unix, ("request",), ("request",))
        self.quarantine.on_engine_death(unix, record)
        assert is_condemned(
            self.quarantine.verdict(unix, "request")
        ), "the request may crash a fifth engine"

    def take_over(self, caller, entry, holder, epoch) -> None:
        self.taken_over = True
        super().take_over(caller, entry, holder, epoch)

    def repeat(self) -> None:
        """Checks that a client repeating only the id gets the same answer while a copy exists."""
        first = self.callers[0]
        if not first.ended or not any(table.locate("r") for table in self.tables.values()):
            return
        repeated_caller = Caller()
        self.callers.append(repeated_caller)
        self.reconnect(2, 0, False, False)
        assert repeated_caller.ended, "the copy is incomplete"
        assert repeated_caller.pieces == first.pieces, "another answer under the same id"

    def reach(self, step: str) -> None:
        if step == self.cell.step and not self.injected:
            self.injected, self.injected_at = True, self.ticks
            for fault in self.cell.faults:
                self.inject(fault)

    # One tick.

    def tick(self) -> None:
        self.ticks += 1
        if self.injected and not self.healed and self.ticks > self.injected_at + HEAL_AFTER:
            self.heal()
        self.advance(TICK)
        for session in [s for s in self.sessions if self.running(s)]:
            self.admit(session)
            self.answer_probes(session)
        for attempt in list(self.attempts):
            self.advance_engine(attempt)
        for session in [s for s in self.sessions if self.running(s)]:
            self.send_appends(session)
        self.reconnect_callers()

    def admit(self, session) -> None:
        """Offers a pending dispatch to the scheduler and executes the work that it selects."""
        dispatch, scheduler = session.pending, self.schedulers[session.entry]
        if dispatch is None:
            return
        work_id = self.work_ids.get((session, dispatch.attempt))
        if work_id is None:
            work_id = f"work-{len(self.work_ids)}"
            self.work_ids[session, dispatch.attempt] = work_id
            work = QueuedWork(work_id, "standard", "w", 0, TOTAL, delivered=dispatch.offset)
            result = scheduler.offer(self.now, work)
            if isinstance(result, Failure):
                session.pending = None
                self.apply_decisions(session, session.machine.on_no_backend(self.now, result))
                return
            assert isinstance(result, Admitted)
            self.reach("queued")
            return
        for item in scheduler.next(self.now, Capacity(2, 4, 200.0)):
            work = item.work if isinstance(item, DroppedWork) else item
            if not isinstance(item, DroppedWork):
                scheduler.on_started(self.now, work.work_id)
                scheduler.on_ended(self.now, work.work_id)
            if work.work_id != work_id:
                continue
            if isinstance(item, DroppedWork):
                session.pending = None
                self.apply_decisions(session, session.machine.on_no_backend(self.now, item.failure))
            elif self.running(session):
                self.dispatch_admitted(session)

    def dispatch_admitted(self, session) -> None:
        """Dispatches to an engine unless the request is condemned or no engine is available."""
        dispatch = session.pending
        session.pending = None
        unix = START_UNIX + self.now
        verdict = self.quarantine.verdict(unix, "request")
        choice = self.route(session.entry, dispatch)
        if isinstance(verdict, Failure) or isinstance(choice, Failure):
            failure = verdict if isinstance(verdict, Failure) else choice
            self.apply_decisions(session, session.machine.on_no_backend(self.now, failure))
            return
        engine = choice.backend
        assert engine not in self.leaving, "new work for a leaving engine"
        # Racing operators switch the deployment to another version in between.
        version = (
            "v2" if self.operators_raced and dispatch.avoid == () and not dispatch.version else "v1"
        )
        version = dispatch.version or version
        machine = session.machine
        decisions = machine.on_dispatched(self.now, dispatch.attempt, engine, version)
        self.apply_decisions(session, decisions)
        if decisions:
            return
        self.nonces += 1
        nonce = f"{version}-{self.nonces}"
        attempt = Attempt(session, dispatch.attempt, nonce, dispatch.offset, machine.text)
        self.attempts.append(attempt)
        self.engine_of[attempt] = engine
        self.total_runs += 1
        self.reach("dispatched")

    def route(self, entry: str, dispatch):
        """Chooses an engine, with current load reports of the engines that are alive."""
        view = self.views[entry]
        for name in ENGINES:
            if name in self.dead:
                view.on_unreachable(self.now, name)
            else:
                view.on_load(self.now, report(name, self.now, leaving=name in self.leaving))
        request = RouteRequest(
            "m",
            "1",
            prefer=(dispatch.prefer,) if dispatch.prefer else (),
            avoid=dispatch.avoid,
            resume=dispatch.offset > 0,
        )
        return Router(RoutingSettings()).choose(self.now, request, view, self.rng)

    def answer_probes(self, session) -> None:
        if session.probe is None:
            return
        number, engine = session.probe.attempt, session.machine.backend
        session.probe = None
        alive = engine not in self.dead and engine not in self.frozen
        running = [a for a in self.attempts if a.session is session and a.running]
        is_known = any(attempt.number == number for attempt in running)
        if alive:
            self.apply_decisions(
                session, session.machine.on_probe(self.now, number, True, is_known)
            )
        # A frozen or dead engine does not answer; the probe times out.

    def advance_engine(self, attempt: Attempt) -> None:
        """Lets an engine generate one token and its connection deliver it."""
        engine, session = self.engine_of[attempt], attempt.session
        if engine in self.dead:
            self.fail_attempt(attempt)
            return
        if engine in self.frozen:
            return
        if attempt.running:
            self.reach_for(attempt)
            if engine in self.dead or engine in self.frozen:
                return
            attempt.emit(1)
            if attempt.offset >= TOTAL:
                attempt.running = False
                self.complete_texts.add(attempt.text)
                attempt.outbox.append((attempt.offset, None))
        self.disturb(attempt)
        if attempt not in self.silent and session in self.sessions:
            count = len(attempt.outbox)
            if attempt.outbox and attempt.outbox[-1][1] is None and count > 1:
                count -= 1
            elif attempt.outbox and attempt.outbox[0][1] is None:
                self.reach("before the finish")
            if not self.delayed:
                self.deliver(attempt, count)
        if session.machine.ended and session.window._finish:
            self.reach("finished but not stored at the partner")

    def reach_for(self, attempt: Attempt) -> None:
        if not attempt.offset:
            self.reach("before the first token")
        if attempt.offset >= MIDDLE:
            self.reach("between tokens")
            if self.cell.step == "caller reconnecting" and not self.injected:
                self.callers[0].session = None
                self.reach("caller reconnecting")

    def fail_attempt(self, attempt: Attempt) -> None:
        """Breaks the connection to a dead engine and records the death."""
        attempt.running = False
        session = attempt.session
        self.attempts.remove(attempt)
        if not self.running(session):
            return
        record = DeathRecord(
            self.engine_of[attempt],
            f"boot-{self.engine_of[attempt]}",
            START_UNIX + self.now,
            ("request",),
            isolated=("request",),
        )
        self.quarantine.on_engine_death(START_UNIX + self.now, record)
        machine = session.machine
        decisions = machine.on_broken(self.now, attempt.number, AttemptFailureCause.CLOSED)
        self.apply_decisions(session, decisions)

    @property
    def active(self) -> frozenset[Fault]:
        """Faults that are currently active."""
        ongoing = self.injected and not self.healed
        return frozenset(self.cell.faults) if ongoing else frozenset()

    @property
    def delayed(self) -> bool:
        return Fault.LATE in self.active

    def disturb(self, attempt: Attempt) -> None:
        if Fault.REQUEST_CRASHES in self.cell.faults and self.injected and attempt.running:
            self.dead.add(self.engine_of[attempt])
        if Fault.DUPLICATE in self.active and attempt.outbox:
            attempt.outbox.insert(1, attempt.outbox[0])
        if (
            Fault.REORDERED in self.active
            and attempt.running
            and self.reordered_attempt in (None, attempt)
        ):
            # The next token overtakes this one; only on the connection of one attempt.
            self.reordered_attempt = attempt
            attempt.emit(1 if attempt.offset < TOTAL - 1 else 0)
            attempt.outbox.reverse()

    # Answer copies, callers and faults.

    def send_appends(self, session) -> None:
        """Sends the next append of an owner; a timeout detects appends lost to a partition."""
        session.window.add_events(session.machine.take_lines())
        append = session.window.next_append()
        if append and not self.partitioned:
            message = (session, session.window.partner, append)
            self.appends += [message] * (2 if Fault.DUPLICATE in self.active else 1)
        if not self.delayed:
            self.deliver_appends()

    def deliver_appends(self) -> None:
        """Stores the appends at running partners and delivers their acknowledgements."""
        pending = [message for message in self.appends if message[1] not in self.paused]
        if Fault.REORDERED in self.active:
            pending.reverse()
        for message in pending:
            self.appends.remove(message)
            self.appends.append(message)
            self.store(0, False)
        for _ in range(len(self.results)):
            self.acknowledge(0)

    def apply_window_decisions(self, session, decisions: list) -> None:
        super().apply_window_decisions(session, decisions)
        for decision in decisions:
            if isinstance(decision, ChangePartner) and session in self.sessions:
                others = [n for n in ENTRIES if n not in (session.entry, session.window.partner)]
                usable = [name for name in others if name not in self.paused] or [""]
                super().apply_window_decisions(
                    session, session.window.change_partner(self.now, usable[0])
                )

    def receive(self, caller, offset, source, finish, version) -> None:
        super().receive(caller, offset, source, finish, version)
        number = self.callers.index(caller)
        self.last_output[number] = self.ticks
        failure = AnswerEnd.parse(finish).failure if finish else None
        if failure is not None and failure.kind is not ErrorKind.ANSWER_MOVED:
            self.refusals.append(failure)
            self.refused_callers.add(number)
        if caller.ended:
            self.reach("delivered")

    def reconnect_callers(self) -> None:
        for number, caller in enumerate(self.callers):
            if caller.ended or number in self.refused_callers:
                continue
            paused = caller.session is not None and caller.session.entry in self.paused
            if paused and number == 0 and self.ticks > self.last_output[number] + SILENCE:
                caller.session = None
            if caller.session is None:
                self.reconnect(number, self.ticks % 3, self.partitioned, True)

    def reconnect(self, i, e, cut, with_text):
        if not cut:
            super().reconnect(i, e, cut, with_text)
            return
        tables, entry = self.tables, ENTRIES[e % 3]
        # During a partition an entry only reaches its own copies.
        self.tables = {entry: tables[entry]}
        try:
            super().reconnect(i, e, cut, with_text)
        finally:
            self.tables = tables

    def inject(self, fault: Fault) -> None:
        session = self.sessions[-1]
        current = [a for a in self.attempts if a.session is session]
        engine = self.engine_of[current[-1]] if current else ENGINES[0]
        # In every cell one engine starts leaving; for a silent connection it is the affected one.
        self.leaving.add(engine if fault is Fault.SILENT_CONNECTION else ENGINES[-1])
        match fault:
            case Fault.ENGINE_DIES | Fault.REQUEST_CRASHES:
                self.dead.add(engine)
            case Fault.ENGINE_PAUSES:
                self.frozen.add(engine)
            case Fault.ENTRY_DIES:
                self.schedulers[session.entry] = self.scheduler()
                self.views[session.entry] = view_of(*ENGINES)
                self.pause_return_or_crash(session.entry, True)
            case Fault.ENTRY_PAUSES | Fault.LEASE_EXPIRES:
                self.paused.add(session.entry)
            case Fault.ENTRY_PARTITION:
                self.partitioned = True
            case Fault.OPERATORS_RACE:
                self.operators_raced = True
            case Fault.SILENT_CONNECTION:
                self.silent.update(current)
            case Fault.FLOOD_LEAST | Fault.FLOOD_MOST:
                rank = "batch" if fault is Fault.FLOOD_LEAST else "urgent"
                for number in range(400):
                    work = QueuedWork(f"{rank}-{number}", rank, "flood", 0, 250)
                    self.schedulers[session.entry].offer(self.now, work)

    def heal(self) -> None:
        self.healed, self.partitioned = True, False
        self.frozen.clear()
        self.paused.clear()
