"""Tests of at-most-once execution: a simulated fleet, and the I/O layer over an in-memory store."""

from __future__ import annotations

import asyncio
import random
import socket
import unittest
from collections import Counter
from dataclasses import dataclass, field, replace

from hypothesis import settings as settings_of
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from memory_store import MemoryStore, StoreFault
from test_platform import make_settings

from sapphireledge.core.claims import (
    Answer,
    ClaimCall,
    ClaimMachine,
    DispatchOnce,
    KeyStatus,
    NoResponse,
    NotSent,
    ProveNotRun,
    ReadClaim,
    ReceivedKeys,
    RecordOutcome,
    ServiceOutcome,
    VoidAnswer,
    Wait,
    WriteClaim,
    parse_idempotency_key,
)
from sapphireledge.entry.claim_collector import ClaimCollector
from sapphireledge.entry.claim_request import ClaimRequest
from sapphireledge.entry.claim_runner import ClaimRunner
from sapphireledge.entry.outcome_recorder import OutcomeRecorder
from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.objects import ObjectClient, WriteStatus
from sapphireledge.settings import ClaimSettings, PlatformSettings
from sapphireledge_standins._platform_faults import FaultMode, PlatformFaults
from sapphireledge_standins.platform_server import PlatformServer, create_server

CFG = ClaimSettings(lease=5, service_timeout=10)
PLATFORM = PlatformSettings(url="-", retry_base=0.01, retry_cap=0.1)
START_UNIX = 1_800_000_000.0


def key_text(time_unix: float, number: int = 0) -> str:
    """Builds a UUID of version 7 with the given time."""
    digits = f"{int(time_unix * 1000):012x}7000a{number:015x}"
    return "-".join((digits[:8], digits[8:12], digits[12:16], digits[16:20], digits[20:]))


def run_without_loop(coroutine):
    """Runs a coroutine that awaits nothing but `asyncio.sleep(0)`."""
    while True:
        try:
            coroutine.send(None)
        except StopIteration as ended:
            return ended.value


class IdempotencyKeyTest(unittest.TestCase):
    """Guards against keys whose claim may have been deleted, and against colliding claim keys."""

    def parse(self, text):
        return parse_idempotency_key(text, START_UNIX, CFG)

    def test_accepted_times_and_formats(self):
        self.assertEqual(self.parse(key_text(START_UNIX)).time_unix, START_UNIX)
        for age in (CFG.window - 1, -CFG.future_skew + 1):
            self.assertNotIsInstance(self.parse(key_text(START_UNIX - age)), Failure)
        for age in (CFG.window + 1, -CFG.future_skew - 1):
            failure = self.parse(key_text(START_UNIX - age))
            self.assertEqual(failure.kind, ErrorKind.IDEMPOTENCY_KEY_EXPIRED)
            self.assertEqual(failure.ran, Ran.UNKNOWN)
        for text in ("", "x", "6f7d5a1c-5d2e-4f0a-9c1b-2a3b4c5d6e7f"):
            self.assertEqual(self.parse(text).kind, ErrorKind.INVALID_REQUEST)

    def test_claim_key_depends_on_each_part(self):
        upper = self.parse(key_text(START_UNIX, 10).upper())
        keys = {upper.claim_key(*parts, CFG) for parts in [("a", "bc"), ("ab", "c"), ("a", "b")]}
        self.assertEqual(len(keys), 3)
        same = self.parse(key_text(START_UNIX, 10))
        self.assertIn(same.claim_key("a", "b", CFG), keys)


@dataclass
class Call:
    """A call in the simulated fleet."""

    number: int
    entry: int
    content: str
    machine: ClaimMachine
    key_status: KeyStatus
    pending: list = field(default_factory=list)
    proof: list | None = None
    started: float = 0.0
    clock_checked: bool = False


STEP_ARGUMENTS = {
    "index": st.integers(0, 3),
    "fault": st.sampled_from([StoreFault.NONE, *StoreFault]),
    "reply": st.sampled_from(
        ["ok", "ok", "not sent", "broken before", "broken after", "none left"]
    ),
    "reached": st.sampled_from([True, True, True, False]),
    "steps": st.integers(1, 4),
}
"""Which call advances, and with which faults and results."""


