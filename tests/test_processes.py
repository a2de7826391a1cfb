"""End-to-end tests with separate processes and real faults."""

from __future__ import annotations

import os
import socket
import sys
import tempfile
import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec
import uuid6

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from devtools.caller import book, generate
from devtools.local_fleet import EngineSpec, EntrySpec, LocalFleet, ServiceSpec
from sapphireledge.rpc import load_schema
from sapphireledge_standins.chained_answer import check_chained_answer

RESUME_LIMIT = 3.0
"""Longest gap in an answer after any single loss, in seconds (design page, section 1)."""

CONFIG_LIMIT = 12.0
"""Seconds within which an accepted change must be in force at all entries."""

LEAVING_LIMIT = 3.0
"""Seconds after which a leaving backend server must not receive new requests."""

SKEW = 1.0
"""Accepted clock skew in seconds, short so that newly started processes can prove that a key did
not run; a production fleet runs for longer than the default of 300 s.
"""

SHORT_SKEW = {"claims": {"future_skew": SKEW}}


class FleetAddressTest(unittest.TestCase):
    """Guards against fleets at the same time that take or reach each other's ports."""

    def test_two_fleets_may_draw_the_same_port(self):
        fleets = [LocalFleet(Path(), (), ()) for _ in range(2)]
        self.addCleanup(lambda: [fleet.stop() for fleet in fleets])
        for fleet in fleets:
            fleet.reserve_host()
        port = fleets[0].free_port()
        with socket.create_server((fleets[0].host, port)) as first:
            with self.assertRaises(OSError):
                socket.create_connection((fleets[1].host, port), timeout=1)
            with (
                socket.create_server((fleets[1].host, port)),
                socket.create_connection((fleets[0].host, port), timeout=1) as caller,
            ):
                self.assertEqual(first.accept()[1], caller.getsockname())


class ProcessCase(unittest.TestCase):
    """Starts one fleet for all tests of a class."""

    entries: tuple[EntrySpec, ...] = tuple(EntrySpec(f"e{n}", extra=SHORT_SKEW) for n in (1, 2, 3))
    engines: tuple[EngineSpec, ...] = tuple(
        EngineSpec(f"g{n}", options=("--token-rate", "40")) for n in (1, 2, 3)
    )
    services: tuple[ServiceSpec, ...] = (ServiceSpec("b1"), ServiceSpec("b2"))

    @classmethod
    def setUpClass(cls):
        cls.folder = tempfile.TemporaryDirectory()
        cls.fleet = LocalFleet(Path(cls.folder.name), cls.entries, cls.engines, cls.services)
        try:
            cls.fleet.start()
            cls.wait_for_peers()
        except BaseException as exc:
            exc.add_note(cls.fleet.describe())
            cls.fleet.stop()
            raise

    @classmethod
    def tearDownClass(cls):
        cls.fleet.stop()
        cls.folder.cleanup()

    def run(self, result=None):
        """Runs the test; if it fails, prints the states and logs of the processes with it."""
        before = len(result.failures) + len(result.errors) if result is not None else 0
        outcome = super().run(result)
        if result is not None and len(result.failures) + len(result.errors) > before:
            print(f"{self.id()}\n{self.fleet.describe()}", file=sys.stderr)
        return outcome

    @classmethod
    def wait_for_peers(cls, limit=10.0):
        end = time.monotonic() + limit
        for entry in cls.entries:
            while time.monotonic() < end:
                client = cls.fleet.operator(entry.name)
                rows = client.status().entries
                client.close()
                if sum(row.reachable for row in rows) == len(cls.entries):
                    break
                time.sleep(0.05)

    def assert_complete(self, text, tokens):
        report = check_chained_answer(text)
        self.assertTrue(report.intact, report)
        self.assertEqual(report.tokens, tokens)

    def engine_of(self, request_id):
        for engine in self.engines:
            counts = self.fleet.counts(engine.name)["requests"]
            if any(name.endswith(f"~{request_id}") for name in counts):
                return engine.name
        raise AssertionError(f"no engine runs {request_id}")

    def runs_of(self, key):
        return sum(self.fleet.counts(s.name)["runs"].get(key, 0) for s in self.services)


