"""Tests of the attribution of engine deaths to requests."""

from __future__ import annotations

import random
import unittest

from hypothesis import example, given, settings
from hypothesis import strategies as st

from sapphireledge.core.quarantine import (
    ClearingRecord,
    ClearVerdict,
    DeathRecord,
    IsolateVerdict,
    Quarantine,
    fingerprint_request,
)
from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.settings import QuarantineSettings

CFG = QuarantineSettings()
START = 1_000_000.0


def is_condemned(verdict) -> bool:
    return isinstance(verdict, Failure) and verdict.kind is ErrorKind.REQUEST_CONDEMNED


class Fleet:
    """Nine entries that exchange death records with a delay, and engines that restart at once."""

    def __init__(self, rng: random.Random, delay: float, engines: int = 16):
        self.rng = rng
        self.delay = delay
        self.entries = [Quarantine(CFG) for _ in range(9)]
        self.boot_counts = dict.fromkeys((f"engine-{i}" for i in range(engines)), 0)
        self.in_transit: list[tuple[float, int, DeathRecord]] = []

    def deliver(self, now: float) -> None:
        self.rng.shuffle(self.in_transit)
        for at, entry, record in self.in_transit:
            if at <= now:
                self.entries[entry].on_engine_death(now, record)
        self.in_transit = [item for item in self.in_transit if item[0] > now]

    def crash_engine(self, now: float, engine: str, reports: dict[int, DeathRecord]) -> None:
        """Reports the death from each entry with requests there; the others receive it later."""
        self.boot_counts[engine] += 1
        for reporter, record in reports.items():
            self.entries[reporter].on_engine_death(now, record)
            for entry in range(9):
                # Some records are delivered twice.
                for _ in range(self.rng.choice((1, 1, 2))):
                    self.in_transit.append((now + self.rng.random() * self.delay, entry, record))


