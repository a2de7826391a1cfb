"""Requests that are answered by one whole body."""

from __future__ import annotations

import asyncio
import socket
import struct
import unittest

from gateway_case import (
    KEY,
    REQUEST_ID,
    SEAL,
    GatewayCase,
    read_response,
    signed_response,
    table,
    whole,
)

from sapphireledge.gateway import ConfigView, elapsed_time


async def succeed(request, writer):
    writer.write(signed_response(request))


async def refuse(request, writer):
    writer.write(whole(503, {"x-sapphireledge-not-executed": "1"}, b""))


async def reset(request, writer):
    writer.transport.abort()


class ForwardingTest(GatewayCase):
    async def test_request_reaches_the_server_unchanged(self):
        """Guards against changed bytes and against the key reaching a backend server."""
        server = await self.add("app", succeed)
        response = await self.call("/plain/a/b?q=1%20", body=b"\x00\xff", x_custom="v")
        self.assertEqual((response.status, response.body), (200, b"ok"))
        got = server.received[0]
        self.assertEqual(got.method, b"POST")
        self.assertEqual((got.target, got.body), (b"/plain/a/b?q=1%20", b"\x00\xff"))
        self.assertEqual(got.headers["x-custom"], "v")
        self.assertNotIn("authorization", got.headers)
        self.assertEqual(got.headers["x-sapphireledge-tenant"], "court")
        self.assertEqual(got.headers["x-sapphireledge-expect-instance"], server.server_id)
        self.assertLessEqual(int(got.headers["x-sapphireledge-deadline-ms"]), 5000)

    async def test_headers_of_the_system_are_not_taken_from_callers(self):
        """Guards against callers that set a workspace, an urgency or a copy themselves."""
        server = await self.add("app", succeed)
        names = ("tenant", "hold", "pin-ms", "kv-backup", "urgency-class", "expect-version")
        extra = {f"x_sapphireledge_{name.replace('-', '_')}": "evil" for name in names}
        await self.call("/plain/", kv_from="evil", kv_fetch="evil", **extra)
        self.assertNotIn("evil", server.received[0].headers.values())

    async def test_chunked_body_is_passed_on_whole(self):
        """Guards against lost bodies of callers that do not state a length."""
        server = await self.add("app", succeed)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(self.head("/plain/") + b"transfer-encoding: chunked\r\n\r\n")
        writer.write(b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n")
        response = await read_response(reader)
        writer.close()
        self.assertEqual(response.status, 200)
        self.assertEqual(server.received[0].body, b"abcde")

    async def test_length_and_transfer_encoding_together_are_refused(self):
        """Guards against a request smuggled inside the body of another one."""
        server = await self.add("app", succeed)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(
            self.head("/plain/") + b"transfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n"
        )
        writer.write(b"0\r\n\r\n")
        response = await read_response(reader)
        writer.close()
        self.assertEqual(response.status, 400)
        self.assertEqual(server.received, [])

    async def test_kept_connection_carries_several_requests(self):
        """Guards against answers that cross on a kept connection."""
        await self.add("app", succeed)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        for number in (1, 2, 3):
            writer.write(self.head("/plain/", "GET") + b"\r\n")
            response = await read_response(reader)
            self.assertEqual(response.headers[REQUEST_ID], f"id{number}")
        writer.close()


class RetryTest(GatewayCase):
    async def test_refused_request_goes_to_another_server(self):
        """Guards against passing on a refusal while another server has room."""
        await self.add("app", refuse)
        other = await self.add("app", succeed, "dc-b")
        response = await self.call("/once/")
        self.assertEqual(response.status, 200)
        self.assertEqual(len(other.received), 1)

    async def test_request_that_may_have_run_is_not_repeated(self):
        """Guards against a second booking after a lost answer."""
        first = await self.add("app", reset)
        second = await self.add("app", reset, "dc-b")
        response = await self.call("/once/")
        self.assertEqual(response.status, 502)
        self.assertEqual(len(first.received) + len(second.received), 1)

    async def test_idempotent_request_is_repeated_after_a_reset(self):
        """Guards against failing a lookup that another server can answer."""
        await self.add("app", reset)
        await self.add("app", succeed, "dc-b")
        self.assertEqual((await self.call("/plain/")).status, 200)

    async def test_refusals_of_all_servers_say_when_to_come_back(self):
        """Guards against a refusal that is held back or gives no time."""
        await self.add("app", refuse)
        await self.add("app", refuse, "dc-b")
        response = await self.call("/once/")
        self.assertEqual(response.status, 503)
        self.assertLess(float(response.headers["retry-after"]), 1.0)

    async def test_server_that_took_over_an_address_is_forgotten(self):
        """Guards against attempts that are used up on addresses of other servers."""

        async def misdirected(request, writer):
            writer.write(whole(421, {}, b""))

        wrong = await self.add("app", misdirected)
        await self.add("app", succeed, "dc-b")
        for _ in range(3):
            self.assertEqual((await self.call("/once/")).status, 200)
        self.assertEqual(len(wrong.received), 1)

    async def test_short_time_limit_does_not_suspend_a_server(self):
        """Guards against avoiding a sound server after requests with little time."""

        async def slow(request, writer):
            await asyncio.sleep(0.4)
            writer.write(signed_response(request))

        near = await self.add("app", slow)
        await self.add("app", succeed, "dc-b")
        await self.call("/once/", x_sapphireledge_deadline_ms="150")
        await self.call("/once/")
        self.assertEqual(len(near.received), 2)

    async def test_silent_server_is_hedged_for_idempotent_requests(self):
        """Guards against a lookup that waits for a server that never answers."""

        async def silent(request, writer):
            await asyncio.sleep(30)

        await self.add("app", silent)
        await self.add("app", succeed, "dc-b")
        started = asyncio.get_running_loop().time()
        self.assertEqual((await self.call("/plain/")).status, 200)
        self.assertLess(asyncio.get_running_loop().time() - started, 1.0)


class AnswerTest(GatewayCase):
    async def test_late_answer_to_another_request_is_skipped(self):
        """Guards against handing out an answer that belongs to another request."""

        async def extra_first(request, writer):
            writer.write(whole(200, {REQUEST_ID: "other", SEAL: "s"}, b"theirs"))
            await asyncio.sleep(0.05)
            writer.write(signed_response(request, b"mine"))

        await self.add("app", extra_first)
        self.assertEqual((await self.call("/once/")).body, b"mine")

    async def test_unusable_answers_are_not_delivered(self):
        """Guards against successes without signature or with an encoded body."""
        cases = ({REQUEST_ID: "id1"}, {REQUEST_ID: "id2", SEAL: "s", "content-encoding": "gzip"})
        server = await self.add("app", succeed)
        for headers in cases:

            async def handle(request, writer, headers=headers):
                writer.write(whole(200, headers, b"bad"))

            server.handle = handle
            response = await self.call("/once/")
            self.assertEqual((response.status, response.body), (502, b""))

    async def test_body_without_length_ends_with_its_connection(self):
        """Guards against refusing whole bodies and against delivering reset ones."""
        outcomes = {}
        for name in ("close", "abort"):

            async def unframed(request, writer, name=name):
                if name == "abort":
                    sock = writer.get_extra_info("socket")
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                head = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: {request.headers[REQUEST_ID]}\r\n"
                writer.write(f"{head}{SEAL}: s\r\n\r\nbody".encode())
                await writer.drain()
                await asyncio.sleep(0.05)
                getattr(writer.transport, name)()

            server = await self.add("app", unframed)
            response = await self.call("/once/")
            outcomes[name] = (response.status, response.body)
            self.gateway.parts.registry.remove(server.server_id)
        self.assertEqual(outcomes, {"close": (200, b"body"), "abort": (502, b"")})

    async def test_truncated_body_is_not_delivered(self):
        """Guards against an answer that ends early and looks complete."""

        async def short(request, writer):
            writer.write(signed_response(request, b"whole body")[:-3])
            await writer.drain()
            writer.close()

        await self.add("app", short)
        self.assertEqual((await self.call("/once/")).status, 502)

    async def test_failure_of_the_server_keeps_its_status_and_signature(self):
        """Guards against changing what a backend server answered."""

        async def failed(request, writer):
            writer.write(signed_response(request, b"why", 500))

        await self.add("app", failed)
        response = await self.call("/once/")
        self.assertEqual(
            (response.status, response.body, response.headers[SEAL]), (500, b"why", "s")
        )

    async def test_caller_that_leaves_ends_the_work(self):
        """Guards against backend servers that work for callers that are gone."""

        async def slow(request, writer):
            await asyncio.sleep(5)

        server = await self.add("app", slow)
        _, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(self.head("/plain/", "GET") + b"\r\n")
        while not server.received:
            await asyncio.sleep(0.01)
        writer.close()
        await asyncio.sleep(0.1)
        self.assertEqual(self.gateway.in_flight, 0)
        self.assertEqual(self.gateway.parts.registry.state(server.server_id).running, 0)


class PoolTest(GatewayCase):
    async def test_idle_connections_are_shared_among_the_instances(self):
        """Guards against servers that reset connections because many instances keep some."""
        parts = self.gateway.parts
        pool = parts.pool
        pool.connection_limit = lambda service: 100
        caps = []
        for instances in (1, 20, 300):
            parts.count_instances = lambda instances=instances: instances
            caps.append(pool._max_idle("app"))
        self.assertEqual(caps, [6, 2, 1])


class AdmissionTest(GatewayCase):
    async def test_refusals_before_a_server_is_asked(self):
        """Guards against requests that run without a route or with an unknown key."""
        server = await self.add("app", succeed)
        self.assertEqual((await self.call("/nowhere/")).status, 404)
        self.assertEqual((await self.call("/plain/", authorization="Token wrong")).status, 401)
        self.assertEqual((await self.call("/plain/", authorization="")).status, 401)
        self.assertEqual(server.received, [])

    async def test_keys_are_not_trusted_without_confirmation(self):
        """Guards against a key that was taken away while the store could not be reached."""
        server = await self.add("app", succeed)
        self.gateway.config._confirmed = elapsed_time() - self.cfg.key_trust - 0.1
        for authorization in (f"Token {KEY}", "Token wrong"):
            response = await self.call("/plain/", authorization=authorization)
            self.assertEqual(response.status, 503)
            self.assertIn("retry-after", response.headers)
        self.assertFalse(self.gateway.is_ready)
        self.assertEqual(server.received, [])

    async def test_request_waits_for_the_first_configuration(self):
        """Guards against refusals in the moments between the start and the first listing."""
        await self.add("app", succeed)
        self.gateway.config = ConfigView()
        call = asyncio.create_task(self.call("/plain/"))
        await asyncio.sleep(0.1)
        self.gateway.config.accept(table())
        self.gateway.config.confirm(elapsed_time())
        self.assertEqual((await call).status, 200)

    async def test_request_without_a_configuration_is_refused(self):
        """Guards against requests that hang while the store is away from the start on."""
        self.gateway.config = ConfigView()
        began = elapsed_time()
        response = await self.call("/plain/")
        self.assertEqual(response.status, 503)
        self.assertIn("retry-after", response.headers)
        self.assertLess(elapsed_time() - began, self.cfg.start_wait + 0.5)

    async def test_older_configuration_never_replaces_a_newer_one(self):
        """Guards against a regression after a stale listing."""
        self.assertTrue(self.gateway.config.accept(table(5)))
        self.assertFalse(self.gateway.config.accept(table(4)))
        self.assertEqual(self.gateway.config.table.version, 5)

    async def test_planned_stop_serves_short_requests_and_closes(self):
        """Guards against cutting off requests and against streams that cannot end in time."""
        await self.add("app", succeed)
        await self.add("llm", succeed)
        self.gateway.begin_stop()
        await asyncio.sleep(0.6)
        self.assertFalse(self.gateway.is_ready)
        response = await self.call("/once/")
        self.assertEqual((response.status, response.headers["connection"]), (200, "close"))
        self.assertEqual((await self.call("/stream/")).status, 503)


if __name__ == "__main__":
    unittest.main()
