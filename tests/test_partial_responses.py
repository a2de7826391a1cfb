"""Tests that no part of a response passes for a whole one."""

from __future__ import annotations

import unittest

from gateway_case import HOST, REQUEST_ID, SEAL, GatewayCase, event
from partial_server import FRAMINGS, MANNERS, PART, UNREAD_BODY, PartialServer
from standin_case import StandinCase

from sapphireledge.backends import CallFailure, EngineClient, GenerationCall, ServiceClient
from sapphireledge.errors import Ran
from sapphireledge.feed import SourceError, StoreEpoch
from sapphireledge.gateway import BackendServer, seconds_since_boot
from sapphireledge.objects import create_http_client
from sapphireledge.objects._private import CallError, send_request
from sapphireledge.platform.store_client import StoreClient
from sapphireledge.platform.store_settings import StoreSettings

BODY = b"x" * UNREAD_BODY
SIGNED = f"{SEAL}: s\r\n".encode()
REPEATED = (REQUEST_ID.encode(),)
STREAM = b"content-type: text/event-stream\r\n"
EVENTS = event(0) + event(1)


def generation(number):
    body = {"model": "m", "messages": [], "max_tokens": 5}
    return GenerationCall(f"r{number}", 1, "/v1/chat/completions", body, "v1")


class GatewayPartsTest(GatewayCase):
    """Plain requests, streams and calls of the gateway."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.registered = 0
        self.partial = PartialServer()
        self.partial.repeated_headers = REPEATED
        await self.partial.start()
        self.addCleanup(self.partial.stop)

    def register_partial(self, service):
        """Makes the server the only one, as one that has not failed yet."""
        # The test may take longer than a configuration is trusted.
        self.gateway.config.confirm(seconds_since_boot())
        registry = self.gateway.context.registry
        for server_id in registry.ids():
            registry.remove(server_id)
        self.registered += 1
        name = f"i-{self.registered}"
        self.server = BackendServer(name, service, HOST, self.partial.port, "dc-a")
        registry.put(self.server)

    def answer_with(self, framing, ending, *headers):
        self.partial.requests = 0
        self.partial.ending = ending
        self.partial.headers = SIGNED + b"".join(headers) + FRAMINGS[framing][0]
        self.partial.body = FRAMINGS[framing][1]

    async def test_parts_of_plain_responses_are_refused(self):
        """Guards against a part as the answer to a caller, and against work that runs twice."""
        for framing, ending in MANNERS:
            for path, most in (("/plain/", 3), ("/once/", 1)):
                with self.subTest(framing=framing, ending=ending, path=path):
                    self.register_partial("app")
                    self.answer_with(framing, ending)
                    response = await self.call(path, BODY)
                    self.assertGreaterEqual(response.status, 500)
                    self.assertNotEqual(response.status, 503)
                    self.assertNotIn(PART, response.body)
                    self.assertLessEqual(self.partial.requests, most)

    async def test_parts_after_a_whole_request_are_refused(self):
        """The same with a request that was read, but for an end without a length."""
        self.partial.reads_body = True
        for framing, ending in MANNERS:
            if (framing, ending) in (("no length", "end"), ("no length", "close")):
                continue
            with self.subTest(framing=framing, ending=ending):
                self.register_partial("app")
                self.answer_with(framing, ending)
                response = await self.call("/once/", b"x")
                self.assertEqual(response.status, 502)
                self.assertEqual(self.partial.requests, 1)

    async def test_response_without_a_length_is_whole_once_the_request_was_read(self):
        """Guards against refusing what the users' servers may send."""
        self.register_partial("app")
        self.partial.reads_body = True
        self.answer_with("no length", "close")
        response = await self.call("/plain/", BODY)
        self.assertEqual((response.status, response.body), (200, PART))

    async def test_parts_are_no_reports_and_no_copies(self):
        self.register_partial("llm")
        self.partial.reads_body = True
        context = self.gateway.context
        for framing, ending in MANNERS:
            if framing == "no length" and ending != "reset":
                # Such a response ends with its connection.
                continue
            with self.subTest(framing=framing, ending=ending):
                self.answer_with(framing, ending)
                load = await context.report_client.fetch_report(self.server, 1.0)
                copied = await context.copies.copy(self.server, "r1", self.server)
                self.assertEqual((load, copied.handle, copied.is_refused), (None, "", False))

    async def test_parts_of_streams_do_not_end_as_complete(self):
        for framing, ending in MANNERS:
            with self.subTest(framing=framing, ending=ending):
                self.register_partial("llm")
                self.answer_with(framing, ending, STREAM)
                data = EVENTS if framing in ("no length", "a length") else b""
                self.partial.body = data or b"%x\r\n%s\r\n" % (len(EVENTS), EVENTS)
                response = await self.call("/non-resumable/", BODY)
                self.assertFalse(response.complete and response.status == 200)
                self.assertEqual(self.partial.requests, 1)


class StorePartsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = PartialServer()
        self.server.reads_body = True
        await self.server.start()
        self.addCleanup(self.server.stop)
        self.client = StoreClient(StoreSettings(HOST, self.server.port), StoreEpoch())

    async def test_parts_fail_the_call(self):
        for framing, self.server.ending in MANNERS:
            with self.subTest(framing=framing, ending=self.server.ending):
                self.server.headers, self.server.body = FRAMINGS[framing]
                with self.assertRaises(SourceError):
                    await self.client.watch("config", 5, 0.1)


class OwnInterfacePartsTest(StandinCase):
    """Calls to engines and services of the own interface."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.server = PartialServer()
        self.server.repeated_headers = (b"x-call-id",)
        await self.server.start()
        self.addCleanup(self.server.stop)
        address = f"{HOST}:{self.server.port}"
        self.service = ServiceClient(address, self.pools)
        self.engine = EngineClient(address, self.pools, 0.5, 0.5)

    async def call(self, body, *, idempotent):
        self.server.requests = 0
        return await self.service.call("POST", "/book", {}, body, 2.0, idempotent)

    async def test_parts_of_service_responses_are_failures(self):
        for reads_body, body in ((False, BODY), (True, b"x")):
            self.server.reads_body = reads_body
            for framing, ending in MANNERS:
                for idempotent in (False, True):
                    with self.subTest(framing=framing, ending=ending, reads_body=reads_body):
                        self.server.headers, self.server.body = FRAMINGS[framing]
                        self.server.ending = ending
                        answer = await self.call(body, idempotent=idempotent)
                        self.assertIsInstance(answer, CallFailure)
                        self.assertEqual(answer.ran, Ran.UNKNOWN)
                        self.assertEqual(self.server.requests, 1)

    async def test_parts_of_engine_responses_are_failures(self):
        self.server.reads_body = True
        for number, (framing, ending) in enumerate(MANNERS):
            with self.subTest(framing=framing, ending=ending):
                self.server.ending = ending
                headers, self.server.body = FRAMINGS[framing]
                self.server.headers = STREAM + headers
                events = [event async for event in self.engine.stream(generation(number))]
                self.assertIsInstance(events[-1], CallFailure)
                self.assertNotEqual(events[-1].ran, Ran.NO)
                self.assertIsInstance(await self.engine.load(), CallFailure)


class OwnPlatformPartsTest(unittest.IsolatedAsyncioTestCase):
    """Calls of the own interface to the platform."""

    async def test_parts_are_no_answers(self):
        server = PartialServer()
        server.reads_body = True
        await server.start()
        self.addCleanup(server.stop)
        client = create_http_client(4)
        self.addAsyncCleanup(client.aclose)
        url = f"http://{HOST}:{server.port}/v1/objects/a"
        for framing, server.ending in MANNERS:
            with self.subTest(framing=framing, ending=server.ending):
                server.headers, server.body = FRAMINGS[framing]
                answer = await send_request(
                    client, "GET", url, timeout=1.0, connect_timeout=1.0, headers={}
                )
                self.assertIs(answer, CallError.NO_ANSWER)


if __name__ == "__main__":
    unittest.main()