class QuarantineTest(unittest.TestCase):
    """Guards against requests that keep crashing engines, and against rejecting innocent ones."""

    @settings(max_examples=200)
    @example(seed=0, delay=0.2, pause=0.0)
    @given(seed=st.integers(0, 2**32), delay=st.floats(0.0, 0.5), pause=st.floats(0.0, 5.0))
    def test_crashing_request_is_condemned_after_four_deaths(self, seed, delay, pause):
        """Guards against a crashing request that is retried through other entries without limit.

        Records are propagated before the caller retries.
        """
        rng = random.Random(seed)
        fleet = Fleet(rng, delay)
        now, deaths = START, 0
        # Far more retries than the entries need to condemn the request.
        for _ in range(100):
            now += delay + max(0.05, pause * rng.random())
            fleet.deliver(now)
            entry = rng.randrange(9)
            verdict = fleet.entries[entry].verdict(now, "killer")
            if isinstance(verdict, Failure):
                self.assertIs(verdict.ran, Ran.NO)
                continue
            deaths += 1
            self.assertLessEqual(deaths, 4)
            isolated = ("killer",) if isinstance(verdict, IsolateVerdict) else ()
            engine = rng.choice(sorted(fleet.boot_counts))
            reports = {entry: self.record(fleet, engine, now, ("killer", f"n{deaths}"), isolated)}
            other = rng.randrange(9)
            if other != entry:
                reports[other] = self.record(fleet, engine, now + 0.01, (f"m{deaths}",), ())
            fleet.crash_engine(now, engine, reports)
        now += 10.0
        fleet.deliver(now)
        for entry in fleet.entries:
            self.assertTrue(is_condemned(entry.verdict(now, "killer")))
            self.assertFalse(is_condemned(entry.verdict(now, "n1")))

    @settings(max_examples=300)
    @given(st.integers(0, 2**32), st.integers(3, 10), st.floats(0.0, 0.3))
    def test_rack_loss_condemns_no_request(self, seed, rack, delay):
        """Guards against condemning requests that ran on, or were moved to, engines of a lost rack.

        The engines of the rack die one after another within the burst window, and requests are
        moved to engines that die next.
        """
        rng = random.Random(seed)
        fleet = Fleet(rng, delay, engines=rack + 2)
        engines = sorted(fleet.boot_counts)
        dying = rng.sample(engines, rack)
        times = sorted(START + rng.random() * CFG.burst_window for _ in dying)
        # Each request is always sent through the same entry.
        placement = {f"request-{i}": rng.choice(engines) for i in range(3 * rack)}
        entry_of = {name: rng.randrange(9) for name in placement}
        isolated: set[str] = set()
        alive = list(engines)
        for now, engine in zip(times, dying, strict=True):
            fleet.deliver(now)
            alive.remove(engine)
            lost = [name for name, at in placement.items() if at == engine]
            reports = {0: self.record(fleet, engine, now, (), ())}
            for entry in {entry_of[name] for name in lost}:
                local_requests = tuple(name for name in lost if entry_of[name] == entry)
                isolated_here = tuple(name for name in local_requests if name in isolated)
                reports[entry] = self.record(fleet, engine, now, local_requests, isolated_here)
            fleet.crash_engine(now, engine, reports)
            for name in lost:
                verdict = fleet.entries[entry_of[name]].verdict(now, name)
                self.assertFalse(is_condemned(verdict), name)
                if isinstance(verdict, Failure):
                    placement[name] = ""
                    continue
                placement[name] = rng.choice(alive)
                if isinstance(verdict, IsolateVerdict):
                    isolated.add(name)
        for now in (times[-1] + 0.1, times[-1] + 1.0, times[-1] + 10.0):
            fleet.deliver(now)
            for entry in fleet.entries:
                for name in placement:
                    self.assertFalse(is_condemned(entry.verdict(now, name)), name)

    @settings(max_examples=300)
    @given(st.integers(0, 2**32), st.integers(1, 12))
    def test_order_and_repetition_do_not_matter(self, seed, count):
        """Guards against instances that reach different verdicts from the same records."""
        rng = random.Random(seed)
        names = ("a", "b", "c")
        events: list[DeathRecord | ClearingRecord] = []
        for i in range(count):
            at = START + rng.random() * 20.0
            suspects = tuple(rng.sample(names, rng.randrange(4)))
            isolated = suspects[:1] if rng.random() < 0.5 else ()
            events.append(DeathRecord(f"e{rng.randrange(4)}", str(i % 5), at, suspects, isolated))
            if rng.random() < 0.2:
                events.append(ClearingRecord(rng.choice(names), START + rng.random() * 20.0))
        outcomes = []
        for _ in range(2):
            shuffled = rng.sample(events, len(events)) + rng.sample(events, len(events) // 2)
            quarantine = Quarantine(CFG)
            for event in shuffled:
                if isinstance(event, ClearingRecord):
                    quarantine.on_cleared(START + 20.0, event)
                else:
                    quarantine.on_engine_death(START + 20.0, event)
            verdicts = [quarantine.verdict(START + 30.0, name) for name in names]
            outcomes.append((verdicts, quarantine.records()))
        self.assertEqual(outcomes[0], outcomes[1])

    def test_steps_from_clear_to_condemned(self):
        quarantine = Quarantine(CFG)
        self.assertEqual(quarantine.verdict(START, "k"), ClearVerdict(0))
        self.add(quarantine, START, "e1", "k")
        self.assertEqual(quarantine.verdict(START, "k"), ClearVerdict(1))
        self.add(quarantine, START + 5, "e2", "k")
        self.assertEqual(quarantine.verdict(START + 5, "k"), IsolateVerdict(2))
        self.add(quarantine, START + 10, "e3", "k")
        self.assertIsInstance(quarantine.verdict(START + 13, "k"), IsolateVerdict)
        self.add(quarantine, START + 15, "e4", "k", isolated=True)
        self.assertTrue(is_condemned(quarantine.verdict(START + 15, "k")))
        (state,) = [s for s in quarantine.suspects(START + 15) if s.state == "condemned"]
        self.assertEqual(state.backends, ("e1", "e2", "e3", "e4"))

    def test_same_incarnation_counts_once(self):
        """Guards against counting a death once for each instance that reports it."""
        quarantine = Quarantine(CFG)
        for at in (START, START + 0.1, START + 0.2):
            quarantine.on_engine_death(at, DeathRecord("e1", "boot", at, ("k",), ("k",)))
        self.assertEqual(quarantine.verdict(START + 1, "k"), ClearVerdict(1))

    def test_two_isolated_requests_on_one_engine_prove_nothing(self):
        """Guards against condemning a request for a crash by another instance's suspect."""
        quarantine = Quarantine(CFG)
        for name in ("k", "innocent"):
            self.add(quarantine, START, f"1{name}", name)
            self.add(quarantine, START + 10, f"2{name}", name)
        quarantine.on_engine_death(START + 20, DeathRecord("e", "b", START + 20, ("k",), ("k",)))
        both = DeathRecord("e", "b", START + 20, ("innocent",), ("innocent",))
        quarantine.on_engine_death(START + 20, both)
        for name in ("k", "innocent"):
            self.assertIsInstance(quarantine.verdict(START + 30, name), IsolateVerdict)

    def test_isolation_counts_only_for_the_single_isolated_request(self):
        """Guards against proof from an engine that ran two isolated requests.

        Deaths of the other request may not have been received yet.
        """
        quarantine = Quarantine(CFG)
        self.add(quarantine, START, "e1", "k")
        self.add(quarantine, START + 10, "e2", "k")
        at = START + 20
        quarantine.on_engine_death(at, DeathRecord("e3", "b", at, ("k", "x"), ("k", "x")))
        self.assertIsInstance(quarantine.verdict(at + 10, "k"), IsolateVerdict)

    def test_strongly_suspected_request_beside_an_isolated_one_proves_nothing(self):
        """Guards against condemning one of two requests that may each have caused the death."""
        quarantine = Quarantine(CFG)
        for name in ("k", "x"):
            self.add(quarantine, START, f"1{name}", name)
            self.add(quarantine, START + 10, f"2{name}", name)
        at = START + 20
        quarantine.on_engine_death(at, DeathRecord("e3", "b", at, ("k", "x"), ("k",)))
        self.assertIsInstance(quarantine.verdict(at + 10, "k"), IsolateVerdict)

    def test_deaths_in_bursts_are_not_counted(self):
        """Guards against suspecting a request that was running in three successive rack losses."""
        quarantine = Quarantine(CFG)
        for loss in range(3):
            at = START + 100 * loss
            for i in range(CFG.burst_size):
                self.add(quarantine, at + 0.9 * i, f"e{loss}{i}", "k" if i == loss else f"n{i}")
            self.assertEqual(quarantine.verdict(at + 10, "k"), ClearVerdict(0))
        for i in range(CFG.burst_size):
            # As many deaths further apart, or with a shared suspect, are not a burst.
            self.add(quarantine, START + 1000 + 1.1 * i, f"f{i}", "far" if i else "k")
            suspects = ("k", "shared")
            at = START + 2000 + i / 10
            quarantine.on_engine_death(at, DeathRecord(f"s{i}", "b", at, suspects))
        self.assertEqual(quarantine.verdict(START + 3000, "k"), IsolateVerdict(4))

    def test_completion_lift_and_expiry_clear(self):
        for way in ("completed", "lifted", "expired"):
            with self.subTest(way):
                quarantine = Quarantine(CFG)
                for i in range(3):
                    self.add(quarantine, START + 10 * i, f"e{i}", "k", isolated=i == 2)
                self.assertTrue(is_condemned(quarantine.verdict(START + 30, "k")))
                now = START + 40
                if way == "completed":
                    self.assertIsNotNone(quarantine.on_completed(now, "k"))
                elif way == "lifted":
                    self.assertIsNotNone(quarantine.lift(now, "k", "operator", "engine bug fixed"))
                else:
                    now = START + 20 + CFG.retention + 1
                self.assertEqual(quarantine.verdict(now, "k"), ClearVerdict(0))
                self.add(quarantine, now + 1, "e9", "k")
                self.assertEqual(quarantine.verdict(now + 1, "k"), ClearVerdict(1))

    def test_clearing_that_arrives_before_the_death_applies(self):
        quarantine = Quarantine(CFG)
        quarantine.on_cleared(START + 6, ClearingRecord("k", START + 5))
        self.add(quarantine, START + 4, "e1", "k")
        self.assertEqual(quarantine.verdict(START + 6, "k"), ClearVerdict(0))

    def test_expired_records_free_their_memory(self):
        quarantine = Quarantine(CFG)
        self.add(quarantine, START, "e1", "k")
        quarantine.on_completed(START + 1, "k")
        quarantine.expire(START + 2 + CFG.retention)
        self.assertEqual(quarantine.records(), ())
        self.assertFalse(quarantine._by_fingerprint or quarantine._cleared_at)

    def test_encoding(self):
        record = DeathRecord("e1", "b1", START, ("k", "x"), ("k",))
        self.assertEqual(DeathRecord.decode(record.encode()), record)
        self.assertIsInstance(DeathRecord.decode(b"{"), Failure)
        cleared = ClearingRecord("k", START, "operator", "fixed")
        self.assertEqual(ClearingRecord.decode(cleared.encode()), cleared)

    def test_fingerprint_ignores_identity_but_not_content(self):
        body = {"model": "m", "messages": [{"role": "user", "content": "x"}], "id": "1"}
        again = {"id": "2", "messages": [{"content": "x", "role": "user"}], "model": "m"}
        self.assertEqual(fingerprint_request(body), fingerprint_request(again))
        self.assertNotEqual(fingerprint_request(body), fingerprint_request(body | {"seed": 1}))

    @staticmethod
    def record(fleet, engine, now, suspects, isolated) -> DeathRecord:
        return DeathRecord(engine, f"{engine}-{fleet.boot_counts[engine]}", now, suspects, isolated)

    @staticmethod
    def add(quarantine, at, engine, name, isolated=False):
        record = DeathRecord(engine, f"b{at}", at, (name,), (name,) if isolated else ())
        quarantine.on_engine_death(at, record)
