"""Tests of the log lines that tell what the deaths of servers have in common."""

from __future__ import annotations

import asyncio
import unittest

from gateway_case import GatewayCase
from structlog.testing import capture_logs

from sapphireledge.gateway import GatewayEvent


class DeathLogTest(GatewayCase):
    async def test_death_names_the_requests_by_the_fingerprint_of_their_admission(self):
        """Guards against deaths that cannot be compared: their requests were only counted."""

        async def crash(request, writer):
            server.stop()
            writer.transport.abort()

        server = await self.add("app", crash)
        with capture_logs() as lines:
            await self.call("/once/a")
            async with asyncio.timeout(5.0):
                while not any(line["event"] == GatewayEvent.SERVER_DIED for line in lines):
                    await asyncio.sleep(0.01)
        admitted = next(line for line in lines if line["event"] == GatewayEvent.ADMITTED)
        died = next(line for line in lines if line["event"] == GatewayEvent.SERVER_DIED)
        self.assertEqual(died["suspects"], (admitted["fingerprint"],))
        self.assertEqual(died["suspect_count"], 1)


if __name__ == "__main__":
    unittest.main()
