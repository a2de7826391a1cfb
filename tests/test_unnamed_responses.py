"""Tests that a late copy of a response is never taken for the response to a call without an id."""

from __future__ import annotations

import asyncio
import json
import unittest

from gateway_case import HOST, REQUEST_ID, SEAL
from repeating_server import RepeatingServer
from standin_case import StandinCase

from sapphireledge.backends import (
    CachePage,
    CallFailure,
    CallFailureCause,
    EngineClient,
    GenerationCall,
    LoadReport,
    ServiceClient,
)
from sapphireledge.errors import Ran
from sapphireledge.feed import FeedSettings, KindFeed, Peer, SourceError, StoreEpoch
from sapphireledge.feed.feed_channel import read_message, write_message
from sapphireledge.feed.feed_follower import FeedFollower
from sapphireledge.feed.feed_message import FeedReply, FeedRequest, KindReply
from sapphireledge.gateway import BackendServer
from sapphireledge.gateway.backend_response_error import BackendResponseError
from sapphireledge.gateway.connection_pool import ConnectionPool
from sapphireledge.gateway.engine_copy_client import EngineCopyClient
from sapphireledge.gateway.engine_report_client import EngineReportClient
from sapphireledge.platform.platform_dialect import PlatformDialect
from sapphireledge.platform.store_client import StoreClient
from sapphireledge.platform.store_settings import StoreSettings

HOLDER = BackendServer("i-2", "llm", HOST, 9, "dc-b")


def report(waiting):
    return {"waiting": waiting, "running": 0, "kv_used": 0, "kv_total": 9, "runs": []}


def copy_of(sent):
    """The response to a request for a copy."""
    return {"handle": f"h-{json.loads(sent)['id']}", "created": 3}


class RepeatingCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = RepeatingServer(echoed=(REQUEST_ID,))
        await self.server.start()
        self.addCleanup(self.server.stop)


class EngineCallTest(RepeatingCase):
    """Calls of the gateway to engines."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.pool = ConnectionPool()
        self.addCleanup(self.pool.close)
        self.engine = BackendServer("i-1", "llm", HOST, self.server.port, "dc-a")
        self.copies = EngineCopyClient(self.pool, PlatformDialect())
        self.reports = EngineReportClient(self.pool, PlatformDialect())

    async def send(self, request_id, *, at_most_once=False):
        """Sends a request with an id, as the gateway does; returns the body."""
        conn = await self.pool.acquire(
            self.engine, at_most_once=at_most_once, request_id=request_id
        )
        headers = [(b"host", b"x"), (REQUEST_ID.encode(), request_id.encode())]
        conn.send(b"GET", b"/plain/", headers, b"")
        try:
            await conn.read_head(PlatformDialect(), request_id)
            body = await conn.read_body()
        except BackendResponseError:
            conn.abort()
            raise
        self.pool.release(self.engine, conn)
        return body

    async def fetch_waiting(self):
        load = await self.reports.fetch_report(self.engine, 2.0)
        return None if load is None else load.waiting

    async def test_copy_keeps_its_own_handle(self):
        """Guards against a stream that goes on from the memory of another caller's stream."""
        self.server.script("/kv-move", *[copy_of] * 5)
        self.assertEqual(await self.copy_each("r0", "r1", "r2"), ["h-r0", "h-r1", "h-r2"])
        # The response that follows a late copy is not read.
        self.assertEqual(self.server.connections, 3)

    async def test_connection_serves_many_copies(self):
        self.server.repeats = False
        self.server.script("/kv-move", *[copy_of] * 4)
        self.assertEqual(
            await self.copy_each("r0", "r1", "r0", "r1"), ["h-r0", "h-r1", "h-r0", "h-r1"]
        )
        self.assertEqual(self.server.connections, 1)

    async def test_late_refusal_takes_no_copy_from_another_stream(self):
        """Guards against a stream without a copy because that of another one was refused."""
        self.server.script("/kv-move", {}, status=503)
        self.server.script("/kv-move", copy_of, copy_of)
        first = await self.copies.copy(self.engine, "r0", HOLDER)
        self.assertTrue(first.is_refused)
        self.assertEqual(await self.copy_each("r1"), ["h-r1"])

    async def test_late_report_is_no_copy(self):
        self.server.script("/report", report(7))
        self.server.script("/kv-move", copy_of, copy_of)
        self.assertEqual(await self.fetch_waiting(), 7)
        self.assertEqual(await self.copy_each("r0"), ["h-r0"])

    async def copy_each(self, *request_ids):
        copies = [await self.copies.copy(self.engine, name, HOLDER) for name in request_ids]
        return [copy.handle for copy in copies]

    async def test_release_has_its_own_status(self):
        """Guards against a copy that counts as given up because an earlier one was."""
        self.server.script("/kv-handle/h0", {})
        self.server.script("/kv-handle/h1", {}, status=404)
        results = [await self.copies.release(self.engine, f"h{n}") for n in range(2)]
        self.assertEqual(results, ["", "status 404"])

    async def test_reports_are_not_those_of_earlier_queries(self):
        """Guards against decisions by a load that was reported long ago."""
        self.server.script("/report", *(report(n) for n in range(4)))
        waiting = [await self.fetch_waiting() for _ in range(4)]
        self.assertEqual(waiting, [0, 1, 2, 3])

    async def test_cache_listings_are_not_those_of_earlier_queries(self):
        """Guards against prompts that are sent to an engine which has evicted them."""
        self.server.script("/kv-list", *({"held": [["", f"p{n}", 1, "m"]]} for n in range(3)))
        found = [
            await self.reports.find_prompt_holders([self.engine], f"p{n}", 2.0) for n in range(3)
        ]
        self.assertEqual(found, [{"i-1"}] * 3)

    async def test_call_after_a_request_with_an_id_skips_its_late_copy(self):
        """Guards against needless connections: a response with an id is told by it."""
        self.server.script("/plain/", "a", **{SEAL: "s"})
        self.server.script("/report", report(7))
        self.assertEqual(await self.send("r1"), b'"a"')
        self.assertEqual(await self.fetch_waiting(), 7)
        self.assertEqual(self.server.connections, 1)

    async def test_request_with_an_id_after_a_call_refuses_its_late_copy(self):
        """Guards against a report as the answer to a caller's request."""
        self.server.script("/report", report(7))
        self.server.script("/plain/", "a", "b")
        self.assertEqual(await self.fetch_waiting(), 7)
        with self.assertRaises(BackendResponseError):
            await self.send("r1")
        self.assertEqual(await self.send("r2"), b'"b"')

    async def test_request_that_may_run_once_avoids_connections_of_calls(self):
        """Guards against an unknown outcome of a booking because of a late copy of a report."""
        self.server.script("/report", report(7))
        self.server.script("/plain/", "a")
        await self.fetch_waiting()
        self.assertEqual(await self.send("r1", at_most_once=True), b'"a"')

    async def test_other_bodies_are_no_report_and_no_listing(self):
        """Guards against an engine that looks idle because its response was to another call."""
        self.server.script("/report", {"handle": "h1", "created": 3}, {}, [])
        self.server.script("/kv-list", report(0))
        self.assertEqual([await self.fetch_waiting() for _ in range(3)], [None] * 3)
        holders = await self.reports.find_prompt_holders([self.engine], "p1", 2.0)
        self.assertEqual(holders, frozenset())