class ClaimFleet(RuleBasedStateMachine):
    """Model of several entries that use one key, with any fault at any step.

    Each step carries out decisions of one call. A call that is not selected is paused.
    """

    @initialize(entries=st.lists(st.integers(0, 2), min_size=2, max_size=3))
    def begin(self, entries):
        self.now = 1_000.0
        self.store = MemoryStore()
        self.key_time = START_UNIX
        self.key = parse_idempotency_key(key_text(START_UNIX), START_UNIX, CFG).claim_key(
            "w", "s", CFG
        )
        self.received = [ReceivedKeys(START_UNIX - 1_000, CFG) for _ in range(3)]
        self.calls: list[Call] = []
        self.live: list[Call] = []
        self.records: list[tuple[int, RecordOutcome]] = []
        self.runs: list[Call] = []
        self.answers: list[tuple[int, Call, ServiceOutcome | Failure]] = []
        self.recorder = OutcomeRecorder(self.store, PLATFORM, random.Random(0))
        for entry in entries:
            self.call(entry, 60, "a")

    @property
    def now_unix(self):
        return START_UNIX + self.now - 1_000

    @rule(
        entry=st.integers(0, 2), wait=st.sampled_from([1, 8, 60]), content=st.sampled_from("aaab")
    )
    def call(self, entry, wait, content):
        key_status = self.received[entry].receive(self.key, self.now_unix)
        number = len(self.calls)
        call = ClaimCall(
            self.key,
            f"entry-{entry}",
            f"nonce-{number}",
            content,
            self.now + wait,
            10.0,
            key_status in (KeyStatus.VOIDED, KeyStatus.PROVEN),
            key_status is KeyStatus.PROVEN,
        )
        new_call = Call(
            number, entry, content, ClaimMachine(call, CFG), key_status, started=self.now
        )
        new_call.pending = new_call.machine.start(self.now, self.now_unix)
        self.calls.append(new_call)
        self.live.append(new_call)

    @rule(
        event=st.sampled_from(["crash", "crash", "land", 0.1, 4.0, 20.0]), entry=st.integers(0, 2)
    )
    def event(self, event, entry):
        if event == "land":
            self.store.apply_late_writes()
        elif event == "crash":
            self.received[entry] = ReceivedKeys(self.now_unix, CFG)
            self.live = [call for call in self.live if call.entry != entry]
            self.records = [record for record in self.records if record[0] != entry]
        else:
            self.now += event

    @precondition(lambda self: self.records)
    @rule(fault=st.sampled_from(StoreFault))
    def record(self, fault):
        self.set_faults(fault)
        entry, outcome = self.records.pop(0)
        if not run_without_loop(self.recorder.record(outcome)):
            self.records.append((entry, outcome))

    @precondition(lambda self: self.live)
    @rule(**STEP_ARGUMENTS)
    def step(self, index, fault, reply, reached, steps):
        call = self.live[index % len(self.live)]
        for _ in range(steps):
            if call.pending:
                self.carry_out(call, fault, reply, reached)
        if not call.pending:
            self.live.remove(call)

    @precondition(lambda self: self.live)
    @rule(**STEP_ARGUMENTS)
    def another_step(self, **drawn):
        # Rules are chosen with equal weight, so a second rule makes steps more frequent.
        self.step(**drawn)

    def carry_out(self, call, fault, reply, reached):
        self.set_faults(fault)
        decision = call.pending.pop(0)
        machine = call.machine
        match decision:
            case Answer(result):
                self.answers.append((len(self.calls), call, result))
            case RecordOutcome():
                self.records.append((call.entry, decision))
            case WriteClaim(key, value, version):
                result = run_without_loop(self.store.put(key, value, version))
                call.pending += machine.on_written(self.now, result)
            case ReadClaim(key):
                found = run_without_loop(self.store.get(key))
                call.pending += machine.on_read(self.now, self.now_unix, found)
            case Wait(until):
                if self.now < until:
                    call.pending.insert(0, decision)
                else:
                    call.pending += machine.on_tick(self.now)
            case ProveNotRun():
                self.prove(call, decision, reached)
            case DispatchOnce():
                self.dispatch(call, decision, reply)

    def prove(self, call, decision, reached):
        own_keys = self.received[call.entry]
        if call.proof is None and not own_keys.void_abandoned(self.key):
            call.pending += call.machine.on_proof(False)
            return
        call.proof = call.proof if call.proof is not None else []
        peers = [entry for entry in range(3) if entry != call.entry]
        if len(call.proof) < len(peers):
            peer = self.received[peers[len(call.proof)]]
            voided = reached and peer.void(self.key, self.now_unix)
            call.proof.append(VoidAnswer(voided, peer.start_unix) if reached else None)
            call.pending.insert(0, decision)
            return
        proven = own_keys.prove_not_run(self.key, self.key_time, tuple(call.proof))
        call.pending += call.machine.on_proof(proven)

    def dispatch(self, call, decision, reply):
        if not call.clock_checked:
            # Checking the clock and sending are separate steps, so a pause can fall in between.
            call.clock_checked = self.now < decision.not_after
            if call.clock_checked:
                assert self.now < call.started + CFG.lease, "dispatched after the lease"
                call.pending.insert(0, decision)
            else:
                call.pending += call.machine.on_service(self.now, NotSent(""))
            return
        call.clock_checked = False
        call.pending += call.machine.on_deadline() if reply == "broken after" else []
        if reply in ("ok", "broken after"):
            self.runs.append(call)
        answers = {
            "ok": ServiceOutcome(200, "text/plain", f"run of {call.number}".encode()),
            "not sent": NotSent(f"backend-{len(decision.avoid)}"),
            "none left": Failure(ErrorKind.NO_BACKEND, "none left"),
        }
        result = answers.get(reply, NoResponse("backend", reply))
        call.pending += call.machine.on_service(self.now, result)

    def set_faults(self, fault):
        self.store.fault = lambda *_: fault

    @invariant()
    def runs_at_most_once(self):
        assert len(getattr(self, "runs", [])) <= 1, [call.number for call in self.runs]

    @invariant()
    def refusals_are_true(self):
        for calls_before, call, result in getattr(self, "answers", []):
            if isinstance(result, Failure) and result.ran is Ran.NO:
                # Calls received after the refusal may run; earlier ones must never run.
                ran = [run for run in self.runs if run.content == call.content]
                assert all(run.number >= calls_before for run in ran), result

    @invariant()
    def answers_are_the_run(self):
        answers = getattr(self, "answers", [])
        counts = Counter(call.number for _, call, _ in answers)
        assert all(count == 1 for count in counts.values())
        for _, call, result in answers:
            if isinstance(result, ServiceOutcome):
                (run,) = self.runs
                assert result.body == f"run of {run.number}".encode()
                assert call.content == run.content


