"""Tests of the attribution of server deaths to requests of one workspace on one route."""

from __future__ import annotations

import random
import unittest

import msgspec
from scope_fleet import ScopeFleet

from sapphireledge.core.quarantine import (
    SCOPE_PREFIX,
    ClearingRecord,
    ClearVerdict,
    DeathRecord,
    IsolateVerdict,
    Quarantine,
    draw_trial,
)
from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.gateway import QuarantineSettings

CFG = QuarantineSettings()
START = 1_000_000.0
SCOPES = 12

FLEETS = ((9, 3, 10.0), (9, 6, 40.0), (20, 30, 120.0))
"""Instances, servers and requests a second of the simulated fleets."""


UNEVEN = (1.0, 1.0, 1.0, 1.0, 2.0, 2.0, 4 / 3, 4 / 3, 4 / 3)
"""How many callers the instances of three data centres have, in proportion."""


def is_condemned(verdict) -> bool:
    return isinstance(verdict, Failure) and verdict.kind is ErrorKind.REQUEST_CONDEMNED


def draw_rates(rng: random.Random, total: float) -> dict[str, float]:
    """Draws the rate of each scope; few of them are large."""
    weights = [rng.paretovariate(1.0) for _ in range(SCOPES)]
    return {f"s{i}": total * weight / sum(weights) for i, weight in enumerate(weights)}


def death(number: int, at: float, presence: float = 0.1, **scopes: tuple[str, ...]) -> DeathRecord:
    """Builds the death of a server that had begun requests of some scopes."""
    requests = sorted({name for names in scopes.values() for name in names})
    return DeathRecord(
        f"server-{number}",
        "boot",
        at,
        tuple(requests),
        begun=dict.fromkeys(requests, ()),
        service="app",
        load=0.3,
        scopes=scopes,
        presence=dict.fromkeys(scopes, presence),
    )


class ScopeFleetTest(unittest.TestCase):
    """Guards against requests without known content in common that crash server after server."""

    def test_few_reach_servers_after_the_fifth_death(self):
        for instances, servers, total in FLEETS:
            for seed, share in enumerate((0.15, 0.35, 1.0)):
                rng = random.Random(seed)
                rates = draw_rates(rng, total)
                bad = max(rates, key=rates.get)
                fleet = ScopeFleet(rng, instances, servers, rates, {bad: share})
                fleet.run(30.0)
                with self.subTest(instances=instances, servers=servers, share=share):
                    self.assertLessEqual(fleet.count_late_sends(), 3)
                    self.assertGreater(fleet.refused.pop(bad), 0)
                    self.assertEqual(set(fleet.refused.values()), {0})

    def test_few_reach_servers_that_restart_together(self):
        """Guards against taking deaths that follow each other at once for a loss without cause.

        Servers that died one after the other are back one after the other, and callers are waiting.
        """
        for seed in (23, *range(8)):
            rng = random.Random(seed)
            others = [rng.paretovariate(1.0) for _ in range(11)]
            rates = {f"s{i}": 20.0 * weight / sum(others) for i, weight in enumerate(others)}
            rates["bad"] = 20.0
            fleet = ScopeFleet(rng, 9, 3, rates, {"bad": 1 / 3}, weights=UNEVEN)
            fleet.run(24.0)
            with self.subTest(seed=seed):
                late = sum(at > fleet.deaths[2] + 4.0 for at in fleet.bad_sends)
                self.assertLessEqual(late, 3)
                self.assertGreater(fleet.refused["bad"], 0)

    def test_deaths_with_another_cause_lead_to_no_refusal(self):
        for instances, servers, total in (*FLEETS, (9, 3, 100.0)):
            for seed, largest in enumerate((1, 2, servers)):
                rng = random.Random(seed)
                fleet = ScopeFleet(rng, instances, servers, draw_rates(rng, total))
                fleet.run(
                    40.0, [(rng.uniform(1.0, 40.0), rng.randint(1, largest)) for _ in range(16)]
                )
                with self.subTest(instances=instances, servers=servers, largest=largest):
                    self.assertGreater(len(fleet.deaths), 8)
                    self.assertEqual(set(fleet.refused.values()), {0})


