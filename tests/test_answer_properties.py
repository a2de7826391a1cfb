"""Property test of a generation across several entries, engines and caller connections.

Each token contains the nonce of its attempt and a hash of all text before it, so a missing or
repeated token, or one of another generation, breaks the hash chain that a caller receives.
"""

from __future__ import annotations

import hashlib
import unittest
from collections import deque
from dataclasses import dataclass, field

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from sapphireledge.core.answer import (
    AnswerDigest,
    AnswerEnd,
    AppendOutcome,
    AttemptFailureCause,
    CancelAttempt,
    ChangePartner,
    CommitWindow,
    Complete,
    Deliver,
    Dispatch,
    EventId,
    GenerationRequest,
    OwnerClaim,
    OwnershipTable,
    Probe,
    Refuse,
    Release,
    StopDelivery,
    StoredPrefix,
    choose_copy,
    choose_first_epoch,
    verify_position,
    verify_text,
)
from sapphireledge.core.replay import EventLog, RecordingMachine, replay_request
from sapphireledge.errors import ErrorKind, Failure
from sapphireledge.settings import ResumeSettings

CFG = ResumeSettings(max_attempts=30)
ENTRIES = ("a", "b", "c")
VERSIONS = ("v1", "v2")
SECRET = "secret"
COPY_TIMEOUT = 0.1
MIN_ANSWER_TOKENS = 8
FAULTS = "dispatch emit stream break probe advance partner entry paused_owner leave reconnect"
COPIES_AND_END = "send store acknowledge finish"
STEPS = (*["progress"] * 4, *FAULTS.split(), *COPIES_AND_END.split())
index = st.integers(0, 5)


def chained_piece(text: str, nonce: str) -> str:
    return f"{nonce}:{hashlib.blake2b((nonce + text).encode(), digest_size=6).hexdigest()} "


@dataclass(eq=False)
class Attempt:
    """An attempt running on an engine."""

    session: Session
    number: int
    nonce: str
    offset: int
    text: str
    outbox: deque = field(default_factory=deque)
    running: bool = True

    def emit(self, tokens: int) -> None:
        for _ in range(tokens if self.running else 0):
            piece = chained_piece(self.text, self.nonce)
            self.outbox.append((self.offset, piece))
            self.text += piece
            self.offset += 1


@dataclass(eq=False)
class Session:
    """One owner of the answer: its machine, its commit window and the state of the I/O layer."""

    entry: str
    machine: RecordingMachine
    window: CommitWindow
    epoch: int
    pending: Dispatch | None = None
    probe: Probe | None = None
    acknowledged: int = 0


@dataclass(eq=False)
class Caller:
    """A caller with all output received over its connections."""

    session: Session | None = None
    pieces: list[str] = field(default_factory=list)
    event_id: EventId | None = None
    ended: bool = False