class ClaimFleetTest(ClaimFleet.TestCase):
    """Guards against a second run and against a false "not run"."""

    settings = settings_of(max_examples=300, stateful_step_count=40)


class ClaimWalkTest(unittest.TestCase):
    """Guards against the same faults as `ClaimFleetTest`, with more but less varied sequences."""

    def test_random_walks(self):
        for seed in range(6_000):
            try:
                self.walk(random.Random(seed))
            except AssertionError as exc:
                exc.add_note(f"seed {seed}")
                raise

    def walk(self, rng):
        fleet = ClaimFleet()
        fleet.begin([rng.randrange(3) for _ in range(rng.randint(2, 3))])
        faults = [StoreFault.NONE] * 4 + list(StoreFault)
        replies = ["ok"] * 4 + ["not sent", "broken before", "broken after", "none left"]
        for _ in range(30):
            fault, action = rng.choice(faults), rng.random()
            if action < 0.1:
                fleet.call(rng.randrange(3), rng.choice([1, 8, 60]), rng.choice("aaaaab"))
            elif action < 0.2:
                fleet.event(rng.choice(["crash", "land", 0.1, 4.0, 20.0]), rng.randrange(3))
            elif action < 0.3 and fleet.records:
                fleet.record(fault)
            elif fleet.live:
                reached = rng.random() < 0.85
                fleet.step(rng.randrange(4), fault, rng.choice(replies), reached, rng.randint(1, 3))
            fleet.runs_at_most_once()
            fleet.refusals_are_true()
            fleet.answers_are_the_run()