class StoreCallTest(RepeatingCase):
    async def test_response_is_not_that_of_an_earlier_call(self):
        """Guards against a confirmation of the configuration that is older than it seems."""
        client = StoreClient(StoreSettings(HOST, self.server.port), StoreEpoch())
        self.addCleanup(client.close)
        changes = ({"events": [], "store_revision": revision} for revision in (5, 6, 7))
        self.server.script("/objects/config", *changes)
        pages = [await client.watch("config", 5, 0.1) for _ in range(3)]
        self.assertEqual([page.revision for page in pages], [5, 6, 7])

    async def test_connection_of_the_next_call_is_opened_during_a_watch(self):
        """Guards against confirmations that come later by a round trip to the store."""
        client = StoreClient(StoreSettings(HOST, self.server.port), StoreEpoch())
        self.addCleanup(client.close)
        self.server.script("/objects/config", *[{"events": [], "store_revision": 5}] * 2)
        await client.watch("config", 5, 0.1)
        while self.server.connections < 2:
            await asyncio.sleep(0.001)
        await client.watch("config", 5, 0.1)
        self.assertEqual(len(self.server.paths), 2)
        self.assertLessEqual(self.server.connections, 3)

    async def test_failed_watch_leaves_no_connection(self):
        """Guards against a call on a connection that is as silent as the one that failed."""
        client = StoreClient(StoreSettings(HOST, self.server.port, 0.2, 0.1), StoreEpoch())
        self.addCleanup(client.close)
        self.server.script("/objects/config", {}, status=503)
        with self.assertRaises(SourceError):
            await client.watch("config", 5, 0.1)
        self.assertIsNone(client._next)


class Listener:
    """Ignores what a feed passes on."""

    def replace_all(self, entries):
        pass

    def apply(self, entries):
        pass

    def confirm(self, as_of):
        pass