class EngineLossTest(ProcessCase):
    """Guards against answers that are truncated, duplicated or mixed when an engine is lost."""

    def generate_through_failure(self, fail_engine, recover_engine, failure_offset=25, tokens=70):
        request_id = str(uuid6.uuid7())
        failed_engines = []

        def act(count):
            if count == failure_offset:
                failed_engines.append(self.engine_of(request_id))
                self.addCleanup(recover_engine, failed_engines[0])
                fail_engine(failed_engines[0])
            return False

        answer = generate(
            self.fleet.callers["e1"], request_id=request_id, max_tokens=tokens, on_token=act
        )
        self.assertTrue(failed_engines, (answer.error, answer.connection_error, len(answer.text)))
        self.assertTrue(answer.done, answer.error or answer.connection_error)
        self.assert_complete(answer.text, tokens)
        self.assertLess(answer.longest_gap, RESUME_LIMIT)
        return failed_engines[0], answer, request_id

    def restart_engine(self, name):
        self.fleet.start_engine(next(e for e in self.engines if e.name == name))
        self.fleet.publish_instances()
        self.fleet.wait_port(name, self.fleet.processes[name].address)

    def test_killed_engine(self):
        _, answer, request_id = self.generate_through_failure(self.fleet.kill, self.restart_engine)
        self.assertLess(answer.longest_gap, 1.0)
        client = self.fleet.operator("e2")
        result = client.replay(f"default~{request_id}")
        client.close()
        self.assertTrue(result.same, [e.difference for e in result.events if e.difference])
        names = [event.name for event in result.events]
        self.assertIn("broken", names)
        self.assertEqual(names.count("dispatched"), 2)

    def test_frozen_engine(self):
        self.generate_through_failure(self.fleet.pause, self.fleet.resume)

    def test_connection_that_goes_silent_while_new_ones_work(self):
        self.generate_through_failure(
            lambda name: self.fleet.faults(name, silence_existing=True), self.fleet.faults
        )

    def test_connection_that_goes_silent_before_the_first_token(self):
        """The engine still runs the attempt, so a probe alone does not reveal the loss."""
        prompt_tokens, prefill_rate = 4000, 4000.0
        with ThreadPoolExecutor(1) as threads:
            job = threads.submit(
                generate, self.fleet.callers["e1"], prompt="long " * prompt_tokens, max_tokens=20
            )
            time.sleep(0.5)
            for engine in self.engines:
                self.addCleanup(self.fleet.faults, engine.name)
                self.fleet.faults(engine.name, silence_existing=True)
            answer = job.result()
        self.assertTrue(answer.done, answer.error or answer.connection_error)
        self.assert_complete(answer.text, 20)
        prefill = len("long " * prompt_tokens) / 4 / prefill_rate
        self.assertLess(answer.first_token, prefill + RESUME_LIMIT)

    def test_skipped_and_repeated_tokens(self):
        for fault in ("skip_token", "repeat_token"):
            with self.subTest(fault):
                self.generate_through_failure(
                    lambda name, fault=fault: self.fleet.faults(name, **{fault: 1}),
                    self.fleet.faults,
                )

    def test_leaving_engine_gets_nothing_new(self):
        self.fleet.set_state("g1", "leaving")
        try:
            time.sleep(LEAVING_LIMIT)
            before = set(self.fleet.counts("g1")["requests"])
            with ThreadPoolExecutor(12) as threads:
                jobs = [
                    threads.submit(generate, self.fleet.callers["e2"], max_tokens=4)
                    for _ in range(12)
                ]
                self.assertTrue(all(job.result().done for job in jobs))
            self.assertEqual(set(self.fleet.counts("g1")["requests"]), before)
        finally:
            self.fleet.set_state("g1", "live")


