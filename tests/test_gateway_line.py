"""Tests of streams that wait for an engine at one gateway."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace

from gateway_case import (
    KEY,
    STREAM_ROUTE,
    GatewayCase,
    chunk,
    event,
    stream_head,
    table,
)

from sapphireledge.gateway import WorkspaceKey

BUSY = {"waiting": 9, "running": 9, "runs": []}
IDLE = {"waiting": 0, "running": 0, "runs": []}
ROUTES = (
    replace(STREAM_ROUTE, name="r-urgent", path_prefix="/urgent/", rank=0, time_limit=40.0),
    replace(STREAM_ROUTE, name="r-lower", path_prefix="/lower/", rank=1, time_limit=40.0),
)


async def stream(request, writer):
    writer.write(stream_head(request) + chunk(event(0)) + b"0\r\n\r\n")


class LineTest(GatewayCase):
    """Streams that wait while all engines have queues."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        routes = {"svc.example": ROUTES}
        keys = {KEY: WorkspaceKey("court"), "k2": WorkspaceKey("press")}
        self.gateway.config.accept(replace(table(2), routes=routes, keys=keys))
        self.order = []
        for _ in range(2):
            server = await self.add("llm", self.serve)
            server.load = BUSY

    async def serve(self, request, writer):
        self.order.append(request.target.decode())
        await stream(request, writer)

    def line(self):
        return self.gateway._streams._selector._line("llm").order

    async def start_waiting(self, *paths):
        """Calls each path, so that the streams wait in that order."""
        calls = []
        for path in paths:
            calls.append(asyncio.create_task(self.call(path, x_sapphireledge_deadline_ms="30000")))
            while len(self.line()) < len(calls):
                await asyncio.sleep(0.01)
        return calls

    def set_load(self, load):
        for server in self.servers:
            server.load = load

    async def test_urgent_stream_starts_first_although_it_came_last(self):
        """Guards against an order by chance among waiting streams."""
        calls = await self.start_waiting("/lower/1", "/lower/2", "/urgent/3")
        self.set_load(IDLE)
        responses = await asyncio.gather(*calls)
        self.assertTrue(all(response.complete for response in responses))
        self.assertEqual(self.order[0], "/urgent/3")
        self.assertFalse(len(self.line()))

    async def test_caller_that_leaves_gives_up_its_place(self):
        """Guards against places of callers that are gone."""
        calls = await self.start_waiting("/urgent/1", "/lower/2")
        calls[0].cancel()
        while len(self.line()) > 1:
            await asyncio.sleep(0.01)
        self.set_load(IDLE)
        self.assertTrue((await calls[1]).complete)
        self.assertEqual(self.order, ["/lower/2"])

    async def test_stopping_instance_starts_what_waits(self):
        """Guards against accepted streams that wait until the process ends."""
        calls = await self.start_waiting("/urgent/1", "/lower/2")
        self.gateway.begin_stop()
        responses = await asyncio.wait_for(asyncio.gather(*calls), 3)
        self.assertTrue(all(response.complete for response in responses))

    async def test_further_engine_is_used_at_once(self):
        """Guards against a line that waits for its timer although there is a new engine."""
        calls = await self.start_waiting("/urgent/1")
        added = await self.add("llm", self.serve)
        self.assertTrue((await calls[0]).complete)
        self.assertEqual(len(added.received), 1)

    async def test_error_in_a_round_ends_the_wait(self):
        """Guards against streams that wait for a line whose task has ended."""
        calls = await self.start_waiting("/urgent/1")

        def fail(*args):
            raise RuntimeError("broken on purpose")

        self.line().next = fail
        response = await asyncio.wait_for(calls[0], 3)
        self.assertEqual((response.status, response.complete), (502, True))
        self.line().__dict__.pop("next")
        self.set_load(IDLE)
        self.assertTrue((await self.call("/urgent/2")).complete)


if __name__ == "__main__":
    unittest.main()
