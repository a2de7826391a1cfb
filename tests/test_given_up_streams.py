"""Tests of begun streams that need a retry while the allowance has none."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace

from gateway_case import (
    REQUEST_ID,
    STREAM_ROUTE,
    GatewayCase,
    chunk,
    full_response,
    stream_head,
    table,
)
from test_gateway_stream import events, streaming_engine
from virtual_clock import VirtualClock

from sapphireledge.gateway import BackendServer
from sapphireledge.gateway.outcome import Outcome, OutcomeKind
from sapphireledge.gateway.stream_progress import StreamProgress


async def refuse(request, writer):
    headers = {REQUEST_ID: request.headers[REQUEST_ID], "x-sapphireledge-not-executed": "1"}
    writer.write(full_response(503, headers, b""))


class GivenUpStreamTest(VirtualClock, GatewayCase):
    """Guards against an answer that this instance cuts although its engine did not break it off."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        cfg = replace(self.cfg, retry_ratio=0.0, retry_slack=1.0, retry_window=3.0)
        self.gateway.reconfigure(cfg)
        self.gateway.context.retry_allowance("llm")

    async def play(self, on_break, deadline_ms):
        """Breaks a stream after four events; the next engine refuses, a third one goes on.

        Returns:
            The response and the seconds that it took.
        """
        await self.add("llm", streaming_engine(0, 3, end=False, on_break=on_break))
        await self.add("llm", refuse, "dc-b")
        await self.add("llm", streaming_engine(4, 8), "dc-c")
        started = asyncio.get_running_loop().time()
        response = await self.call("/stream/", x_sapphireledge_deadline_ms=str(deadline_ms))
        return response, asyncio.get_running_loop().time() - started

    async def test_stream_waits_for_a_retry(self):
        response, _ = await self.play("hang", 8000)
        self.assertEqual((response.body, response.complete), (events(*range(9)), True))

    async def test_stream_that_no_retry_can_save_ends_at_once(self):
        response, seconds = await self.play("hang", 2500)
        self.assertFalse(response.complete)
        self.assertLess(seconds, 1.0)

    async def test_stream_that_the_next_engine_rejects_waits_for_a_retry(self):
        response, _ = await self.play("reset", 8000)
        self.assertEqual((response.body, response.complete), (events(*range(9)), True))

    async def test_stream_that_its_engine_broke_off_goes_back_to_its_caller(self):
        now = asyncio.get_running_loop().time()
        self.assertTrue(self.gateway.context.retry_allowance("llm").try_spend(now))
        response, seconds = await self.play("reset", 8000)
        self.assertFalse(response.complete)
        self.assertLess(seconds, 1.0)


class UnreachableEngineTest(unittest.TestCase):
    def test_given_up_stream_that_finds_an_unreachable_engine_still_waits(self):
        """Guards against an answer that is cut although no engine has broken it off."""
        first = BackendServer("s1", "llm", "10.0.0.1", 80, "dc-a")
        second = replace(first, server_id="s2")
        progress = StreamProgress(None)
        progress.on_outcome(Outcome(OutcomeKind.LOST, first, "silent", is_given_up=True))
        progress.on_outcome(Outcome(OutcomeKind.NOT_EXECUTED, second, "cannot connect"))
        self.assertFalse(progress.was_broken_off)
        progress.on_outcome(Outcome(OutcomeKind.LOST, second, "reset"))
        progress.on_outcome(Outcome(OutcomeKind.NOT_EXECUTED, first, "cannot connect"))
        self.assertTrue(progress.was_broken_off)


class PreemptedStreamTest(VirtualClock, GatewayCase):
    """Guards against cutting a preempted stream because its engine does not list it meanwhile."""

    async def check_whole(self, path):
        async def preempt(request, writer):
            writer.write(stream_head(request) + chunk(events(0, 1)))
            engine.load = {"waiting": 1, "running": 3, "runs": []}
            await asyncio.sleep(3.8)
            writer.write(chunk(events(2)) + b"0\r\n\r\n")

        engine = await self.add("llm", preempt)
        response = await self.call(path, x_sapphireledge_deadline_ms="7000")
        self.assertEqual((response.body, response.complete), (events(0, 1, 2), True))

    async def test_stream_without_another_engine(self):
        await self.check_whole("/stream/")

    async def test_stream_that_is_not_resumable(self):
        await self.check_whole("/non-resumable/")

    async def test_stream_whose_last_attempt_another_engine_might_reject(self):
        route = replace(STREAM_ROUTE, max_attempts=2)
        self.gateway.config.accept(replace(table(2), routes={"svc.example": (route,)}))
        await self.add("llm", refuse, "dc-b")
        await self.check_whole("/stream/")


class SilentEngineTest(GatewayCase):
    """Guards against a begun answer that is cut although its engine goes on with it."""

    async def test_engine_without_reports_for_a_while(self):
        async def serve(request, writer):
            writer.write(stream_head(request) + chunk(events(0)))
            await writer.drain()
            server.load = []
            await asyncio.sleep(2.6)
            writer.write(chunk(events(1, 2)) + b"0\r\n\r\n")

        server = await self.add("llm", serve)
        self.assertTrue((await self.call("/non-resumable/x")).complete)


if __name__ == "__main__":
    unittest.main()