class EntryLossTest(ProcessCase):
    """Guards against lost or mixed answers when the instance of a caller is lost."""

    def restart_entry(self):
        self.fleet.start_entry("e1")
        self.wait_for_peers()

    def test_killed_entry_and_reconnect_with_position(self):
        request_id = str(uuid6.uuid7())

        def kill_entry(count):
            if count == 30:
                self.addCleanup(self.restart_entry)
                self.fleet.kill("e1")
            return False

        first = generate(
            self.fleet.callers["e1"],
            request_id=request_id,
            max_tokens=70,
            on_token=kill_entry,
        )
        self.assertFalse(first.done)
        lost = time.monotonic()
        rest = generate(
            self.fleet.callers["e2"],
            request_id=request_id,
            last_event_id=first.event_id,
            max_tokens=70,
        )
        self.assertTrue(rest.done, rest.error)
        self.assertEqual(rest.answer, "continued")
        self.assert_complete(first.text + rest.text, 70)
        self.assertLess(rest.first_token, RESUME_LIMIT)
        self.assertGreater(time.monotonic(), lost)
        # A client that only repeats its request id gets the same answer from the start.
        again = generate(self.fleet.callers["e3"], request_id=request_id, max_tokens=70)
        self.assertEqual(again.text, first.text + rest.text)

    def test_request_id_with_other_content_is_refused(self):
        """Guards against a caller that receives the answer to another request with the same id."""
        request_id = str(uuid6.uuid7())
        first = generate(self.fleet.callers["e1"], request_id=request_id, max_tokens=4)
        self.assertTrue(first.done, first.error)
        for entry in self.entries:
            other = generate(
                self.fleet.callers[entry.name], request_id=request_id, prompt="x", max_tokens=4
            )
            self.assertEqual((other.error or {}).get("type"), "invalid_request", entry)
            self.assertIn("X-Request-Id", other.error["message"])

    def restart_engine_and_entry(self):
        self.fleet.start_engine(next(e for e in self.engines if e.name == self.killed))
        self.fleet.start_entry("e1")
        self.fleet.publish_instances()
        self.wait_for_peers()

    def test_engine_and_entry_killed_together(self):
        request_id = str(uuid6.uuid7())

        def act(count):
            if count == 20:
                self.addCleanup(self.restart_engine_and_entry)
                engine = self.engine_of(request_id)
                self.fleet.kill(engine)
                self.fleet.kill("e1")
                self.killed = engine
            return False

        first = generate(
            self.fleet.callers["e1"], request_id=request_id, max_tokens=60, on_token=act
        )
        rest = generate(
            self.fleet.callers["e3"],
            request_id=request_id,
            last_event_id=first.event_id,
            max_tokens=60,
        )
        self.assertTrue(rest.done, rest.error)
        self.assert_complete(first.text + rest.text, 60)

    def test_paused_entry_returns_after_takeover(self):
        """Guards against a resumed owner that delivers a second continuation after a takeover."""
        request_id = str(uuid6.uuid7())
        received = []

        def read_first():
            received.append(
                generate(
                    self.fleet.callers["e1"],
                    request_id=request_id,
                    max_tokens=80,
                    on_token=lambda n: n == 20 and (paused.set() or False),
                )
            )

        paused = threading.Event()
        reader = threading.Thread(target=read_first)
        reader.start()
        self.assertTrue(paused.wait(10))
        self.fleet.pause("e1")
        time.sleep(0.2)
        # The caller repeats the request without a position and gets the answer from the start.
        again = generate(self.fleet.callers["e2"], request_id=request_id, max_tokens=80)
        self.fleet.resume("e1")
        reader.join(30)
        self.assertTrue(again.done, again.error)
        self.assert_complete(again.text, 80)
        first = received[0]
        self.assertTrue(again.text.startswith(first.text) or first.done)
        if not first.done:
            self.assertEqual((first.error or {}).get("type", "answer_moved"), "answer_moved")
        self.wait_for_peers()

    def test_text_handed_back_when_no_copy_is_left(self):
        request_id = str(uuid6.uuid7())
        first = generate(
            self.fleet.callers["e1"],
            request_id=request_id,
            max_tokens=60,
            on_token=lambda n: n >= 20,
        )
        for entry in self.entries:
            self.fleet.kill(entry.name)
        for entry in self.entries:
            self.fleet.start_entry(entry.name, wait=False)
        for entry in self.entries:
            self.fleet.wait_ready(entry.name)
        self.wait_for_peers()
        lost = generate(
            self.fleet.callers["e2"],
            request_id=request_id,
            last_event_id=first.event_id,
            max_tokens=60,
        )
        self.assertEqual((lost.error or {}).get("type"), "answer_lost")
        rest = generate(
            self.fleet.callers["e2"],
            request_id=request_id,
            last_event_id=first.event_id,
            received=first.text,
            max_tokens=60,
        )
        self.assertTrue(rest.done, rest.error)
        self.assert_complete(first.text + rest.text, 60)
        forged = generate(
            self.fleet.callers["e3"],
            request_id="other-" + request_id,
            last_event_id=first.event_id,
            received=first.text + "x",
            max_tokens=60,
        )
        self.assertEqual((forged.error or {}).get("type"), "answer_diverged")