class AnswerModel(RuleBasedStateMachine):
    """Random interleavings of faults; `receive` checks the invariants for each caller."""

    def __init__(self):
        super().__init__()
        self.now = 1.0
        self.nonces = 0
        self.tables = {name: OwnershipTable(60, 1 << 20) for name in ENTRIES}
        self.logs = {name: EventLog(name, 1 << 22) for name in ENTRIES}
        self.old_logs: list[EventLog] = []
        self.sessions: list[Session] = []
        self.attempts: list[Attempt] = []
        self.appends: list = []
        self.results: list = []
        self.paused: set[str] = set()
        self.complete_texts: set[str] = set()
        self.callers = [Caller(), Caller()]
        self.reconnect(0, 0, False, False)

    # The I/O layer, which carries out decisions.

    def apply_decisions(self, session: Session, decisions: list) -> None:
        for decision in decisions:
            match decision:
                case Deliver(offset, text):
                    self.apply_window_decisions(
                        session, session.window.push(self.now, offset, text)
                    )
                case Dispatch():
                    assert decision.offset == len(session.window._pieces)
                    session.pending = decision
                case Probe():
                    session.probe = decision
                case CancelAttempt():
                    pass  # The cancellation may be lost, so the engine keeps running.
                case Complete(total, reason):
                    assert total == session.machine.offset
                    end = AnswerEnd(reason).to_finish()
                    self.apply_window_decisions(session, session.window.end(self.now, end))
                case Refuse(failure):
                    end = AnswerEnd("", failure).to_finish()
                    self.apply_window_decisions(session, session.window.end(self.now, end))

    def apply_window_decisions(self, session: Session, decisions: list) -> None:
        for decision in decisions:
            match decision:
                case Release(offset, pieces, protected, finish):
                    if protected:
                        assert offset + len(pieces) <= session.acknowledged, "released too early"
                    for caller in self.callers:
                        if caller.session is session:
                            source = session.window.pieces(0)
                            self.receive(caller, offset, source, finish, session.machine.version)
                case StopDelivery():
                    self.close(session)
                    self.apply_decisions(session, session.machine.on_superseded(self.now))
                case ChangePartner():
                    pass

    def receive(self, caller: Caller, offset: int, source, finish: str, version: str) -> None:
        """Sends the entry's pieces (source) from the offset on to a caller."""
        assert offset == len(caller.pieces), "token missing or repeated"
        assert not caller.ended, "output after the end"
        # Text sent back by a caller has no token boundaries, but each token ends with a space.
        pieces = "".join(source[offset:]).replace(" ", " \n").split("\n")[:-1]
        assert len(pieces) == max(0, len(source) - offset), "token missing or repeated"
        for piece in pieces:
            text = "".join(caller.pieces)
            assert piece == chained_piece(text, piece.split(":")[0]), "tokens of two generations"
            assert not text or piece[:2] == text[:2], "tokens of two versions"
            caller.pieces.append(piece)
        if caller.pieces:
            digest = AnswerDigest(SECRET, "r", version)
            for piece in source:
                digest.update(piece)
            caller.event_id = digest.event_id()
        if finish and AnswerEnd.parse(finish).failure is None:
            caller.ended = True
            assert "".join(caller.pieces) in self.complete_texts, "answer is incomplete"

    def close(self, session: Session) -> None:
        for caller in self.callers:
            if caller.session is session:
                caller.session = None

    def running(self, session: Session) -> bool:
        return session in self.sessions and session.entry not in self.paused

    def pick(self, items: list, i: int):
        return items[-1 - i % len(items)] if items else None

    # Engines.

    def dispatch(self, session: Session, version: str = "v1", rewind: bool = False) -> None:
        order, session.pending = session.pending, None
        if order is None or session.machine.ended:
            return
        self.nonces += 1
        decisions = session.machine.on_dispatched(
            self.now, order.attempt, f"e{self.nonces % 3}", version
        )
        self.apply_decisions(session, decisions)
        if decisions:
            return
        offset, text = (0, "") if rewind else (order.offset, session.machine.text)
        nonce = f"{version}-{self.nonces}"
        self.attempts.append(Attempt(session, order.attempt, nonce, offset, text))

    def deliver(self, attempt: Attempt, chunks: int) -> None:
        session = attempt.session
        while attempt.outbox and chunks and self.running(session):
            chunks -= 1
            offset, piece = attempt.outbox.popleft()
            method = session.machine.on_token
            if piece is None:
                method, piece = session.machine.on_finished, "stop"
            self.apply_decisions(session, method(self.now, attempt.number, offset, piece))

    def current(self, i: int) -> Attempt | None:
        """Returns mostly the newest attempt, sometimes an abandoned one."""
        return self.pick(self.attempts, max(0, i - 3))

    def dispatch_pending(self, i, version, rewind):
        session = self.pick([s for s in self.sessions if s.pending and self.running(s)], i)
        if session and i == 5:
            failure = Failure(ErrorKind.NO_BACKEND, "none")
            session.pending = None
            self.apply_decisions(session, session.machine.on_no_backend(self.now, failure))
        elif session:
            self.dispatch(session, version, rewind)

    def emit(self, i, tokens, chunks):
        attempt = self.current(i)
        if attempt:
            attempt.emit(tokens)
            self.deliver(attempt, chunks)

    def disturb_stream(self, i, kind):
        attempt = self.current(i)
        if not attempt:
            return
        if kind == "finish" and attempt.running and attempt.offset > MIN_ANSWER_TOKENS:
            attempt.emit(1)
            if i < 3:
                attempt.outbox.pop()  # The last token is lost; only the total shows it.
            attempt.running = False
            self.complete_texts.add(attempt.text)
            attempt.outbox.append((attempt.offset, None))
            return
        attempt.emit(2)
        if kind == "repeat" and attempt.outbox:
            attempt.outbox.insert(1, attempt.outbox[0])
        elif attempt.outbox:
            attempt.outbox.popleft()

    def break_connection(self, i, cause, late, redispatch):
        attempt = self.current(i)
        if attempt and self.running(attempt.session):
            attempt.emit(2)
            attempt.running = attempt.running and late
            machine = attempt.session.machine
            self.apply_decisions(
                attempt.session, machine.on_broken(self.now, attempt.number, cause)
            )
            if redispatch:
                self.dispatch(attempt.session, "v2" if i == 0 else "v1")
                self.deliver(attempt, 1)

    def answer_probe(self, i, alive, knows):
        session = self.pick([s for s in self.sessions if s.probe and self.running(s)], i)
        if session:
            number, session.probe = session.probe.attempt, None
            self.apply_decisions(session, session.machine.on_probe(self.now, number, alive, knows))

    def advance(self, dt):
        self.now += dt
        for session in filter(self.running, list(self.sessions)):
            self.apply_decisions(session, session.machine.on_tick(self.now))
            self.apply_window_decisions(session, session.window.on_tick(self.now))

    # Copies.

    def send(self, i):
        session = self.pick([s for s in self.sessions if self.running(s)], i)
        if session:
            session.window.add_events(session.machine.take_lines())
            append = session.window.next_append()
            if append:
                self.appends.append((session, session.window.partner, append))

    def store(self, i, lost):
        message = self.pick(self.appends, i)
        if not message or message[1] in self.paused:
            return
        self.appends.remove(message)
        session, partner, append = message
        outcome = self.append_at(partner, session, append)
        if outcome.epoch <= append.epoch:
            session.acknowledged = max(session.acknowledged, outcome.stored)
        if not lost or i < 4:
            self.results.append((session, append, outcome))
        elif self.running(session):
            self.apply_window_decisions(session, session.window.on_failed(self.now, append, "lost"))

    def append_at(self, partner, session, append):
        """Stores an append unless the partner owns an answer that outranks that of the sender."""
        for own in self.owners_at(partner):
            if self.claim(own).outranks(OwnerClaim(append.epoch, session.entry)):
                epoch = max(self.claim(own).epoch, append.epoch + 1)
                return AppendOutcome(append.request_id, 0, epoch)
            self.supersede(own)
        return self.tables[partner].append(self.now, session.entry, append)

    def claim(self, session) -> OwnerClaim:
        return OwnerClaim(session.epoch, session.entry)

    def owners_at(self, entry) -> list[Session]:
        """Returns the session with which an entry owns the answer, if any."""
        return [s for s in self.sessions if s.entry == entry and not s.window.stopped]

    def supersede(self, session):
        """Ends an answer that another entry owns; its callers must find the owner."""
        self.close(session)
        self.sessions.remove(session)
        self.apply_decisions(session, session.machine.on_superseded(self.now))

    def acknowledge(self, i):
        message = self.pick([m for m in self.results if self.running(m[0])], i)
        if message:
            self.results.remove(message)
            session, append, outcome = message
            self.apply_window_decisions(
                session, session.window.on_result(self.now, append, outcome)
            )

    def change_partner(self, i, partner):
        session = self.pick([s for s in self.sessions if self.running(s)], i)
        if session and partner != session.entry:
            self.apply_window_decisions(session, session.window.change_partner(self.now, partner))

    def progress(self, i, tokens):
        """One round without faults: connect, dispatch, tokens, append, acknowledgement."""
        if tokens > 3:
            self.paused.clear()
        for number, caller in enumerate(self.callers):
            if caller.session is None:
                self.reconnect(number, i % 3, False, True)
        session = self.pick([s for s in self.sessions if self.running(s)], i)
        if not session:
            return
        self.dispatch(session)
        for attempt in self.attempts:
            if attempt.session is session and attempt.number == session.machine.attempt:
                attempt.emit(tokens)
                self.deliver(attempt, 10)
        self.send(i)
        self.store(0, False)
        self.acknowledge(0)

    # Entries and callers.

    def pause_return_or_crash(self, entry, crash):
        if not crash:
            self.paused ^= {entry}
            return
        self.paused.discard(entry)
        self.tables[entry] = OwnershipTable(60, 1 << 20)
        self.old_logs.append(self.logs[entry])
        self.logs[entry] = EventLog(f"{entry}{len(self.old_logs)}", 1 << 22)
        for session in [s for s in self.sessions if s.entry == entry]:
            self.close(session)
            self.sessions.remove(session)

    def take_over_while_paused(self, i, tokens):
        """Pauses the owner, lets another entry take the answer over, and resumes the old owner."""
        session = self.pick([s for s in self.sessions if self.running(s)], 0)
        if session:
            self.paused.add(session.entry)
            self.reconnect(i % 2, ENTRIES.index(session.entry) + 1 + i % 2, True, False)
            self.progress(0, tokens)
            self.paused.discard(session.entry)

    def caller_leaves(self, i, last):
        session, self.callers[i].session = self.callers[i].session, None
        others = [c for c in self.callers if c.session is session]
        if last and session and not others and self.running(session):
            self.apply_decisions(session, session.machine.on_caller_gone(self.now))
            self.sessions.remove(session)

    def reconnect(self, i, e, cut, with_text):
        """Connects a caller to any entry; with `cut`, the entry cannot reach the live owner."""
        caller, entry = self.callers[i], ENTRIES[e % 3]
        if entry in self.paused or caller.ended:
            return
        caller.session = None
        owners = [
            session
            for session in self.sessions
            if (session.entry == entry or not cut)
            and self.running(session)
            and not session.window.stopped
        ]
        if owners:
            owner = max(owners, key=lambda s: (s.epoch, s.entry))
            for outranked in [s for s in owners if s.entry == entry and s is not owner]:
                self.supersede(outranked)
            return self.attach(caller, owner)
        tables = {n: t for n, t in self.tables.items() if n not in self.paused}
        found = {n: t.locate("r") for n, t in tables.items() if t.locate("r")}
        holder = choose_copy(found)
        if holder is not None:
            self.take_over(caller, entry, holder, found[holder].epoch)
        elif caller.event_id is None:
            found_all = not cut and not self.paused
            epoch = choose_first_epoch(found_all, self.next_clock())
            self.open(caller, entry, GenerationRequest("r", "m", epoch=epoch), ())
        elif with_text:
            text = "".join(caller.pieces)
            verified = verify_text(SECRET, "r", VERSIONS, caller.event_id, text)
            assert not isinstance(verified, Failure), "unmodified text rejected"
            epoch = choose_first_epoch(False, self.next_clock())
            request = GenerationRequest("r", "m", verified.version, verified.prefix, epoch)
            self.open(caller, entry, request, verified.prefix.to_pieces())

    def next_clock(self) -> float:
        """Returns a later time than any before, in Unix seconds."""
        self.nonces += 1
        return float(self.nonces)

    def take_over(self, caller: Caller, entry: str, holder: str, epoch: int) -> None:
        table = self.tables[holder]
        part = table.read("r", 0)
        version = part.pieces[0][:2] if part.pieces else ""
        position = caller.event_id
        if position and verify_position(SECRET, "r", version, position, part.pieces):
            return
        if part.finish:
            self.receive(caller, len(caller.pieces), part.pieces, part.finish, version)
            return
        takeover = table.take_over(self.now, "r", epoch, entry)
        assert takeover.granted and takeover.epoch == epoch + 1
        prefix = StoredPrefix.from_pieces(takeover.pieces)
        request = GenerationRequest("r", "m", version, prefix, takeover.epoch)
        self.open(caller, entry, request, takeover.pieces, holder)

    def build(self, entry: str, request: GenerationRequest) -> RecordingMachine:
        return RecordingMachine(request, CFG, self.logs[entry], now=self.now)

    def open(self, caller, entry, request, pieces, holder: str = "") -> None:
        partner = holder if holder != entry else ""
        partner = partner or ENTRIES[(ENTRIES.index(entry) + 1) % 3]
        stored = len(pieces) if partner == holder else 0
        window = CommitWindow(
            "r", request.epoch, "{}", COPY_TIMEOUT, pieces=pieces, partner=partner, stored=stored
        )
        session = Session(entry, self.build(entry, request), window, request.epoch)
        session.acknowledged = len(pieces)
        self.sessions = [s for s in self.sessions if s.entry != entry]
        self.sessions.append(session)
        self.apply_decisions(session, session.machine.start(self.now))
        self.attach(caller, session)

    def attach(self, caller: Caller, session: Session) -> None:
        pieces = session.window.pieces(0)
        position = caller.event_id
        if position and verify_position(SECRET, "r", session.machine.version, position, pieces):
            return
        caller.session = session
        finish, version = session.window.finish, session.machine.version
        self.receive(caller, len(caller.pieces), pieces, finish, version)

    @rule(kind=st.sampled_from(STEPS), i=index, n=index, flag=st.booleans())
    def step(self, kind, i, n, flag):
        """Runs one step; the only rule, because Hypothesis does not support rule weights."""
        entry = ENTRIES[n % 3]
        match kind:
            case "progress":
                self.progress(i, n)
            case "dispatch":
                self.dispatch_pending(i, "v2" if n == 0 else "v1", flag)
            case "emit":
                self.emit(i, n, 5 if flag else 1)
            case "stream":
                self.disturb_stream(i, ("lose", "repeat")[n % 2])
            case "finish":
                self.disturb_stream(i, "finish")
            case "break":
                self.break_connection(i, list(AttemptFailureCause)[n], flag, i < 3)
            case "probe":
                self.answer_probe(i, flag, n < 3)
            case "advance":
                self.advance((0.01, 0.05, 0.12, 0.4, 1.6, 6.0)[n])
            case "send":
                self.send(i)
            case "store":
                self.store(i, flag)
            case "acknowledge":
                self.acknowledge(i)
            case "partner":
                self.change_partner(i, (*ENTRIES, *ENTRIES[:2], "")[n])
            case "entry":
                self.pause_return_or_crash(entry, flag and i < 3)
            case "paused_owner":
                self.take_over_while_paused(i, n)
            case "leave":
                self.caller_leaves(i % 2, flag and n < 2)
            case "reconnect":
                self.reconnect(i % 2, n % 3, flag, i < 3)

    def teardown(self):
        for log in (*self.logs.values(), *self.old_logs):
            report = replay_request(log.read("r"))
            assert report.exact, report


AnswerModel.TestCase.settings = settings(max_examples=200, stateful_step_count=80)


class AnswerPropertyTest(AnswerModel.TestCase):
    """Guards invariants 1, 2 and 3: each caller receives one generation without gaps."""


if __name__ == "__main__":
    unittest.main()