class FeedCallTest(unittest.IsolatedAsyncioTestCase):
    async def test_reply_that_is_repeated_ends_the_connection(self):
        """Guards against objects whose age is that of an earlier reply."""
        requests = []

        async def relay(reader, writer):
            earlier = None
            while True:
                request = await read_message(reader, FeedRequest)
                requests.append(request)
                number = getattr(request, "number", None)
                part = KindReply(len(requests), 0.0, True, [])
                numbered = {} if number is None else {"number": number}
                reply = FeedReply(0.0, {"config": part}, 1, **numbered)
                write_message(writer, earlier or reply)
                earlier = reply

        server = await asyncio.start_server(relay, HOST, 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        feed = KindFeed("config", Listener())
        cfg = FeedSettings(kinds=(), host=HOST, port=0)
        follower = FeedFollower(cfg, {"config": feed}, StoreEpoch(), "e1")
        async with asyncio.timeout(10.0):
            reason = await follower.follow(Peer("e2", HOST, port, "dc-a", 5.0))
        self.assertIn("another request", reason)
        self.assertEqual(len(requests), 2)


def call(number):
    body = {"model": "m", "messages": [], "max_tokens": 5}
    return GenerationCall(f"r{number}", 1, "/v1/chat/completions", body, "v1")


class OwnInterfaceCallTest(StandinCase):
    """Calls to engines and services of the own interface."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.server = RepeatingServer(echoed=("x-call-id",))
        await self.server.start()
        self.addCleanup(self.server.stop)
        self.address = f"{HOST}:{self.server.port}"
        self.engine = EngineClient(self.address, self.pools, 0.5, 0.5)
        self.service = ServiceClient(self.address, self.pools)

    def script_loads(self, count):
        load = {"boot_id": "b", "time_unix": 1.0, "state": "live", "role": "r", "slots": 1}
        load |= {"running": 0, "queued": 0, "tokens_per_second": 0.0, "models": []}
        self.server.script("/v1/load", *({**load, "sequence": n} for n in range(count)))

    async def read_sequences(self, count):
        loads = [await self.engine.load() for _ in range(count)]
        return [load.sequence for load in loads if isinstance(load, LoadReport)]

    async def test_late_copy_costs_a_connection(self):
        """Guards against load reports that are one query old from then on."""
        self.script_loads(4)
        # The response after a late copy is never read.
        self.assertEqual(await self.read_sequences(4), [0, 2])
        self.assertEqual(self.server.connections, 2)

    async def test_connection_is_reused_while_responses_name_their_call(self):
        self.server.repeats = False
        self.script_loads(4)
        self.assertEqual(await self.read_sequences(4), [0, 1, 2, 3])
        self.assertEqual(self.server.connections, 1)

    async def test_server_that_names_no_call_gets_a_connection_for_each(self):
        """Guards against a late copy where nothing tells it from the response."""
        self.server.echoed = ()
        self.script_loads(3)
        self.assertEqual(await self.read_sequences(3), [0, 1, 2])
        self.assertEqual(self.server.connections, 3)

    async def test_cache_events_are_not_those_of_an_earlier_page(self):
        self.server.echoed = ()
        pages = (
            {"boot_id": "b", "oldest": 1, "newest": n, "block_bytes": 1, "events": []}
            for n in range(3)
        )
        self.server.script("/v1/cache-events", *pages)
        found = [await self.engine.cache_events(n) for n in range(3)]
        newest = [page.newest for page in found if isinstance(page, CachePage)]
        self.assertEqual(newest, [0, 1, 2])

    async def test_caller_does_not_get_the_response_to_another_call(self):
        """Guards against the answer of a service that belongs to another caller."""
        for echoed in ((), ("x-call-id",)):
            with self.subTest(echoed=echoed):
                self.server.echoed = echoed
                for name in ("a", "b"):
                    self.server.script(f"/{name}", name, name)
                    answer = await self.service.call("GET", f"/{name}", {}, b"", 1.0, True)
                    if isinstance(answer, CallFailure):
                        self.assertEqual(answer.ran, Ran.UNKNOWN)
                    else:
                        self.assertEqual(answer.body, b'"%s"' % name.encode())

    async def test_refusal_of_an_earlier_attempt_promises_nothing(self):
        """Guards against "not run" for a generation that an engine has accepted."""
        error = {"error": {"code": "busy", "message": ""}}
        self.server.script("/v1/chat/completions", error, error, status=429)
        failures = []
        for number in range(2):
            failures += [event async for event in self.engine.stream(call(number))]
        self.assertEqual([failure.ran for failure in failures], [Ran.NO, Ran.UNKNOWN])
        self.assertEqual(failures[1].cause, CallFailureCause.MALFORMED)


if __name__ == "__main__":
    unittest.main()