class BookingTest(ProcessCase):
    """Guards against duplicate bookings and refusals that wrongly say "not run"."""

    def test_same_key_through_all_entries_at_once(self):
        key = str(uuid6.uuid7())
        with ThreadPoolExecutor(9) as threads:
            urls = list(self.fleet.callers.values()) * 3
            results = [job.result() for job in [threads.submit(book, u, key) for u in urls]]
        self.assertEqual({result.status for result in results}, {201}, results)
        self.assertEqual(self.runs_of(key), 1)

    def test_service_dies_after_running(self):
        key = str(uuid6.uuid7())
        for service in self.services:
            self.fleet.faults(service.name, lose_answer=True)
        try:
            first = book(self.fleet.callers["e1"], key)
            second = book(self.fleet.callers["e2"], key)
        finally:
            for service in self.services:
                self.fleet.faults(service.name)
        third = book(self.fleet.callers["e3"], key)
        for result in (first, second, third):
            self.assertEqual(result.body["error"]["type"], "outcome_unknown", result)
            self.assertEqual(result.body["error"]["ran"], "unknown")
        self.assertEqual(self.runs_of(key), 1)

    def test_answer_of_the_claim_write_is_lost(self):
        key = str(uuid6.uuid7())
        self.fleet.faults("platform", lose_next_writes=1)
        result = book(self.fleet.callers["e1"], key)
        self.fleet.faults("platform")
        self.assertEqual(result.status, 201, result)
        self.assertEqual(self.runs_of(key), 1)

    def test_platform_outage(self):
        # Every instance must have started before the key's time minus the accepted skew.
        time.sleep(SKEW + 0.5)
        used_key = str(uuid6.uuid7())
        self.assertEqual(book(self.fleet.callers["e1"], used_key).status, 201)
        self.fleet.faults("platform", outage="refuse")
        try:
            new_key = str(uuid6.uuid7())
            refused = book(self.fleet.callers["e2"], new_key)
            again = book(self.fleet.callers["e3"], used_key)
            answer = generate(self.fleet.callers["e1"], max_tokens=20)
        finally:
            self.fleet.faults("platform")
        self.assertEqual(refused.body["error"]["type"], "platform_unavailable", refused)
        self.assertEqual(refused.body["error"]["ran"], "no", refused)
        self.assertLess(refused.seconds, 2.0)
        self.assertEqual(self.runs_of(new_key), 0)
        # An earlier call ran with this key, so "not run" would be false.
        self.assertNotEqual(again.body.get("error", {}).get("ran"), "no", again)
        self.assertTrue(answer.done, "generations must continue during an outage")
        self.assertEqual(book(self.fleet.callers["e3"], used_key).answer, "repeated")
        self.assertEqual(self.runs_of(used_key), 1)

    def test_paused_process_is_not_hung_up(self):
        """Guards against the end of a paused entry because the shell of the test run has ended."""
        for process in self.fleet.processes.values():
            self.assertEqual(os.getsid(process.popen.pid), process.popen.pid)

    def test_holder_killed_and_paused(self):
        for act, undo in (
            (self.fleet.kill, self.fleet.start_entry),
            (self.fleet.pause, self.fleet.resume),
        ):
            key = str(uuid6.uuid7())
            for service in self.services:
                self.fleet.faults(service.name, delay=1.5)
            with ThreadPoolExecutor(1) as threads:
                job = threads.submit(
                    _book_ignoring_connection_errors, self.fleet.callers["e1"], key
                )
                time.sleep(0.5)
                act("e1")
                time.sleep(1.5)
                for service in self.services:
                    self.fleet.faults(service.name)
                other = book(self.fleet.callers["e2"], key, deadline_ms=3000)
                undo("e1")
                job.result()
            self.assertLessEqual(self.runs_of(key), 1)
            if other.status != 201:
                self.assertEqual(other.body["error"]["ran"], "unknown", other)
            self.wait_for_peers()

    def test_bad_keys_are_refused_by_name(self):
        for key in ("", "not-a-uuid", str(uuid6.uuid6())):
            result = book(self.fleet.callers["e1"], key)
            self.assertEqual(result.status, 400, result)
            self.assertIn("Idempotency-Key", result.body["error"]["message"])


