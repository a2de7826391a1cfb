"""Tests of the attribution of engine deaths to shared parts of prompts."""

from __future__ import annotations

import asyncio
import random
import time
import unittest
from types import SimpleNamespace

from hypothesis import given, settings
from hypothesis import strategies as st

from sapphireledge.backends import CallFailure, CallFailureCause
from sapphireledge.core.quarantine import (
    PART_PREFIX,
    ClearingRecord,
    ClearVerdict,
    CrashReport,
    DeathRecord,
    Quarantine,
    RequestContent,
    RunningRequests,
    ServiceSize,
)
from sapphireledge.entry.death_checker import DeathChecker
from sapphireledge.entry.parse_request import parse_request
from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.settings import CallerSettings, QuarantineSettings

CFG = QuarantineSettings()
START = 1_000_000.0
STEP = CFG.burst_window


def is_condemned(verdict) -> bool:
    return isinstance(verdict, Failure) and verdict.kind is ErrorKind.REQUEST_CONDEMNED


def death(number: int, at: float, **begun: tuple[str, ...]) -> DeathRecord:
    return DeathRecord(f"engine-{number}", "boot", at, tuple(sorted(begun)), begun=begun)


class CrashingPartsTest(unittest.TestCase):
    """Guards against parts that crash engine after engine, and against refusing sound parts."""

    def setUp(self):
        self.quarantine = Quarantine(CFG)

    def add(self, *deaths: DeathRecord) -> float:
        for record in deaths:
            self.quarantine.on_engine_death(record.time_unix, record)
        return max(record.time_unix for record in deaths) + 0.1

    def judge(self, now: float, *parts: str, fingerprint: str = "new"):
        return self.quarantine.verdict(now, fingerprint, parts)

    def test_part_shared_by_different_requests_is_condemned(self):
        """Guards against taking deaths of different requests for a burst with a common cause."""
        now = self.add(*(death(i, START + i * STEP, **{f"r{i}": ("a", "bad")}) for i in range(3)))
        verdict = self.judge(now, "a", "bad")
        self.assertTrue(is_condemned(verdict))
        self.assertIs(verdict.ran, Ran.NO)
        self.assertEqual(self.judge(now, "a", "other"), ClearVerdict())
        self.assertEqual(self.judge(now, "other"), ClearVerdict())

    def test_fast_deaths_of_different_requests_are_condemned(self):
        """Guards against a burst rule that hides a part which crashes several engines a second."""
        now = self.add(
            *(death(i, START + 0.15 * STEP * i, **{f"r{i}": ("bad",)}) for i in range(8))
        )
        self.assertTrue(is_condemned(self.judge(now, "bad")))

    def test_part_that_engines_survive_is_not_condemned(self):
        """Guards against refusing sound requests that share another part with those that crash."""
        now = START
        for i in range(8):
            now = self.add(death(i, START + i * STEP, **{f"r{i}": ("a", "bad" if i else "b")}))
            self.quarantine.on_survived(now, ("a",))
        self.assertTrue(is_condemned(self.judge(now, "a", "bad")))
        self.assertEqual(self.judge(now, "a", "mine"), ClearVerdict())

    def test_survival_elsewhere_clears_a_part(self):
        """Guards against instances that refuse a part which another instance sees survive."""
        other = Quarantine(CFG)
        records = [death(i, START + i * STEP, **{f"r{i}": ("a",)}) for i in range(4)]
        for record in records:
            other.on_engine_death(record.time_unix, record)
        now = self.add(*records)
        self.assertTrue(is_condemned(self.judge(now, "a")))
        other.on_survived(now, ("a",))
        clearings = other.take_clearings(now)
        self.assertEqual([c.fingerprint for c in clearings], [PART_PREFIX + "a"])
        self.assertEqual(other.take_clearings(now), ())
        self.quarantine.on_cleared(now, clearings[0])
        self.assertEqual(self.judge(now, "a"), ClearVerdict())

    def test_repeated_request_is_not_attributed_to_its_part(self):
        """Guards against refusing a part because one request with it is repeated."""
        now = self.add(*(death(i, START + i * STEP, same=("a", "b")) for i in range(5)))
        self.assertEqual(self.judge(now, "a", "b"), ClearVerdict())
        self.assertNotIsInstance(self.judge(now, fingerprint="same"), ClearVerdict)

    def test_request_beside_a_crashing_part_is_not_condemned(self):
        """Guards against condemning a sound request that was on engines which a part crashed."""
        now = self.add(
            *(
                death(i, START + i * STEP, **{f"r{i}": ("bad",), "sound": ("mine",)})
                for i in range(4)
            )
        )
        self.assertTrue(is_condemned(self.judge(now, "bad")))
        self.assertEqual(self.judge(now, "mine", fingerprint="sound"), ClearVerdict())

    def test_loss_of_a_data_centre_condemns_no_part(self):
        """Guards against refusing a popular part because many engines died at once."""
        now = self.add(
            *(death(i, START + 0.01 * i, **{f"r{i}": ("popular",)}) for i in range(6)),
        )
        self.assertEqual(self.judge(now, "popular"), ClearVerdict())

    def test_loss_of_other_engines_does_not_excuse_a_part(self):
        """Guards against accepting a part again because other engines are lost beside it."""
        bad = [death(i, START + 0.6 * STEP * i, **{f"r{i}": ("a", "bad")}) for i in range(4)]
        lost = [DeathRecord(f"x{i}", "b", START + 1.9 * STEP, (f"x{i}",)) for i in range(3)]
        now = self.add(*bad, *lost)
        self.assertTrue(is_condemned(self.judge(now, "bad")))

    def test_end_of_idle_engines_does_not_excuse_a_part(self):
        """Guards against weighing engines that ran nothing, whose end is noticed seconds late."""
        bad = [death(i, START + 0.6 * STEP * i, **{f"r{i}": ("a", "bad")}) for i in range(4)]
        idle = [DeathRecord(f"x{i}", "b", START + 0.3 * i) for i in range(12)]
        now = self.add(*bad, *idle)
        self.assertTrue(is_condemned(self.judge(now, "bad")))

    @settings(max_examples=100)
    @given(st.integers(0, 2**32), st.integers(9, 60), st.floats(0.1, 0.5))
    def test_repeated_losses_condemn_no_part(self, seed, engines, begun_share):
        """Guards against refusing parts whose requests met several losses of many engines.

        A third of the engines is lost every few seconds. Requests there are sent on; the parts of
        those elsewhere survive.
        """
        rng = random.Random(seed)
        quarantine = Quarantine(CFG)
        parts = [f"m{i}" for i in range(4 * engines)]
        pending: list[tuple[str, tuple[str, ...]]] = []
        now = START
        for wave in range(6):
            now += STEP * rng.uniform(1.5, 3.0)
            lost = set(rng.sample(range(engines), engines // 3))
            new = [(f"r{wave}-{i}", ("p", rng.choice(parts))) for i in range(2 * engines)]
            placed = [(rng.randrange(engines), request) for request in (*pending, *new)]
            pending = [request for engine, request in placed if engine in lost]
            for engine in lost:
                here = [request for other, request in placed if other == engine]
                begun = {name: has for name, has in here if rng.random() < begun_share}
                names = tuple(sorted(name for name, _ in here))
                record = DeathRecord(f"e{engine}", f"b{wave}", now, names, begun=begun)
                quarantine.on_engine_death(now, record)
            for engine, (_, has) in placed:
                if engine not in lost:
                    quarantine.on_survived(now + 0.3, has)
            self.assertEqual(quarantine.crashing_parts(now + 0.4), frozenset())

    def test_requests_that_were_only_queued_prove_nothing(self):
        """Guards against blaming requests that the engine had not begun to answer."""
        records = [
            DeathRecord(f"e{i}", "b", START + i * STEP, (f"q{i}", f"r{i}"), begun={f"r{i}": ("b",)})
            for i in range(4)
        ]
        now = self.add(*records)
        self.assertEqual(self.judge(now, fingerprint="q1"), ClearVerdict())

    def test_lift_and_expiry_accept_the_part_again(self):
        """Guards against a part that stays refused after its cause is gone."""
        now = self.add(*(death(i, START + i * STEP, **{f"r{i}": ("bad",)}) for i in range(3)))
        self.assertIn(PART_PREFIX + "bad", [s.fingerprint for s in self.quarantine.suspects(now)])
        self.assertIsNotNone(self.quarantine.lift(now, PART_PREFIX + "bad", "ops", "fixed"))
        self.assertEqual(self.judge(now, "bad"), ClearVerdict())
        late = now + CFG.retention + 10
        self.add(*(death(9 + i, late + i * STEP, **{f"s{i}": ("worse",)}) for i in range(3)))
        self.assertTrue(is_condemned(self.judge(late + 3 * STEP, "worse")))
        end = late + CFG.part_retention + 3 * STEP
        self.assertEqual(self.judge(end, "worse"), ClearVerdict())
        self.quarantine.expire(late + CFG.retention + 3 * STEP)
        self.assertFalse(self.quarantine.has_deaths)

    @settings(max_examples=200)
    @given(st.integers(0, 2**32), st.integers(3, 12))
    def test_order_and_repetition_do_not_matter(self, seed, count):
        """Guards against instances that refuse different parts after the same records."""
        rng = random.Random(seed)
        parts = ("a", "b", "c", "d")
        events: list[DeathRecord | ClearingRecord] = []
        for i in range(count):
            at = START + rng.random() * 20.0
            begun = {
                f"r{rng.randrange(6)}": tuple(sorted(rng.sample(parts, rng.randrange(1, 4))))
                for _ in range(rng.randrange(1, 3))
            }
            # A request has the same parts wherever it runs.
            begun = {f"{name}-{'-'.join(has)}": has for name, has in begun.items()}
            events.append(death(i, at, **begun))
            if rng.random() < 0.2:
                events.append(ClearingRecord(PART_PREFIX + rng.choice(parts), at))
        verdicts = set()
        for _ in range(3):
            quarantine = Quarantine(CFG)
            rng.shuffle(events)
            for item in (*events, *rng.sample(events, 2)):
                if isinstance(item, DeathRecord):
                    quarantine.on_engine_death(START + 20.0, item)
                else:
                    quarantine.on_cleared(START + 20.0, item)
            verdicts.add(quarantine.crashing_parts(START + 20.0))
        self.assertEqual(len(verdicts), 1)

    @settings(max_examples=100)
    @given(st.integers(0, 2**32), st.floats(0.2, 1.4), st.floats(0.0, 1.5))
    def test_fleet_stops_in_time_and_refuses_nothing_sound(self, seed, gap, delay):
        """Guards against more than three sends later than 4 s after the fifth crash.

        Nine instances exchange records with a delay. Bad requests come at any of them, each with a
        sound part beside the bad one; sound requests with that part survive.
        """
        rng = random.Random(seed)
        entries = [Quarantine(CFG) for _ in range(9)]
        transit: list[tuple[float, object]] = []
        crashes: list[float] = []
        now, late = START, 0
        for i in range(120):
            now += gap * rng.uniform(0.5, 1.5)
            for item in [item for item in transit if item[0] <= now]:
                transit.remove(item)
                for entry in entries:
                    if isinstance(item[1], DeathRecord):
                        entry.on_engine_death(now, item[1])
                    else:
                        entry.on_cleared(now, item[1])
            entry = rng.choice(entries)
            if rng.random() < 0.5:
                self.assertEqual(entry.verdict(now, f"s{i}", ("a", f"x{i % 3}")), ClearVerdict())
                entry.on_survived(now, ("a", f"x{i % 3}"))
                transit += [(now + delay, c) for c in entry.take_clearings(now)]
                continue
            # One request in three is a repetition.
            name = f"r{i - rng.randrange(3)}"
            if isinstance(entry.verdict(now, name, ("a", "bad")), Failure):
                continue
            late += len(crashes) >= 5 and now > crashes[4] + 4.0
            crashes.append(now)
            record = death(i, now, **{name: ("a", "bad")})
            entry.on_engine_death(now, record)
            transit.append((now + delay, record))
        self.assertLessEqual(late, 3)


class RunningRequestsTest(unittest.TestCase):
    """Guards against blaming requests by a stage that they had passed or not reached."""

    def test_stages(self):
        running = RunningRequests()
        for name in ("queued", "begun", "first", "going", "elsewhere"):
            backend = "e2" if name == "elsewhere" else "e1"
            running.add(0.0, name, backend, RequestContent(name, (f"p-{name}",)))
        running.on_begun("begun")
        self.assertIsNone(running.on_progress(10.0, "first"))
        self.assertIsNone(running.on_progress(10.0, "going"))
        survived = running.on_progress(10.3, "going")
        self.assertEqual(survived, RequestContent("going", ("p-going",)))
        self.assertIsNone(running.on_progress(10.4, "going"))
        record = running.record_death(11.0, START, "e1", "b", ServiceSize())
        self.assertEqual(record.suspects, ("begun", "first", "going", "queued"))
        self.assertEqual(record.begun, {"begun": ("p-begun",), "first": ("p-first",)})
        running.remove(11.0, "begun")
        running.remove(11.0, "unknown")
        self.assertEqual(
            set(running.record_death(11.0, START, "e1", "b", ServiceSize()).begun), {"first"}
        )


class CrashReportTest(unittest.TestCase):
    """Guards against reports that lose deaths, grow without bound or cannot be read."""

    def test_merge_keeps_the_newest_and_drops_the_expired(self):
        old = CrashReport(deaths=(death(0, START, r=("a",)),))
        new = CrashReport(
            deaths=tuple(death(i, START + 100 + i, r=("a",)) for i in range(1, 50)),
            clearings=(ClearingRecord("x", START), ClearingRecord("x", START + 200)),
        )
        merged = old.merge(new, START + 50)
        self.assertEqual(len(merged.deaths), 32)
        self.assertEqual(merged.deaths[-1].backend, "engine-49")
        self.assertEqual(merged.clearings, (ClearingRecord("x", START + 200),))
        self.assertEqual(CrashReport.from_builtins(merged.to_builtins()), merged)

    def test_unreadable_reports_are_failures(self):
        for value in (7, [], {"deaths": 3}, {"deaths": [{"backend": 1}]}, {"clearings": ["x"]}):
            self.assertIsInstance(CrashReport.from_builtins(value), Failure, value)


class OwnInterfaceTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a decision that serves only one of the two interfaces."""

    async def test_system_message_that_crashes_engines_is_condemned(self):
        class Gone:
            async def load(self):
                return CallFailure(CallFailureCause.NOT_CONNECTED, "refused")

        sink = SimpleNamespace(report_death=lambda r: None, report_survival=lambda: None)
        view = SimpleNamespace(
            state=lambda backend: SimpleNamespace(boot_id="b", in_flight=()), states=lambda: ()
        )
        quarantine = Quarantine(QuarantineSettings(burst_window=0.1))
        checker = DeathChecker(view, quarantine, sink, lambda: 1)
        for i in range(4):
            req = self.parse("crash me", f"question {i}")
            checker.track(
                f"w{i}", f"e{i}", RequestContent(req.fingerprint, req.parts), isolated=False
            )
            checker.on_begun(f"w{i}")
            checker.check(
                SimpleNamespace(backend=f"e{i}", work_id=f"w{i}", boot_id=f"b{i}", client=Gone())
            )
            await checker.wait_for_checks()
            checker.untrack(f"w{i}")
            await asyncio.sleep(0.05)
        bad = self.parse("crash me", "another question")
        sound = self.parse("be kind", "another question")
        now = time.time()
        self.assertTrue(is_condemned(quarantine.verdict(now, bad.fingerprint, bad.parts)))
        self.assertEqual(quarantine.verdict(now, sound.fingerprint, sound.parts), ClearVerdict())

    def parse(self, system: str, question: str):
        messages = (
            f'[{{"role":"system","content":"{system}"}},{{"role":"user","content":"{question}"}}]'
        )
        data = f'{{"model":"m","messages":{messages}}}'.encode()
        return parse_request({}, data, True, "court", CallerSettings())


if __name__ == "__main__":
    unittest.main()