class StubService:
    """Service that counts its runs and gives the configured replies in order."""

    def __init__(self, *replies):
        self.replies = list(replies)
        self.runs: Counter[str] = Counter()

    async def call(self, req, avoid, not_after):
        reply = self.replies.pop(0) if self.replies else "ok"
        await asyncio.sleep(0)
        if reply == "refuse":
            return NotSent(f"backend-{len(avoid)}")
        self.runs[req.idempotency_key] += 1
        if reply == "hang":
            await asyncio.sleep(60)
        if reply == "slow":
            await asyncio.sleep(0.3)
        if reply == "break":
            return NoResponse("backend-0", "reset")
        return ServiceOutcome(201, "text/plain", b"booked")


class StubPeers:
    """The other entries, as seen by a runner."""

    def __init__(self, received):
        self.received = received

    async def void(self, claim_key):
        return tuple(
            VoidAnswer(peer.void(claim_key, START_UNIX), peer.start_unix) for peer in self.received
        )


class ClaimRunnerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a second run, excessive waits and lost outcomes in the I/O layer."""

    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.service = StubService()
        self.received = [ReceivedKeys(START_UNIX - 1_000, CFG) for _ in range(3)]
        self.recorders = [OutcomeRecorder(self.store, PLATFORM, random.Random(0)) for _ in range(3)]
        self.tasks = [asyncio.create_task(recorder.run()) for recorder in self.recorders]
        self.runners = [
            ClaimRunner(
                make_settings(0, f"entry-{index}"),
                self.store,
                self.service,
                StubPeers([peer for peer in self.received if peer is not received]),
                received,
                self.recorders[index],
                clock_unix=lambda: START_UNIX,
            )
            for index, received in enumerate(self.received)
        ]

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()

    async def call(self, entry=0, number=0, wait=2.0, timeout=5.0):
        deadline = asyncio.get_running_loop().time() + wait
        req = ClaimRequest(
            "w", "s", key_text(START_UNIX, number), "POST", "/b", b"", deadline, timeout
        )
        return await self.runners[entry].run(req)

    def set_fault(self, fault, operations=("put", "get", "list", "delete")):
        self.store.fault = lambda op, key: fault if op in operations else StoreFault.NONE

    async def test_duplicates_through_all_entries_get_one_run(self):
        self.service.replies = ["refuse", "slow"]
        results = await asyncio.gather(*(self.call(number % 3) for number in range(9)))
        self.assertEqual({result.body for result in results}, {b"booked"})
        self.assertEqual(sorted(result.repeated for result in results), [False] + [True] * 8)
        self.assertEqual(sum(self.service.runs.values()), 1)

    async def test_lost_response_to_the_claim_write_does_not_prevent_the_run(self):
        self.set_fault(StoreFault.LOST_ANSWER, ("put",))
        self.assertEqual((await self.call()).status, 201)

    async def test_outcome_of_a_broken_run_stays_unknown(self):
        self.service.replies = ["break"]
        for entry in (0, 1):
            self.assertEqual((await self.call(entry)).kind, ErrorKind.OUTCOME_UNKNOWN)
            await self.runners[entry].settle()
        self.assertEqual(sum(self.service.runs.values()), 1)

    async def test_call_during_an_outage_is_refused_with_proof_and_recorded_afterwards(self):
        self.set_fault(StoreFault.REFUSED)
        refusal = await self.call()
        self.assertEqual((refusal.kind, refusal.ran), (ErrorKind.PLATFORM_UNAVAILABLE, Ran.NO))
        self.set_fault(StoreFault.NONE)
        await self.runners[0].settle()
        for entry in range(3):
            self.assertEqual((await self.call(entry)).ran, Ran.NO)
        self.assertEqual(sum(self.service.runs.values()), 0)

    async def test_outage_without_proof_leaves_the_run_unknown(self):
        await self.call(1)
        self.set_fault(StoreFault.REFUSED)
        self.assertEqual((await self.call(0)).ran, Ran.UNKNOWN)

    async def test_no_proof_after_a_restart_or_with_unknown_peers(self):
        self.set_fault(StoreFault.REFUSED)
        self.received[2].start_unix = START_UNIX - CFG.future_skew + 1
        self.assertEqual((await self.call(0, 1)).ran, Ran.UNKNOWN, "restarted peer")
        self.assertEqual((await self.call(2, 2)).ran, Ran.UNKNOWN, "restarted itself")
        self.runners[0].key_voider.void = self._unknown_peers
        self.assertEqual((await self.call(0, 3)).ran, Ran.UNKNOWN, "unknown peers")

    async def _unknown_peers(self, claim_key):
        return None

    async def test_voided_key_is_refused_before_the_proof_is_complete(self):
        self.set_fault(StoreFault.REFUSED)
        # Stops the recorder, because a recorded refusal would mask a key that is wrongly accepted.
        self.tasks[0].cancel()
        peers, late = self.runners[0].key_voider, []

        async def void(claim_key):
            answers = await StubPeers(peers.received).void(claim_key)
            self.set_fault(StoreFault.NONE)
            late.extend([await self.call(entry) for entry in (0, 1)])
            return answers

        peers.void = void
        self.assertEqual((await self.call(0)).ran, Ran.NO)
        self.assertEqual([refusal.ran for refusal in late], [Ran.NO, Ran.NO])
        self.assertEqual(sum(self.service.runs.values()), 0)

    async def test_concurrent_call_at_the_same_entry_prevents_the_proof(self):
        put = self.store.put

        async def refuse_first(*args):
            self.store.put = put
            self.set_fault(StoreFault.REFUSED)
            refused = await put(*args)
            self.set_fault(StoreFault.NONE)
            # The second call arrives before the first one is abandoned, and creates the claim.
            self.second = asyncio.create_task(self.call(0))
            await asyncio.sleep(0)
            return refused

        self.store.put = refuse_first
        self.assertEqual((await self.call(0)).ran, Ran.UNKNOWN)
        self.assertEqual((await self.second).status, 201)

    async def test_hanging_platform_times_out_within_the_settle_timeout(self):
        async def hang(*_):
            await asyncio.sleep(60)

        self.store.put = hang
        began = asyncio.get_running_loop().time()
        self.assertEqual((await self.call(wait=30)).kind, ErrorKind.PLATFORM_UNAVAILABLE)
        self.assertLess(asyncio.get_running_loop().time() - began, 2.5)

    async def test_deadline_gives_unknown_and_the_outcome_is_recorded(self):
        self.service.replies = ["slow"]
        self.assertEqual((await self.call(wait=0.6, timeout=5)).status, 201)
        self.service.replies = ["slow"]
        early = await self.call(number=1, wait=0.2)
        self.assertEqual(early.kind, ErrorKind.OUTCOME_UNKNOWN)
        await self.runners[0].settle()
        self.assertEqual((await self.call(1, number=1)).body, b"booked")

    async def test_caller_disconnect_does_not_stop_the_run(self):
        self.service.replies = ["slow"]
        task = asyncio.create_task(self.call())
        await asyncio.sleep(0.05)
        task.cancel()
        await self.runners[0].settle()
        self.assertEqual((await self.call(1)).body, b"booked")
        self.assertEqual(sum(self.service.runs.values()), 1)

    async def test_random_faults_never_run_twice(self):
        rng = random.Random(7)
        self.store.fault = lambda *_: rng.choice([StoreFault.NONE] * 4 + list(StoreFault))
        self.service.replies = rng.choices(["ok", "refuse", "break", "slow"], k=200)
        calls = [(entry, number) for number in range(40) for entry in (0, 1, 2, 0)]
        calls += [(number % 3, number) for number in range(40, 100)]
        rng.shuffle(calls)
        results = await asyncio.gather(*(self.call(entry, number) for entry, number in calls))
        self.store.apply_late_writes()
        self.set_fault(StoreFault.NONE)
        for runner in self.runners:
            await runner.settle()
        self.assertLessEqual(max(self.service.runs.values()), 1)
        refused = [
            self.service.runs[key_text(START_UNIX, number)]
            for (_, number), result in zip(calls, results, strict=True)
            if isinstance(result, Failure) and result.ran is Ran.NO
        ]
        self.assertEqual(sum(refused), 0)
        self.assertGreater(len(refused), 0)
        self.assertGreater(len(self.service.runs), 20)


class ClaimOverTcpTest(unittest.IsolatedAsyncioTestCase):
    """Guards against faults that only occur with real connections."""

    async def test_lost_responses_and_an_outage_over_tcp(self):
        platform = PlatformServer()
        server = create_server(platform)
        sock = socket.create_server(("127.0.0.1", 0))
        serving = asyncio.create_task(server.serve(sockets=[sock]))
        service = StubService()
        received = [ReceivedKeys(START_UNIX - 1_000, CFG) for _ in range(3)]
        runners, tasks = [], []
        for index, keys in enumerate(received):
            cfg = make_settings(sock.getsockname()[1], f"entry-{index}")
            # On a busy machine a slow response must not count as an outage, so every timeout of a
            # platform call exceeds the time that all calls take together.
            cfg = replace(
                cfg,
                platform=replace(cfg.platform, timeout=15),
                claims=replace(cfg.claims, settle_timeout=15, lease=15),
            )
            client = ObjectClient(cfg)
            recorder = OutcomeRecorder(client, PLATFORM, random.Random(index))
            tasks.append(asyncio.create_task(recorder.run()))
            peers = StubPeers([peer for peer in received if peer is not keys])
            runners.append(
                ClaimRunner(
                    cfg, client, service, peers, keys, recorder, clock_unix=lambda: START_UNIX
                )
            )
        platform.set_faults(PlatformFaults(lose_answers=0.3, seed=1))
        pairs = [(number, entry) for number in range(30) for entry in (number, number + 1)]
        results = await self.gather(runners, pairs)
        self.assertEqual({found.body for _, found in results}, {b"booked"})
        platform.set_faults(PlatformFaults(outage=FaultMode.REFUSE))
        results += await self.gather(runners, [(number, number) for number in range(30, 40)])
        platform.set_faults(PlatformFaults())
        for runner in runners:
            await runner.settle()
        self.assertEqual(set(service.runs.values()), {1})
        refused = [key for key, found in results if getattr(found, "ran", None) is Ran.NO]
        self.assertEqual([service.runs[key] for key in refused], [0] * len(refused))
        self.assertEqual((len(refused), len(service.runs)), (10, 30))
        for task in tasks:
            task.cancel()
        server.should_exit = True
        await serving

    async def gather(self, runners, calls):
        return await asyncio.gather(
            *(self.call(runners[entry % 3], number) for number, entry in calls)
        )

    async def call(self, runner, number):
        key = key_text(START_UNIX, number)
        deadline = runner.clock() + 20
        req = ClaimRequest("w", "s", key, "POST", "/b", b"", deadline, 1)
        return key, await runner.run(req)


class ClaimCollectorTest(unittest.IsolatedAsyncioTestCase):
    """Guards against deleting a claim whose key is still accepted."""

    async def test_only_old_buckets_are_deleted_and_the_work_is_divided(self):
        store = MemoryStore()
        now = [START_UNIX]
        for age in range(0, 172_800, 3_600):
            key = parse_idempotency_key(key_text(START_UNIX - age), START_UNIX - age, CFG)
            await store.put(key.claim_key("w", "s", CFG), b"", 0)
        cfg = ClaimSettings(collect_rate=1_000)
        collectors = [
            ClaimCollector(store, cfg, lambda index=index: (index, 2), lambda: now[0])
            for index in range(2)
        ]
        for collector in collectors:
            await collector.collect()
        self.assertEqual(sum(collector.deleted for collector in collectors), 23)
        self.assertTrue(all(collector.deleted for collector in collectors))
        accepted = CFG.window // 3_600 + 1
        self.assertEqual(len(store.table.list("claims/", "", 100).objects), accepted)
        result = await store.delete("claims/x", 1)
        self.assertEqual(result.status, WriteStatus.CONFLICT)
