"""Tests of what backend servers ask of their callers."""

from __future__ import annotations

import itertools
import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from sapphireledge.backends import decode_signals
from sapphireledge.core.backpressure import (
    BackpressureLimits,
    ContactEstimator,
    ServerBackpressure,
    ServerSignals,
)
from sapphireledge.core.placement import choose_candidates
from sapphireledge.core.routing import BackendInstance, BackendView, Router, RouteRequest
from sapphireledge.errors import Failure
from sapphireledge.gateway import BackendServer
from sapphireledge.gateway.backend_registry import BackendRegistry
from sapphireledge.platform.platform_dialect import PlatformDialect
from sapphireledge.settings import RoutingSettings

LIMITS = BackpressureLimits()
WINDOW = 4.0
"""Seconds over which the requests of a limited server are summed."""

STEP = 0.05
"""Seconds between two looks of an instance at its server."""


def named(rate: float | None) -> ServerSignals:
    return ServerSignals(rate_limit=rate)


class RateTest(unittest.TestCase):
    @given(st.integers(1, 12), st.floats(1.0, 40.0), st.randoms(use_true_random=False))
    def test_all_instances_together_keep_a_rate(self, instances, rate, rng):
        """Guards against instances that each keep a limit, but not all together."""
        servers = [ServerBackpressure(LIMITS, rng) for _ in range(instances)]
        for server in servers:
            server.on_response(0.0, named(rate), instances)
        idle = rng.uniform(0.0, 10.0)
        sent = []
        for step in range(int(12.0 / STEP)):
            now = idle + step * STEP
            for server in servers:
                while server.next_at(now) <= now:
                    server.take(now)
                    sent.append(now)
        for start in sent:
            in_window = sum(1 for at in sent if start <= at <= start + WINDOW)
            # One request for each instance more than its share, as slots are whole.
            allowed = rate * (WINDOW + LIMITS.burst_time) + instances
            self.assertLessEqual(in_window, allowed + 1)

    @given(st.floats(1.0, 40.0), st.randoms(use_true_random=False))
    def test_rate_is_used_under_constant_demand(self, rate, rng):
        """Guards against slots that are lost although a request waits for each of them."""
        server = ServerBackpressure(LIMITS, rng)
        server.on_response(0.0, named(rate), 1)
        sent = 0
        for step in range(int(20.0 / STEP)):
            while server.next_at(step * STEP) <= step * STEP:
                server.take(step * STEP)
                sent += 1
        self.assertGreaterEqual(sent, (20.0 - STEP) * rate - 2)

    def test_limit_ends_with_the_first_response_that_names_none(self):
        """Guards against a limit that outlives the trouble of its server."""
        server = ServerBackpressure(LIMITS, Random(1))
        server.on_response(0.0, named(0.0), 9)
        self.assertGreater(server.next_at(0.0), 0.0)
        server.on_response(1.0, named(None), 9)
        self.assertEqual(server.next_at(1.0), 1.0)


class BrittleServerTest(unittest.TestCase):
    def test_full_server_is_not_made_to_crash(self):
        """Guards against instances that all return to a full server until it crashes."""
        limit = 10.0
        for instances, seed in itertools.product((3, 9, 85), range(20)):
            rng = Random(seed)
            servers = [ServerBackpressure(LIMITS, rng) for _ in range(instances)]
            rejection = ServerSignals(rejection_limit=limit, has_rejected=True)
            for server in servers:
                server.on_response(0.0, rejection, instances)
            rejected = []
            for step in range(int(30.0 / STEP)):
                now = 1.0 + step * STEP
                for server in servers:
                    if server.next_at(now) <= now:
                        rejected.append(now)
                        server.on_response(now, rejection, instances)
            crashes = sum(
                sum(1 for at in rejected if second <= at < second + 1.0) > limit
                for second in range(31)
            )
            self.assertLessEqual(crashes, 2, (instances, seed))

    def test_server_that_only_names_its_limit_is_not_paused(self):
        """Guards against sound servers that get no work because they are brittle."""
        server = ServerBackpressure(LIMITS, Random(1))
        server.on_response(0.0, ServerSignals(rejection_limit=5.0), 9)
        self.assertEqual(server.next_at(0.0), 0.0)

    def test_platform_names_the_limit_of_rejections(self):
        """Guards against a header of the platform that nobody reads."""
        headers = ((b"server-brittle", b"5"), (b"x-sapphireledge-not-executed", b"1"))
        signals = PlatformDialect().decode_response(503, headers).signals
        self.assertEqual((signals.rejection_limit, signals.has_rejected), (5.0, True))
        signals = PlatformDialect().decode_response(200, headers[:1]).signals
        self.assertEqual((signals.rejection_limit, signals.has_rejected), (5.0, False))


