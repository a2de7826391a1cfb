"""Tests of streams whose engine was silent, and that this instance gave up."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace

from gateway_case import GatewayCase
from test_gateway_stream import events, refuse, streaming_engine
from virtual_clock import VirtualClock


class GivenUpStreamTest(VirtualClock, GatewayCase):
    """Guards against an answer that ends early because its engine was silent for a while."""

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

    async def test_stream_that_its_engine_broke_off_goes_back_to_its_caller(self):
        response, seconds = await self.play("reset", 8000)
        self.assertFalse(response.complete)
        self.assertLess(seconds, 1.0)


if __name__ == "__main__":
    unittest.main()
