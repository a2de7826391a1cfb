"""Tests of the copies of running streams through the gateway."""

from __future__ import annotations

import asyncio
import json
import time
import unittest
from dataclasses import replace

from gateway_case import (
    HOST,
    GatewayCase,
    chunk,
    event,
    full_response,
    stream_head,
    table,
)

from sapphireledge.core.quarantine import DeathRecord
from sapphireledge.gateway import BackendServer, seconds_since_boot
from sapphireledge.platform.decode_config import decode_config

END = b"0\r\n\r\n"
LAST = 30
"""Number of the last event."""

TARGET = "x-sapphireledge-kv-backup"


class LostStandbyTest(GatewayCase):
    """Guards against processing a prompt again because the standby was lost before the engine."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.lifetime(4.0)
        self.copies = []
        self.copy_status = 200
        self.copy_delay = 0.0
        self.ends = False
        self.stops_after_copy = True
        self.copied = asyncio.Event()
        self.standby_port = 0

    def build_table(self, version, lifetime):
        routes = table(version)
        engine = {"backups": True, "moves": True, "handle_s": lifetime}
        spec = {"version": version, "routes": []}
        spec["services"] = [{"name": "llm", "engine": engine}]
        return replace(routes, services={**routes.services, **decode_config(spec).services})

    async def engine(self, request, writer):
        """Generates events, loses its standby, and breaks or ends once it has been copied."""
        if request.target != b"/stream/":
            return await self.answer_copy(request, writer)
        if "last-event-id" in request.headers:
            writer.write(stream_head(request, "t") + chunk(event(LAST)) + END)
            return await writer.drain()
        self.standby_port = int(request.headers[TARGET].rpartition(":")[2])
        writer.write(stream_head(request))
        for number in range(20):
            writer.write(chunk(event(number)))
            await writer.drain()
            if number == 1:
                self.lose_standby()
            await asyncio.sleep(0.1)
            if self.copied.is_set() and self.stops_after_copy:
                break
        writer.write(chunk(b"".join(event(n) for n in range(number + 1, LAST))))
        if self.ends:
            writer.write(chunk(event(LAST)) + END)
            return await writer.drain()
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.transport.abort()

    def lose_standby(self):
        (lost,) = [s for s in self.servers if s.port == self.standby_port]
        registry = self.gateway.context.registry
        self.lost_centre = registry.state(lost.server_id).server.data_centre
        registry.remove(lost.server_id)

    async def answer_copy(self, request, writer):
        self.copies.append(request)
        await asyncio.sleep(self.copy_delay)
        body = json.dumps({"handle": "h7", "created": 3}).encode()
        writer.write(full_response(self.copy_status, {}, body))
        await writer.drain()
        self.copied.set()

    async def run_stream(self):
        for number in range(3):
            await self.add("llm", self.engine, f"dc-{'abc'[number]}")
        response = await self.call("/stream/")
        return response

    def resumed(self):
        return [
            (server, request)
            for server in self.servers
            for request in server.received
            if "last-event-id" in request.headers
        ]

    async def test_stream_goes_on_from_the_new_copy(self):
        response = await self.run_stream()
        self.assertTrue(response.complete)
        self.assertEqual(response.body, b"".join(event(n) for n in range(LAST + 1)))
        ((server, request),) = self.resumed()
        (copy,) = self.copies
        asked = json.loads(copy.body)
        self.assertEqual(copy.target, b"/kv-move")
        self.assertEqual(asked["id"], request.headers["x-sapphireledge-request-id"])
        self.assertEqual(asked["target"], f"127.0.0.1:{server.port}")
        self.assertNotEqual(server.port, self.standby_port)
        source = next(s for s in self.servers if copy in s.received)
        self.assertEqual(request.headers["kv-from"], f"127.0.0.1:{source.port}/h7")

    async def test_copy_is_not_made_where_the_standby_was_lost(self):
        """Guards against copies to a data centre whose engines have just been lost."""
        for name in "bbbbbccccc":
            await self.add("llm", self.engine, f"dc-{name}")
        response = await self.run_stream()
        self.assertTrue(response.complete)
        (target,) = [json.loads(copy.body)["target"] for copy in self.copies]
        states = self.gateway.context.registry.list_servers("llm")
        centres = {server.address: server.data_centre for server in states}
        self.assertNotEqual(centres[target], self.lost_centre)

    async def test_copy_is_made_at_an_engine_of_the_same_version(self):
        """Guards against a stream that goes on from a copy at an engine of another version."""
        for number in range(6):
            other = await self.add("llm", self.engine, "dc-d")
            self.gateway.context.registry.put(
                BackendServer(other.server_id, "llm", HOST, other.port, f"dc-{number}", version="2")
            )
        response = await self.run_stream()
        self.assertTrue(response.complete)
        ((server, _),) = self.resumed()
        (copy,) = self.copies
        targets = [s.port for s in self.servers[6:]]
        self.assertIn(self.standby_port, targets)
        self.assertEqual(json.loads(copy.body)["target"], f"127.0.0.1:{server.port}")
        self.assertIn(server.port, targets)

    async def test_stream_without_room_for_a_copy(self):
        self.copy_status = 503
        response = await self.run_stream()
        self.assertTrue(response.complete)
        ((_, request),) = self.resumed()
        self.assertNotIn("kv-from", request.headers)

    async def test_copy_of_a_complete_stream_is_given_up(self):
        self.ends = True
        response = await self.run_stream()
        self.assertTrue(response.complete)
        async with asyncio.timeout(5.0):
            await self.wait_for_release()
        self.assertEqual(self.resumed(), [])

    async def test_copies_are_refreshed_at_their_holder(self):
        self.lifetime(1.4, version=4)
        self.stops_after_copy = False
        response = await self.run_stream()
        self.assertTrue(response.complete)
        targets = [json.loads(copy.body)["target"] for copy in self.copies if copy.body]
        self.assertGreater(len(targets), 1)
        self.assertEqual(len(set(targets)), 1)

    async def test_copy_is_given_up_when_the_caller_leaves(self):
        self.stops_after_copy = False
        for number in range(3):
            await self.add("llm", self.engine, f"dc-{'abc'[number]}")
        task = asyncio.create_task(self.call("/stream/"))
        async with asyncio.timeout(5.0):
            await self.copied.wait()
            await asyncio.sleep(0.1)
            task.cancel()
            await self.wait_for_release()

    async def test_transfer_that_ends_after_the_stream_is_given_up(self):
        self.ends = True
        self.copy_delay = 0.6
        response = await self.run_stream()
        self.assertTrue(response.complete)
        async with asyncio.timeout(5.0):
            await self.wait_for_release()

    async def test_restarted_standby_has_no_copy(self):
        self.lose_standby = lambda: self.put_standby(port=1)
        await self.check_copied_elsewhere()

    async def test_leaving_standby_is_replaced(self):
        self.lose_standby = lambda: self.put_standby(draining=True)
        await self.check_copied_elsewhere()

    async def test_standby_that_died_is_replaced(self):
        def report_death():
            standby = self.standby()
            record = DeathRecord(standby.server_id, "1", time.time() + 0.01)
            self.gateway.context.crashes.quarantine.on_engine_death(time.time(), record)

        self.lose_standby = report_death
        await self.check_copied_elsewhere()

    async def test_standby_whose_entry_came_back_still_has_its_copy(self):
        """Guards against copies from engine to engine after the store was away."""

        def lapse():
            standby = self.standby()
            registry = self.gateway.context.registry
            record = DeathRecord(standby.server_id, "1", time.time() - 0.01)
            self.gateway.context.crashes.quarantine.on_engine_death(time.time(), record)
            registry.remove(standby.server_id)
            registry.put(standby)

        self.lose_standby = lapse
        response = await self.run_stream()
        self.assertTrue(response.complete)
        self.assertEqual(self.copies, [])
        ((_, request),) = self.resumed()
        self.assertEqual(request.headers["kv-from"].rpartition("/")[2], "id1")

    async def check_copied_elsewhere(self):
        response = await self.run_stream()
        self.assertTrue(response.complete)
        copy, *_ = self.copies
        self.assertNotEqual(json.loads(copy.body)["target"], f"127.0.0.1:{self.standby_port}")
        ((_, request),) = self.resumed()
        self.assertEqual(request.headers["kv-from"].rpartition("/")[2], "h7")

    def standby(self):
        """Returns the standby as the registry describes it."""
        (scripted,) = [s for s in self.servers if s.port == self.standby_port]
        return self.gateway.context.registry.state(scripted.server_id).server

    def put_standby(self, **fields):
        self.gateway.context.registry.put(replace(self.standby(), **fields))

    def lifetime(self, seconds, version=3):
        config = self.gateway.config
        config.accept(self.build_table(version, seconds))
        config.confirm(seconds_since_boot())

    async def wait_for_release(self):
        """Waits until the copy is given up."""
        while not self.copies or self.copies[-1].method != b"DELETE":
            await asyncio.sleep(0.01)
        self.assertEqual(self.copies[-1].target, b"/kv-handle/h7")


if __name__ == "__main__":
    unittest.main()