class SparseRateTest(unittest.TestCase):
    """Guards against a low rate that many instances leave unused, as each rarely has a slot."""

    INSTANCES = 195
    RATE = 0.135

    CHOSEN = 1.0
    """Share of the contacts at which an instance has a request for the server."""

    def play(self, interval, seed, growth=1.0, duration=1_200.0):
        """Lets instances hear from one server now and then, and send what they may.

        Args:
            interval: Mean seconds between two responses of the server to one instance.
            seed: Seed of the responses and slots.
            growth: Factor of the responses in the second half, which no instance has noticed.
            duration: Seconds.

        Returns:
            Times of the requests in each half.
        """
        rng = Random(seed)
        servers = [ServerBackpressure(LIMITS, rng) for _ in range(self.INSTANCES)]
        now, sent = 0.0, ([], [])
        while now < duration:
            half = int(now >= duration / 2)
            now += rng.expovariate(self.INSTANCES * (growth if half else 1.0) / interval)
            server = rng.choice(servers)
            server.on_response(now, named(self.RATE), self.INSTANCES, interval)
            is_chosen = self.CHOSEN == 1.0 or rng.random() < self.CHOSEN
            if is_chosen and server.next_at(now) <= now:
                server.take(now)
                sent[half].append(now)
        return sent

    def test_most_of_a_low_rate_is_used(self):
        allowed = self.RATE * 600.0
        for seed in range(5):
            with self.subTest(seed):
                for times in self.play(144.0, seed):
                    self.assertGreater(len(times), 0.6 * allowed)
                    self.assertLess(len(times), 1.5 * allowed)

    def test_demand_that_triples_exceeds_a_low_rate_by_a_few_requests(self):
        for seed in range(5):
            with self.subTest(seed):
                _, times = self.play(144.0, seed, growth=3.0)
                for start in times:
                    in_window = sum(1 for at in times if start <= at <= start + WINDOW)
                    self.assertLessEqual(in_window, 1.5 * WINDOW * self.RATE + 5)

    def test_slots_of_other_rates_expire(self):
        """Guards against slots that pile up at idle instances of a server with a high rate."""
        servers = [ServerBackpressure(LIMITS, Random(number)) for number in range(20)]
        for server in servers:
            server.on_response(0.0, named(10.0), 20, 60.0)
        held = sum(1 for server in servers if server.next_at(30.0) <= 30.0)
        self.assertLessEqual(held, 10.0 * (LIMITS.burst_time + 1.0))

    def test_contacts_are_estimated_from_all_servers(self):
        contacts = ContactEstimator()
        self.assertEqual(contacts.estimate_interval(0.0, 10), 0.0)
        for number in range(40):
            contacts.on_response(number * 0.5, f"s{number % 100}")
        self.assertAlmostEqual(contacts.estimate_interval(20.0, 100), 50.0, delta=5.0)
        for number in range(60):
            contacts.on_response(20.0 + number / 6, f"s{(40 + number) % 100}")
        self.assertLess(contacts.estimate_interval(30.0, 100), 1.5 * 50.0 / 3)

    def test_reports_that_a_waiting_request_fetches_again_are_one_contact(self):
        """Guards against slots that expire early because one request looks at one server often."""
        contacts = ContactEstimator()
        for number in range(40):
            for repetition in range(4):
                contacts.on_response(number * 0.5 + 0.1 * repetition, f"s{number}")
        self.assertAlmostEqual(contacts.estimate_interval(20.0, 100), 50.0, delta=5.0)


class SharedRateTest(SparseRateTest):
    """Guards against a rate above all demand that many instances leave unused."""

    RATE = 1.0
    CHOSEN = 0.5

    def test_most_of_a_low_rate_is_used(self):
        for seed in range(5):
            with self.subTest(seed):
                for times in self.play(120.0, seed):
                    demand = 600.0 * self.CHOSEN * self.INSTANCES / 120.0
                    self.assertGreater(len(times), 0.2 * demand)
                    self.assertLess(len(times), self.RATE * 600.0)


