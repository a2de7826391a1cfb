"""Tests of the gateway with requests that crash the engines that begin to answer them."""

from __future__ import annotations

import asyncio
import unittest

from crashing_engine import CrashingEngine
from gateway_case import GatewayCase

from sapphireledge.gateway import CrashGuard, QuarantineSettings

PARTS = "x-sapphireledge-prefix-hash"
BAD_PART = "bad0"

ENGINES = 6
"""Enough engines for every request to be sent on until its attempts are used up."""

PAUSE = 0.25
"""Seconds between two requests; engines crash over several seconds, as under real traffic."""


def has_bad_part(request):
    return BAD_PART in request.headers.get(PARTS, "")


class CrashingPartTest(GatewayCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.engines = []
        context = self.gateway.context
        # The engines of this test crash within a tenth of the time that real ones take.
        cfg = QuarantineSettings(burst_window=QuarantineSettings().burst_window / 10)
        context.crashes = CrashGuard(cfg, context.telemetry)

    async def asyncTearDown(self):
        for engine in self.engines:
            await engine.stop()
        await super().asyncTearDown()

    async def start_engines(self, is_bad):
        registry = self.gateway.context.registry
        for index in range(ENGINES):
            engine = CrashingEngine(
                f"engine-{index}",
                is_bad,
                lambda server, dc=f"dc-{'ab'[index % 2]}": self.register(server, "llm", dc),
                lambda server: registry.remove(server.server_id),
            )
            await engine.start()
            self.engines.append(engine)

    def crashes(self):
        return sum(len(engine.crashes) for engine in self.engines)

    async def ask(self, *parts, delay=0.0):
        await asyncio.sleep(delay)
        prefix = ",".join(f"{part}:100" for part in parts)
        return await self.call("/stream/", x_sapphireledge_prefix_hash=prefix)

    async def test_requests_that_share_a_crashing_part_end_few_engines(self):
        """Guards against requests of one kind that crash engine after engine."""
        await self.start_engines(has_bad_part)
        bad = [self.ask("subject", BAD_PART, f"own{i}", delay=i * PAUSE) for i in range(16)]
        sound = [self.ask("subject", f"mine{i}", delay=i * PAUSE) for i in range(16)]
        responses = await asyncio.gather(*bad, *sound)
        # The fifth crash proves the cause; requests that were sent before it may end more engines.
        self.assertLessEqual(self.crashes(), 8)
        self.assertEqual({r.status for r in responses[15:16]}, {503})
        self.assertTrue(all(r.complete for r in responses[-4:]), "sound requests are refused")


if __name__ == "__main__":
    unittest.main()
