"""Tests of what limits questions of operators, and of their settings."""

from __future__ import annotations

import asyncio
import os
import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

from explain_case import STREAM, ExplainCase
from gateway_case import HOST
from test_explain_own import QUESTION, OwnDecisionTest

from sapphireledge.core.admission import QueuedWork
from sapphireledge.core.explanation import ExplainedOutcome, Explanation
from sapphireledge.errors import ErrorKind
from sapphireledge.limits import CallerBudgets, CallerLedger
from sapphireledge.operator import GatewayOperatorServer
from sapphireledge.operator.paced_explainer import MAX_WAITING, PAUSE, PacedExplainer
from sapphireledge.platform.operator_listener import OperatorListener
from sapphireledge.platform.operator_settings import read_operator_settings
from sapphireledge.rpc import RpcError, RpcLimits, ThriftConnection, load_schema


class SlowExplainer:
    def __init__(self):
        self.running, self.most, self.times = 0, 0, []

    async def explain(self, question):
        self.times.append(time.monotonic())
        self.running += 1
        self.most = max(self.most, self.running)
        await asyncio.sleep(0.01)
        self.running -= 1
        return Explanation()


class PacedExplainerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against questions that leave callers no time."""

    async def test_one_at_a_time_with_a_pause(self):
        slow = SlowExplainer()
        paced = PacedExplainer(slow)
        await asyncio.gather(*(paced.explain(STREAM) for _ in range(3)))
        self.assertEqual(slow.most, 1)
        gaps = [later - sooner for sooner, later in zip(slow.times, slow.times[1:], strict=False)]
        self.assertGreaterEqual(min(gaps), PAUSE)

    async def test_more_than_may_wait_are_refused(self):
        paced = PacedExplainer(SlowExplainer())
        asked = [asyncio.create_task(paced.explain(STREAM)) for _ in range(MAX_WAITING + 2)]
        found = await asked[-1]
        self.assertIs(found.kind, ErrorKind.OVERLOADED)
        for task in asked:
            task.cancel()
        await asyncio.gather(*asked, return_exceptions=True)
        self.assertIsInstance(await paced.explain(STREAM), Explanation)


class LongQueueTest(unittest.IsolatedAsyncioTestCase):
    """Guards against an answer that copies a long queue."""

    setUp = OwnDecisionTest.setUp
    list_engines = OwnDecisionTest.list_engines

    async def test_long_queue_is_counted_and_not_copied(self):
        self.list_engines(load=4)
        scheduler = self.pool._get_scheduler("drafter", "v1")
        for number in range(2_000):
            work = QueuedWork(f"w{number}", "urgent", "club", 1, 1, 1.0)
            scheduler.offer(time.monotonic(), work)
        begun = time.perf_counter()
        found = await self.explainer.explain(QUESTION)
        self.assertLess(time.perf_counter() - begun, 0.04)
        self.assertEqual(found.waiting, {"urgent": scheduler.queued})
        self.assertIsNone(found.position)
        self.assertIn(f"{scheduler.queued} requests wait", " ".join(found.unknown))
        self.assertIs(found.outcome, ExplainedOutcome.WAITS)

    async def test_reason_of_a_wait_is_that_of_the_line(self):
        self.list_engines(load=4)
        found = await self.explainer.explain(QUESTION)
        self.assertIn("requests go before it", found.reason)


class OperatorPlacesTest(ExplainCase):
    """Guards against a crowd without the secret that keeps operators out."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.limited = []
        self.ledger = CallerLedger(CallerBudgets().metrics, self.limited.append)
        self.server = GatewayOperatorServer(HOST, 0, "secret", self.gateway, self.ledger)
        self.assertIsNone(await self.server.start())
        self.addAsyncCleanup(self.server.stop)
        self.address = f"{HOST}:{self.server.port}"

    async def connect(self):
        service = load_schema("operator").Operator
        conn = await ThriftConnection.open(service, self.address, RpcLimits(), 2.0)
        await conn.call("hello", "secret", "me", timeout=2)
        return conn

    async def test_crowd_leaves_authenticated_connections(self):
        conn = await self.connect()
        crowd = [
            (await asyncio.open_connection(HOST, self.server.port))[1]
            for _ in range(2 * self.ledger.limits.connections)
        ]
        await asyncio.sleep(0.05)
        self.assertTrue((await conn.call("status", timeout=2)).entries)
        self.assertTrue(self.limited)
        for writer in crowd:
            writer.close()
        await asyncio.gather(*(w.wait_closed() for w in crowd), return_exceptions=True)

    async def test_question_in_progress_is_not_thrown_out(self):
        first = await self.connect()
        release = asyncio.Event()

        async def explain(question):
            await release.wait()
            return Explanation()

        request = load_schema("operator").ExplainRequest(host="svc.example", path="/stream/a")
        with mock.patch.object(self.server.explainer, "explain", explain):
            asked = asyncio.create_task(first.call("explain", request, timeout=5))
            await asyncio.sleep(0.05)
            others = [await self.connect() for _ in range(self.ledger.limits.connections)]
            release.set()
            self.assertEqual((await asked).outcome, "sent")
        with self.assertRaises(RpcError):
            await others[0].call("status", timeout=2)
        for conn in (first, *others):
            conn.close()

    def test_limits_are_counted_apart_from_those_of_callers(self):
        telemetry = self.context.telemetry
        with mock.patch.object(telemetry._metrics.caller_limits, "labels") as callers:
            telemetry.record_operator_limit("too_many_connections")
        callers.assert_not_called()
        self.assertIn(b"operator_limits_total{", telemetry._metrics.render())


class OperatorSettingsTest(unittest.IsolatedAsyncioTestCase):
    """Guards against operators' settings that stop callers."""

    def read(self, environment, address="127.0.0.1:4"):
        with mock.patch.dict(os.environ, environment):
            return read_operator_settings(address)

    def test_unusable_settings_raise_only_here(self):
        with tempfile.TemporaryDirectory() as folder:
            absent = {"SAPPHIRELEDGE_OPERATOR_SECRET_FILE": str(Path(folder, "absent"))}
            with self.assertRaises(OSError):
                self.read(absent)
        given = {"SAPPHIRELEDGE_OPERATOR_SECRET": "s"}
        for address in ("", "nonsense", "1:x"):
            with self.subTest(address=address), self.assertRaises(ValueError):
                self.read(given, address)
        self.assertIsNone(self.read({}, "nonsense"))

    async def test_listener_logs_what_ends_it(self):
        cfg = self.read({"SAPPHIRELEDGE_OPERATOR_SECRET": "s"})
        listener = OperatorListener(cfg, mock.Mock())
        listener._log = mock.Mock()
        listener._create_server = mock.Mock(side_effect=RuntimeError("broken"))
        await listener.run()
        self.assertIn("broken", listener._log.error.call_args.kwargs["reason"])


if __name__ == "__main__":
    unittest.main()
