"""Tests of the stand-ins as separate processes controlled over HTTP."""

from __future__ import annotations

import asyncio
import os
import sys

import msgspec
from standin_case import StandinCase, collect, make_call

from sapphireledge.backends import (
    AttemptFinished,
    CallFailure,
    CallFailureCause,
    EngineClient,
    ServiceClient,
)
from sapphireledge.errors import Ran

FAULT_EXIT_CODE = 70
"""Exit code of a stand-in that an injected fault ends."""


class StandinProcessTest(StandinCase):
    """Guards against faults that work only if the stand-in runs in the test process."""

    async def start_standin(self, module: str, *options: str):
        """Starts a stand-in and returns the process and its address."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            f"sapphireledge_standins.{module}",
            *options,
            stdout=asyncio.subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
        )

        async def stop() -> None:
            if process.returncode is None:
                process.kill()
            await process.communicate()

        self.addAsyncCleanup(stop)
        line = await asyncio.wait_for(process.stdout.readline(), 20)
        return process, line.split()[1].decode()

    async def set_faults(self, address: str, faults: dict) -> None:
        answer = await ServiceClient(address, self.pools).call(
            "PUT", "/admin/faults", {}, msgspec.json.encode(faults), 2.0
        )
        self.assertEqual(answer.status, 200)

    async def read_counts(self, address: str) -> dict:
        answer = await ServiceClient(address, self.pools).call("GET", "/admin/counts", {}, b"", 2.0)
        return msgspec.json.decode(answer.body)

    async def test_engine_process(self):
        process, address = await self.start_standin(
            "engine_server", "--token-rate", "400", "--slots", "2"
        )
        client = EngineClient(address, self.pools)
        self.assertIsInstance((await collect(client, make_call()))[-1], AttemptFinished)
        counts = await self.read_counts(address)
        self.assertEqual(counts["tokens_generated"], 12)
        self.assertEqual(counts["requests"]["r1"][0]["tokens"], 12)
        await self.set_faults(address, {"die_on_text": "crash me"})
        events = await collect(client, make_call("r2", prompt="crash me"))
        self.assertEqual((events[-1].cause, events[-1].ran), ("connection_lost", Ran.UNKNOWN))
        self.assertEqual(await asyncio.wait_for(process.wait(), 5), FAULT_EXIT_CODE)

    async def test_service_process(self):
        process, address = await self.start_standin("service_server")
        client = ServiceClient(address, self.pools)
        booking_call = ("POST", "/book", {"Idempotency-Key": "k1"}, b"{}", 1.0)
        await self.set_faults(address, {"refuse_for": 2.0})
        await asyncio.sleep(0.3)
        failure = await client.call(*booking_call)
        self.assertEqual((failure.cause, failure.ran), (CallFailureCause.NOT_CONNECTED, Ran.NO))
        async with asyncio.timeout(10):
            while isinstance(answer := await client.call(*booking_call), CallFailure):
                self.assertEqual(answer.ran, Ran.NO)
                await asyncio.sleep(0.1)
        self.assertEqual(answer.status, 201)
        self.assertEqual((await self.read_counts(address))["runs"], {"k1": 1})
        await self.set_faults(address, {"die_after_run": True})
        self.assertEqual((await client.call(*booking_call)).ran, Ran.UNKNOWN)
        self.assertEqual(await asyncio.wait_for(process.wait(), 5), FAULT_EXIT_CODE)