class CrashingScopesTest(unittest.TestCase):
    def setUp(self):
        self.quarantine = Quarantine(CFG)

    def add(self, *deaths: DeathRecord) -> float:
        for record in deaths:
            self.quarantine.on_engine_death(record.time_unix, record)
        return max(record.time_unix for record in deaths) + 0.1

    def judge(self, now: float, scope: str, fingerprint: str = "new", draw: float = 0.5):
        return self.quarantine.verdict(now, fingerprint, (), scope, draw)

    def bad_deaths(self, count: int) -> list[DeathRecord]:
        return [death(i, START + 2.0 * i, **{"r/a": (f"q{i}",)}) for i in range(count)]

    def test_scope_is_condemned_by_the_fifth_death(self):
        now = self.add(*self.bad_deaths(4))
        self.assertEqual(self.judge(now, "r/a"), ClearVerdict())
        now = self.add(*self.bad_deaths(5))
        verdict = self.judge(now, "r/a")
        self.assertTrue(is_condemned(verdict))
        self.assertIs(verdict.ran, Ran.NO)
        self.assertEqual(self.judge(now, "r/b"), ClearVerdict())
        state = self.quarantine.suspects(now)[0]
        self.assertEqual((state.fingerprint, state.deaths), (SCOPE_PREFIX + "r/a", 5))

    def test_scope_beside_a_crashing_one_is_not_condemned(self):
        """Guards against refusing the other requests that ran on the servers that died."""
        now = self.add(
            *(
                death(
                    i,
                    START + 2.0 * i,
                    **{"r/a": (f"q{i}",), "r/b": (f"x{i}",)} if i else {"r/a": ("q",)},
                )
                for i in range(6)
            )
        )
        self.assertTrue(is_condemned(self.judge(now, "r/a")))
        self.assertEqual(self.judge(now, "r/b"), ClearVerdict())
        self.assertEqual(self.judge(now, "r/b", "x1"), ClearVerdict())

    def test_repeated_request_is_not_attributed_to_its_scope(self):
        """Guards against refusing all requests of a workspace because one is repeated."""
        now = self.add(*(death(i, START + 2.0 * i, **{"r/a": ("same", f"q{i}")}) for i in range(6)))
        self.assertEqual(self.judge(now, "r/a"), ClearVerdict())
        self.assertTrue(is_condemned(self.judge(now, "r/a", "same")))

    def test_busy_scope_is_not_condemned(self):
        """Guards against refusing a workspace whose requests are on every server all the time."""
        now = self.add(*(death(i, START + 2.0 * i, 0.8, **{"r/a": (f"q{i}",)}) for i in range(12)))
        self.assertEqual(self.judge(now, "r/a"), ClearVerdict())

    def test_scope_that_is_often_on_servers_is_condemned_by_the_sixth_death(self):
        """Guards against waiting for a seventh death where few servers are up and all are busy."""
        deaths = [death(i, START + 2.0 * i, 0.23, **{"r/a": (f"q{i}",)}) for i in range(6)]
        now = self.add(*deaths[:5])
        self.assertEqual(self.judge(now, "r/a"), ClearVerdict())
        now = self.add(deaths[5])
        self.assertTrue(is_condemned(self.judge(now, "r/a")))

    def test_report_that_lacks_the_scope_does_not_withdraw_the_verdict(self):
        """Guards against a verdict that changes with each report of one death.

        Instances report only their own requests, so a first report can lack those of the scope.
        """
        now = self.add(*(death(i, START + i, 0.19, **{"r/a": (f"q{i}",)}) for i in range(5)))
        self.assertTrue(is_condemned(self.judge(now, "r/a")))
        now = self.add(death(5, now + 0.4, **{"r/b": ("x",)}))
        self.assertTrue(is_condemned(self.judge(now, "r/a")))
        # When all reports are in, the death had another cause.
        self.assertEqual(self.judge(now + 1.0, "r/a"), ClearVerdict())

    def test_highest_estimate_of_the_presence_does_not_count(self):
        """Guards against waiting for more deaths because one instance has most of the callers."""
        reports = [
            death(i, START + 2.0 * i, presence, **{"r/a": (f"q{i}-{presence}",)})
            for i in range(5)
            for presence in (0.1, 0.12, 0.35)
        ]
        now = self.add(*reports)
        self.assertTrue(is_condemned(self.judge(now, "r/a")))
        first = reports[0].merge(reports[1]).merge(reports[2])
        self.assertAlmostEqual(first.mean_presence("r/a"), 0.19)
        self.assertEqual(first, reports[2].merge(reports[1]).merge(reports[0]).merge(first))
        self.assertEqual(DeathRecord.decode(first.encode()), first)

    def test_instance_that_has_just_started_does_not_lower_the_presence(self):
        """Guards against refusing a sound scope because an instance has observed nothing yet."""
        reports = [
            death(i, START + 2.0 * i, presence, **{"r/a": (f"q{i}-{presence}",)})
            for i in range(5)
            for presence in (0.0, 0.01, 0.4)
        ]
        now = self.add(*reports)
        self.assertEqual(self.judge(now, "r/a"), ClearVerdict())
        first = reports[0].merge(reports[1]).merge(reports[2])
        self.assertAlmostEqual(first.mean_presence("r/a"), 0.4)
        self.assertAlmostEqual(reports[0].merge(reports[1]).mean_presence("r/a"), 0.005)

    def test_loss_of_all_servers_that_are_left_is_known_completely(self):
        """Guards against waiting for other deaths of a loss when no server is left to be lost."""
        deaths = [
            death(2 * i + j, START + 4.0 * i + 0.05 * j, 0.2, **{"r/a": (f"q{i}-{j}",)})
            for i in range(3)
            for j in range(2)
        ]
        now = self.add(*(msgspec.structs.replace(record, servers=2) for record in deaths))
        self.assertTrue(is_condemned(self.judge(now, "r/a")))
        for servers in (0, 9):
            self.quarantine = Quarantine(CFG)
            self.add(*(msgspec.structs.replace(record, servers=servers) for record in deaths))
            self.assertEqual(self.judge(now, "r/a"), ClearVerdict())

    def test_servers_that_start_during_a_long_series_of_deaths_may_be_lost_unseen(self):
        deaths = [death(i, START + 0.09 * i, 0.2, **{"r/a": (f"q{i}",)}) for i in range(14)]
        now = self.add(*(msgspec.structs.replace(record, servers=14) for record in deaths))
        self.assertEqual(self.judge(now, "r/a"), ClearVerdict())

    def test_servers_that_died_without_requests_count(self):
        """Guards against judging by those deaths only that requests have noticed."""
        idle = [DeathRecord(f"idle-{i}", "b", START + i, service="app") for i in range(20)]
        now = self.add(*self.bad_deaths(5), *idle)
        self.assertEqual(self.judge(now, "r/a"), ClearVerdict())

    def test_lift_and_expiry_accept_the_scope_again(self):
        now = self.add(*self.bad_deaths(5))
        self.assertIsNotNone(self.quarantine.lift(now, SCOPE_PREFIX + "r/a", "ops", "fixed"))
        self.assertEqual(self.judge(now, "r/a"), ClearVerdict())
        self.quarantine = Quarantine(CFG)
        now = self.add(*self.bad_deaths(5))
        self.assertTrue(is_condemned(self.judge(START + CFG.scope_retention - 1.0, "r/a")))
        self.assertEqual(self.judge(now + CFG.scope_retention, "r/a"), ClearVerdict())

    def test_losses_with_another_cause_do_not_withdraw_the_verdict(self):
        """Guards against weighing deaths that a refused scope could not have met."""
        now = self.add(*self.bad_deaths(5))
        accepted = []
        for second in range(1, int(START + CFG.scope_retention - now)):
            at = now + second
            if second > 5:
                self.add(death(100 + second, at, **{f"r/b{second}": (f"x{second}",)}))
            if not is_condemned(self.judge(at, "r/a", draw=0.0)):
                accepted.append(second)
                self.add(death(300 + second, at, **{"r/a": (f"y{second}",)}))
        self.assertEqual(accepted, [])

    def test_order_and_repetition_do_not_matter(self):
        """Guards against instances that refuse different scopes after the same records."""
        for seed in range(40):
            rng = random.Random(seed)
            events: list[DeathRecord | ClearingRecord] = []
            for i in range(12):
                at = START + rng.random() * 12.0
                scopes = {f"r/{c}": (f"{c}{rng.randrange(9)}",) for c in rng.sample("aab", 2)}
                events += [death(i, at, rng.choice((0.1, 0.3)), **scopes)]
                events += [death(i, at + 0.2, 0.2, **{"r/a": (f"late{i}",)})]
            events.append(ClearingRecord(SCOPE_PREFIX + "r/b", START + 3.0))
            results = []
            for _ in range(3):
                quarantine = Quarantine(CFG)
                rng.shuffle(events)
                for item in (*events, *rng.sample(events, 3)):
                    if isinstance(item, DeathRecord):
                        quarantine.on_engine_death(START + 13.0, item)
                    else:
                        quarantine.on_cleared(START + 13.0, item)
                results.append((quarantine.crashing_scopes(START + 14.0), quarantine.records()))
            self.assertEqual(results[0], results[1])
            self.assertEqual(results[0], results[2])

    def test_death_records_survive_storage(self):
        record = death(1, START, **{"r/a": ("q",)})
        self.assertEqual(DeathRecord.decode(record.encode()), record)