class RatedCandidateTest(unittest.TestCase):
    """Guards against slots that expire because streams are offered other engines."""

    def test_engine_that_names_a_rate_is_offered_whatever_its_rank(self):
        ranked = [f"engine-{number}" for number in range(20)]
        usual = choose_candidates(ranked, lambda name: name < "engine-2", 0)
        self.assertNotIn("engine-9", usual)
        offered = choose_candidates(ranked, lambda name: name < "engine-2", 0, ["engine-9"])
        self.assertEqual(offered, [*usual, "engine-9"])

    def test_engine_is_not_offered_twice(self):
        ranked = ["a", "b", "c"]
        offered = choose_candidates(ranked, lambda name: False, 0, ["a", "b"])
        self.assertEqual(sorted(offered), ranked)

    def test_only_engines_with_an_unused_slot_are_listed(self):
        registry = BackendRegistry("akl", rng=Random(1))
        for name in ("a", "b", "c", "d"):
            registry.put(BackendServer(name, "llm", "127.0.0.1", 1, "akl", False, 1))
        registry.on_response(0.0, "a", named(5.0), 1)
        registry.on_response(0.0, "b", named(5.0), 1_000)
        registry.on_response(0.0, "c", ServerSignals(), 1)
        rated = {server.server_id for server in registry.list_rated(0.9, "llm")}
        self.assertEqual(rated, {"a"})
        self.assertEqual(list(registry.list_rated(0.9, "llm", {"a"})), [])


class DecodeTest(unittest.TestCase):
    def test_values_that_are_no_numbers_are_ignored(self):
        """Guards against a limit read from a value that is none."""
        for text in ("", "x", "nan", "inf", "-1", "1e999"):
            headers = {"x-request-limit": text}
            self.assertIsNone(decode_signals(200, headers).rate_limit)
            head = PlatformDialect().decode_response(200, ((b"server-limit", text.encode()),))
            self.assertIsNone(head.signals.rate_limit)
        head = PlatformDialect().decode_response(200, ((b"server-limit", b"2.5"),))
        self.assertEqual(head.signals, decode_signals(200, {"x-request-limit": "2.5"}))


class OwnInterfaceTest(unittest.TestCase):
    def setUp(self):
        self.view = BackendView(RoutingSettings(), "e1", "akl-a", "akl", Random(1))
        self.view.on_instances(
            0.0,
            [
                BackendInstance(name, f"{name}:1", "akl-a", "akl", "booking", False, False)
                for name in ("b1", "b2")
            ],
        )
        self.view.on_entries(0.0, {"e1": "akl-a", "e2": "akl-a"})
        self.router = Router(RoutingSettings())

    def send(self, now: float) -> str | None:
        """Sends one request; returns the backend server that it was sent to."""
        choice = self.router.choose(now, RouteRequest(role="booking"), self.view, Random(2))
        if isinstance(choice, Failure):
            return None
        self.view.on_dispatch(now, choice.backend, f"w{now}")
        self.view.on_end(now, choice.backend, f"w{now}")
        return choice.backend

    def test_limited_server_gets_its_share_and_others_the_rest(self):
        """Guards against a limit that only the users' platform heeds."""
        self.view.on_response(0.0, "b1", named(2.0))
        chosen = [self.send(step * 0.1) for step in range(100)]
        self.assertLessEqual(chosen.count("b1"), 11)
        self.assertGreaterEqual(chosen.count("b1"), 5)
        self.assertNotIn(None, chosen)

    def test_server_that_asked_for_a_pause_gets_nothing_until_its_end(self):
        """Guards against requests during a pause, also after a response to an earlier request."""
        self.view.on_response(0.0, "b1", decode_signals(503, {"retry-after": "3.5"}))
        self.view.on_response(0.1, "b1", decode_signals(200, {}))
        chosen = [self.send(0.2 + step * 0.1) for step in range(33)]
        self.assertEqual(set(chosen), {"b2"})
        self.assertIn("b1", [self.send(3.6 + step * 0.1) for step in range(20)])

    def test_leaving_server_gets_no_more_requests(self):
        """Guards against requests to a server that has said that it leaves."""
        self.view.on_response(0.0, "b1", ServerSignals(is_leaving=True))
        self.view.on_response(0.5, "b1", ServerSignals())
        self.assertEqual({self.send(1.0 + step) for step in range(20)}, {"b2"})

    def test_limited_servers_take_requests_again(self):
        """Guards against servers that stay out of use once all of them are limited."""
        for name in ("b1", "b2"):
            self.view.on_response(0.0, name, named(1.0))
        sent = [now for now in range(20) if self.send(float(now)) is not None]
        self.assertGreaterEqual(len(sent), 10)
        for name in ("b1", "b2"):
            self.view.on_response(20.0, name, named(None))
        self.assertNotIn(None, [self.send(20.0 + step) for step in range(5)])
