"""Tests that a status that HTTP does not have is no answer."""

from __future__ import annotations

import unittest

from gateway_case import HOST, REQUEST_ID, SEAL, GatewayCase
from partial_server import PartialServer
from standin_case import StandinCase

from sapphireledge.backends import CallFailure, EngineClient, GenerationCall, ServiceClient
from sapphireledge.errors import Ran
from sapphireledge.feed import SourceError, StoreEpoch
from sapphireledge.gateway import BackendServer, seconds_since_boot
from sapphireledge.objects import create_http_client
from sapphireledge.objects._private import CallError, send_request
from sapphireledge.platform.store_client import StoreClient
from sapphireledge.platform.store_settings import StoreSettings

INVALID_STATUSES = (b"000", b"099", b"600", b"999", b"1000", b"20", b"-200", b"2e2", b"abc", b"")
SIGNED = f"{SEAL}: s\r\n".encode()


def length(body):
    return b"content-length: %d\r\n" % len(body)


class GatewayStatusTest(GatewayCase):
    """Plain requests, streams and calls of the gateway."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.registered = 0
        self.server = PartialServer()
        self.server.repeated_headers = (REQUEST_ID.encode(),)
        self.server.reads_body = True
        await self.server.start()
        self.addCleanup(self.server.stop)

    def register(self, service):
        """Makes the server the only one, as one that has not failed yet."""
        # The test may take longer than a configuration is trusted.
        self.gateway.config.confirm(seconds_since_boot())
        registry = self.gateway.context.registry
        for server_id in registry.ids():
            registry.remove(server_id)
        self.registered += 1
        name = f"i-{self.registered}"
        described = BackendServer(name, service, HOST, self.server.port, "dc-a")
        registry.put(described)
        return described

    def answer_with(self, status, body):
        self.server.requests = 0
        self.server.status = status + b" X"
        self.server.headers, self.server.body = SIGNED + length(body), body

    async def test_callers_get_no_such_status(self):
        for service, path in (("app", "/plain/"), ("app", "/once/"), ("llm", "/stream/")):
            for status in INVALID_STATUSES:
                with self.subTest(status=status, path=path):
                    self.register(service)
                    self.answer_with(status, b"body")
                    response = await self.call(path, b"x")
                    self.assertIn(response.status, (502, 504))
                    if path == "/once/":
                        self.assertEqual(self.server.requests, 1)

    async def test_calls_to_engines_fail(self):
        engine = self.register("llm")
        context = self.gateway.context
        for status in INVALID_STATUSES:
            with self.subTest(status=status):
                self.answer_with(status, b'{"waiting":0,"running":0}')
                self.assertIsNone(await context.report_client.fetch_report(engine, 1.0))
                self.answer_with(status, b'{"handle":"h","created":1}')
                result = await context.copies.copy(engine, "r1", engine)
                self.assertEqual((result.handle, result.is_refused), ("", False))


class StoreStatusTest(unittest.IsolatedAsyncioTestCase):
    async def test_calls_to_the_store_fail(self):
        server = PartialServer()
        server.reads_body = True
        await server.start()
        self.addCleanup(server.stop)
        client = StoreClient(StoreSettings(HOST, server.port), StoreEpoch())
        server.body = b'{"events":[],"store_revision":5}'
        server.headers = length(server.body)
        for status in INVALID_STATUSES:
            with self.subTest(status=status):
                server.status = status + b" X"
                with self.assertRaises(SourceError):
                    await client.watch("config", 5, 0.1)


class OwnInterfaceStatusTest(StandinCase):
    """Calls to engines, services and the platform of the own interface."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.server = PartialServer()
        self.server.repeated_headers = (b"x-call-id",)
        self.server.reads_body = True
        await self.server.start()
        self.addCleanup(self.server.stop)
        self.address = f"{HOST}:{self.server.port}"

    async def test_calls_of_services_fail(self):
        service = ServiceClient(self.address, self.pools)
        self.server.headers, self.server.body = b"content-length: 4\r\n", b"body"
        for status in (*INVALID_STATUSES, b"100", b"101", b"199"):
            with self.subTest(status=status):
                self.server.status, self.server.requests = status + b" X", 0
                answer = await service.call("POST", "/book", {}, b"x", 2.0)
                self.assertIsInstance(answer, CallFailure)
                self.assertEqual(answer.ran, Ran.UNKNOWN)
                self.assertEqual(self.server.requests, 1)

    async def test_generations_and_reports_fail(self):
        engine = EngineClient(self.address, self.pools, 0.5, 0.5)
        body = {"model": "m", "messages": [], "max_tokens": 5}
        self.server.headers = b"content-type: text/event-stream\r\ncontent-length: 0\r\n"
        for number, status in enumerate(INVALID_STATUSES):
            with self.subTest(status=status):
                self.server.status = status + b" X"
                call = GenerationCall(f"r{number}", 1, "/v1/chat/completions", body, "v1")
                events = [event async for event in engine.stream(call)]
                self.assertIsInstance(events[-1], CallFailure)
                self.assertNotEqual(events[-1].ran, Ran.NO)
                self.assertIsInstance(await engine.load(), CallFailure)

    async def test_calls_to_the_platform_fail(self):
        client = create_http_client(4)
        self.addAsyncCleanup(client.aclose)
        self.server.headers = b"content-length: 0\r\n"
        url = f"http://{self.address}/v1/objects/a"
        for status in INVALID_STATUSES:
            with self.subTest(status=status):
                self.server.status = status + b" X"
                answer = await send_request(
                    client, "GET", url, timeout=1.0, connect_timeout=1.0, headers={}
                )
                self.assertIs(answer, CallError.NO_ANSWER)

    async def test_interim_responses_are_skipped(self):
        """Guards against an interim response as the answer to a caller."""
        service = ServiceClient(self.address, self.pools)
        self.server.status = b"103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 201 Created"
        self.server.headers, self.server.body = b"content-length: 4\r\n", b"body"
        answer = await service.call("POST", "/book", {}, b"x", 2.0)
        self.assertEqual((answer.status, answer.body), (201, b"body"))


if __name__ == "__main__":
    unittest.main()