class HeldRequestTest(unittest.TestCase):
    """Guards against many instances that each try a request once more, and against giving it up."""

    def setUp(self):
        self.quarantine = Quarantine(CFG)
        for i in range(3):
            at = START + 0.3 * i
            self.quarantine.on_engine_death(at, death(i, at, **{"r/a": ("same",)}))

    def judge(self, now: float, draw: float):
        return self.quarantine.verdict(now, "same", (), "r/a", draw)

    def test_few_requests_try_again_until_one_dies_or_is_answered(self):
        now = START + 5.0
        tried = sum(isinstance(self.judge(now, i / 320), IsolateVerdict) for i in range(320))
        self.assertLessEqual(tried, 15)
        self.assertGreater(tried, 0)
        held = self.judge(now, 0.9)
        self.assertIs(held.kind, ErrorKind.OVERLOADED)
        self.assertIs(held.ran, Ran.NO)
        self.quarantine.on_completed(now, "same")
        self.assertEqual(self.judge(now + 1.0, 0.9), ClearVerdict())

    def test_death_in_a_trial_is_proof(self):
        at = START + 5.0
        self.quarantine.on_engine_death(at, death(9, at, **{"r/a": ("same",)}))
        self.assertTrue(is_condemned(self.judge(at, 0.0)))

    def test_draw_is_even_and_does_not_change(self):
        draws = sorted(draw_trial(f"id{i}") for i in range(1000))
        self.assertEqual(draws, sorted(draw_trial(f"id{i}") for i in range(1000)))
        for i, value in enumerate(draws):
            self.assertAlmostEqual(value, i / 1000, delta=0.06)


if __name__ == "__main__":
    unittest.main()
