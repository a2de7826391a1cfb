"""Tests of the service client against the service stand-in."""

from __future__ import annotations

from standin_case import StandinCase

from sapphireledge.backends import CallFailureCause, ServiceClient
from sapphireledge.errors import Ran
from sapphireledge_standins.service_app import ServiceApi
from sapphireledge_standins.service_faults import ServiceFaults
from sapphireledge_standins.standin_server import StandinServer


class ServiceClientTest(StandinCase):
    """Guards against a false "not run" and against executing a call twice."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.api = ServiceApi()
        self.connections = set()
        self.server = StandinServer(self.app)
        self.api.on_crash = self.server.abort
        await self.server.start()
        self.addAsyncCleanup(self.server.stop)
        self.client = ServiceClient(self.server.address, self.pools)

    async def app(self, scope, receive, send):
        if scope["type"] == "http":
            self.connections.add(tuple(scope["client"]))
        await self.api.app(scope, receive, send)

    async def book(self, key="k1", timeout=0.5):
        return await self.client.call(
            "POST", "/book?day=1", {"Idempotency-Key": key}, b"{}", timeout
        )

    async def test_complete_response_is_returned(self):
        answer = await self.book()
        self.assertEqual((answer.status, answer.headers["content-type"]), (201, "application/json"))
        self.assertEqual(answer.body, b'{"booking":1,"key":"k1","run":1}')

    async def test_faults_after_execution_are_unknown(self):
        cases = [
            (ServiceFaults(lose_answer=True), CallFailureCause.CONNECTION_LOST),
            (ServiceFaults(delay=5.0), CallFailureCause.NO_ANSWER),
            (ServiceFaults(die_after_run=True), CallFailureCause.CONNECTION_LOST),
        ]
        for number, (faults, cause) in enumerate(cases):
            self.api.faults = faults
            failure = await self.book(f"k{number}", 0.3)
            self.assertEqual((failure.cause, failure.ran), (cause, Ran.UNKNOWN))
        self.assertEqual(self.api.runs, {"k0": 1, "k1": 1, "k2": 1})

    async def test_refused_connection_reports_not_run(self):
        self.server.abort()
        failure = await self.book()
        self.assertEqual((failure.cause, failure.ran), (CallFailureCause.NOT_CONNECTED, Ran.NO))
        self.assertEqual(self.api.calls, 0)

    async def test_error_status_is_returned_as_a_response(self):
        self.api.faults = ServiceFaults(error_status=503)
        self.assertEqual((await self.book()).status, 503)
        self.assertEqual(self.api.runs, {})

    async def test_non_idempotent_calls_share_no_connection(self):
        for _ in range(3):
            await self.book()
        self.assertEqual(self.api.runs, {"k1": 3})
        self.assertEqual(len(self.connections), 3)

    async def test_endless_body_ends_the_call(self):
        """Guards against a body that takes all memory, in chunks, one chunk, or by its length."""
        flood = b"x" * 65_536
        for name, head, data in (
            ("chunks", b"transfer-encoding: chunked\r\n\r\n", b"10000\r\n" + flood + b"\r\n"),
            ("one chunk", b"transfer-encoding: chunked\r\n\r\nfffffffff\r\n", flood),
            ("length", b"content-length: 999999999999\r\n\r\n", flood),
        ):
            with self.subTest(name):
                sent = [0]

                async def answer(reader, writer, head=head, data=data, sent=sent):
                    await reader.readuntil(b"\r\n\r\n")
                    writer.write(b"HTTP/1.1 200 OK\r\n" + head)
                    while True:
                        writer.write(data)
                        await writer.drain()
                        sent[0] += len(data)

                client = ServiceClient(await self.start_raw_server(answer), self.pools)
                failure = await client.call("POST", "/b", {}, b"{}", 3.0)
                self.assertEqual(failure.cause, CallFailureCause.MALFORMED)
                self.assertEqual(failure.ran, Ran.UNKNOWN)
                self.assertLess(sent[0], 16_000_000)