class ConfigurationTest(ProcessCase):
    """Guards against changes that are lost, late, or applied over a newer one."""

    def apply(self, client, spec, base, operation=None, kind="workspace"):
        schema = load_schema("operator")
        change = schema.Change(
            operation_id=operation or str(uuid6.uuid7()),
            kind=kind,
            name=spec["name"],
            spec=msgspec.json.encode(spec).decode(),
            base_version=base,
            deleted=False,
        )
        return client.apply(change, schema.Author(who="test", why="test"))

    def setUp(self):
        self.first = self.fleet.operator("e1")
        self.second = self.fleet.operator("e2")
        self.addCleanup(self.first.close)
        self.addCleanup(self.second.close)

    def test_change_is_in_force_at_all_entries(self):
        result = self.apply(self.first, {"name": "hearings", "weight": 2.0}, 0)
        started = time.monotonic()
        rows = self.second.wait_in_force(result.version, CONFIG_LIMIT)
        self.assertTrue(all(row.config_version >= result.version for row in rows), rows)
        self.assertLess(time.monotonic() - started, CONFIG_LIMIT)
        answer = generate(self.fleet.callers["e3"], workspace="hearings", max_tokens=4)
        self.assertTrue(answer.done, answer.error)

    def test_racing_operators_and_repeated_operation(self):
        error = load_schema("operator").OperatorError
        operation = str(uuid6.uuid7())
        created = self.apply(self.first, {"name": "race"}, 0, operation)
        self.assertEqual(self.apply(self.second, {"name": "race"}, 0, operation), created)
        self.apply(self.first, {"name": "race", "weight": 2.0}, created.version)
        with self.assertRaises(error) as caught:
            self.apply(self.second, {"name": "race", "weight": 3.0}, created.version)
        self.assertEqual(caught.exception.kind, "conflict")
        self.assertEqual(caught.exception.base_version, created.version)
        self.assertGreater(caught.exception.current_version, created.version)
        records = self.second.history("workspace", "race", 10)
        self.assertEqual([r.base_version for r in records][-1], 0)
        self.assertEqual(len(records), 2)

    def test_change_spreads_by_peers_and_survives_restart_in_an_outage(self):
        result = self.apply(self.first, {"name": "outage", "weight": 2.0}, 0)
        self.second.wait_in_force(result.version, CONFIG_LIMIT)
        self.fleet.faults("platform", outage="refuse")
        try:
            self.fleet.kill("e3")
            self.fleet.start_entry("e3")
            third = self.fleet.operator("e3")
            rows = third.status().entries
            third.close()
            self.assertGreaterEqual(rows[0].config_version, result.version)
            answer = generate(self.fleet.callers["e3"], workspace="outage", max_tokens=4)
            self.assertIn(answer.status, (200, 503))
        finally:
            self.fleet.faults("platform")
        self.wait_for_peers()

    def test_bad_declaration_is_refused(self):
        error = load_schema("operator").OperatorError
        with self.assertRaises(error) as caught:
            self.apply(self.first, {"name": "urgent", "order": -1}, 0, kind="rank")
        self.assertEqual(caught.exception.kind, "invalid_request")
        self.assertIn("order", caught.exception.reason)
        self.assertIn("target", caught.exception.reason)


class DrainTest(ProcessCase):
    """Guards against a graceful stop that truncates answers."""

    def test_planned_stop_under_load(self):
        with ThreadPoolExecutor(20) as threads:
            jobs = [
                threads.submit(generate, self.fleet.callers["e1"], max_tokens=80) for _ in range(20)
            ]
            time.sleep(0.5)
            self.fleet.terminate("e1")
            answers = [job.result() for job in jobs]
        for answer in answers:
            self.assertTrue(answer.done, answer.error or answer.connection_error)
            self.assert_complete(answer.text, 80)
        self.assertEqual(self.fleet.wait_exit("e1", 10), 0)


class DrainLimitTest(ProcessCase):
    """Guards against an instance that outlives the time that it may wait for its streams."""

    LIMIT = 2.0
    entries = tuple(
        EntrySpec(f"e{n}", extra={"lifecycle": {"balancer_delay": 0.0, "drain_limit": 2.0}})
        for n in (1, 2)
    )

    def test_stream_that_goes_on_after_the_limit_continues_elsewhere(self):
        tokens, request_id = 240, str(uuid6.uuid7())
        with ThreadPoolExecutor(1) as threads:
            job = threads.submit(
                generate, self.fleet.callers["e1"], request_id=request_id, max_tokens=tokens
            )
            time.sleep(0.5)
            self.fleet.terminate("e1")
            self.assertEqual(self.fleet.wait_exit("e1", self.LIMIT + RESUME_LIMIT), 0)
            first = job.result()
        self.assertFalse(first.done)
        rest = generate(
            self.fleet.callers["e2"],
            request_id=request_id,
            last_event_id=first.event_id,
            max_tokens=tokens,
        )
        self.assertTrue(rest.done, rest.error)
        self.assert_complete(first.text + rest.text, tokens)


def _book_ignoring_connection_errors(url, key):
    """Sends a booking to an instance that may be killed meanwhile."""
    try:
        return book(url, key)
    except OSError as exc:
        return exc
