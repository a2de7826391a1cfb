"""Tests of the gateway with requests whose response is not a stream."""

from __future__ import annotations

import asyncio
import socket
import struct
import unittest
from dataclasses import replace

import structlog
from gateway_case import (
    KEY,
    REQUEST_ID,
    SEAL,
    GatewayCase,
    full_response,
    read_response,
    signed_response,
    table,
)

from sapphireledge.gateway import (
    ConfigView,
    GatewayMetrics,
    GatewayServer,
    seconds_since_boot,
)
from sapphireledge.gateway.backend_connection import BackendConnection


async def succeed(request, writer):
    writer.write(signed_response(request))


async def refuse(request, writer):
    writer.write(full_response(503, {"x-sapphireledge-not-executed": "1"}, b""))


async def reset(request, writer):
    writer.transport.abort()


class ForwardingTest(GatewayCase):
    async def test_request_reaches_the_server_unchanged(self):
        """Guards against altered requests and against API keys that reach a backend server."""
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

    async def test_system_headers_of_callers_are_dropped(self):
        """Guards against callers that set the workspace, priority or replica themselves."""
        server = await self.add("app", succeed)
        names = ("tenant", "hold", "pin-ms", "kv-backup", "urgency-class", "expect-version")
        extra = {f"x_sapphireledge_{name.replace('-', '_')}": "evil" for name in names}
        await self.call("/plain/", kv_from="evil", kv_fetch="evil", **extra)
        self.assertNotIn("evil", server.received[0].headers.values())

    async def test_chunked_body_is_forwarded_completely(self):
        """Guards against lost bodies of requests without Content-Length."""
        server = await self.add("app", succeed)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(self.head("/plain/") + b"transfer-encoding: chunked\r\n\r\n")
        writer.write(b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n")
        response = await read_response(reader)
        writer.close()
        self.assertEqual(response.status, 200)
        self.assertEqual(server.received[0].body, b"abcde")

    async def test_content_length_with_transfer_encoding_is_rejected(self):
        """Guards against request smuggling."""
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

    async def test_keep_alive_connection_serves_several_requests(self):
        """Guards against mixed-up responses on a keep-alive connection."""
        await self.add("app", succeed)
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        for number in (1, 2, 3):
            writer.write(self.head("/plain/", "GET") + b"\r\n")
            response = await read_response(reader)
            self.assertEqual(response.headers[REQUEST_ID], f"id{number}")
        writer.close()


class SilentServerTest(GatewayCase):
    async def test_connection_survives_unanswered_keepalive_probes(self):
        """Guards against a timeout of the kernel that ends a connection before its last probe."""
        server = await self.add("app", succeed)
        conn = await BackendConnection.open("127.0.0.1", server.port)
        self.addCleanup(conn.abort)
        sock = conn._writer.get_extra_info("socket")
        names = ("TCP_KEEPIDLE", "TCP_KEEPINTVL", "TCP_KEEPCNT", "TCP_USER_TIMEOUT")
        idle, interval, probes, limit_ms = (
            sock.getsockopt(socket.IPPROTO_TCP, getattr(socket, name)) for name in names
        )
        self.assertGreaterEqual(limit_ms, (idle + interval * probes) * 1000)


class RetryTest(GatewayCase):
    async def test_rejected_request_is_retried_on_another_server(self):
        """Guards against forwarding a rejection while another server has capacity."""
        await self.add("app", refuse)
        other = await self.add("app", succeed, "dc-b")
        response = await self.call("/once/")
        self.assertEqual(response.status, 200)
        self.assertEqual(len(other.received), 1)

    async def test_request_that_may_have_been_executed_is_not_retried(self):
        """Guards against a duplicate booking after a lost response."""
        first = await self.add("app", reset)
        second = await self.add("app", reset, "dc-b")
        response = await self.call("/once/")
        self.assertEqual(response.status, 502)
        self.assertEqual(len(first.received) + len(second.received), 1)

    async def test_idempotent_request_is_retried_after_a_reset(self):
        """Guards against failing a lookup that another server can serve."""
        await self.add("app", reset)
        await self.add("app", succeed, "dc-b")
        self.assertEqual((await self.call("/plain/")).status, 200)

    async def test_rejection_by_all_servers_has_retry_after(self):
        """Guards against an overload response that is delayed or has no Retry-After."""
        await self.add("app", refuse)
        await self.add("app", refuse, "dc-b")
        response = await self.call("/once/")
        self.assertEqual(response.status, 503)
        self.assertLess(float(response.headers["retry-after"]), 1.0)

    async def test_server_at_a_reused_address_is_removed(self):
        """Guards against spending attempts on an address that now belongs to another server."""

        async def misdirected(request, writer):
            writer.write(full_response(421, {}, b""))

        misdirecting = await self.add("app", misdirected)
        await self.add("app", succeed, "dc-b")
        for _ in range(3):
            self.assertEqual((await self.call("/once/")).status, 200)
        self.assertEqual(len(misdirecting.received), 1)

    async def test_short_deadline_does_not_suspend_a_server(self):
        """Guards against avoiding a healthy server after a request with a short deadline."""

        async def slow(request, writer):
            await asyncio.sleep(0.4)
            writer.write(signed_response(request))

        local = await self.add("app", slow)
        await self.add("app", succeed, "dc-b")
        await self.call("/once/", x_sapphireledge_deadline_ms="150")
        await self.call("/once/")
        self.assertEqual(len(local.received), 2)

    async def test_idempotent_request_to_an_unresponsive_server_is_hedged(self):
        """Guards against a lookup that waits for a server that never responds."""

        async def hang(request, writer):
            await asyncio.sleep(30)

        await self.add("app", hang)
        await self.add("app", succeed, "dc-b")
        started = asyncio.get_running_loop().time()
        self.assertEqual((await self.call("/plain/")).status, 200)
        self.assertLess(asyncio.get_running_loop().time() - started, 1.0)


class ResponseTest(GatewayCase):
    async def test_late_response_to_another_request_is_skipped(self):
        """Guards against delivering a response that belongs to another request."""

        async def respond_twice(request, writer):
            writer.write(full_response(200, {REQUEST_ID: "other", SEAL: "s"}, b"theirs"))
            await asyncio.sleep(0.05)
            writer.write(signed_response(request, b"mine"))

        await self.add("app", respond_twice)
        self.assertEqual((await self.call("/once/")).body, b"mine")

    async def test_unsigned_and_encoded_responses_are_not_delivered(self):
        """Guards against delivering a success that is unsigned or has a content encoding."""
        cases = ({REQUEST_ID: "id1"}, {REQUEST_ID: "id2", SEAL: "s", "content-encoding": "gzip"})
        server = await self.add("app", succeed)
        for headers in cases:

            async def handle(request, writer, headers=headers):
                writer.write(full_response(200, headers, b"bad"))

            server.handle = handle
            response = await self.call("/once/")
            self.assertEqual((response.status, response.body), (502, b""))

    async def test_unframed_body_ends_when_the_connection_closes(self):
        """Guards against failing a body that ended by a close, and against delivering one that
        ended by a reset."""
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
            self.gateway.context.registry.remove(server.server_id)
        self.assertEqual(outcomes, {"close": (200, b"body"), "abort": (502, b"")})

    async def test_truncated_body_is_not_delivered(self):
        """Guards against a truncated response that looks complete to the caller."""

        async def truncate(request, writer):
            writer.write(signed_response(request, b"whole body")[:-3])
            await writer.drain()
            writer.close()

        await self.add("app", truncate)
        self.assertEqual((await self.call("/once/")).status, 502)

    async def test_error_of_the_server_is_forwarded_unchanged(self):
        """Guards against altering the status, body or signature of a server's error response."""

        async def fail(request, writer):
            writer.write(signed_response(request, b"why", 500))

        await self.add("app", fail)
        response = await self.call("/once/")
        self.assertEqual(
            (response.status, response.body, response.headers[SEAL]), (500, b"why", "s")
        )

    async def test_disconnect_of_the_caller_cancels_the_request(self):
        """Guards against backend servers that keep working for disconnected callers."""

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
        self.assertEqual(self.gateway.context.registry.state(server.server_id).in_flight, 0)


class PoolTest(GatewayCase):
    async def test_idle_connection_limit_is_divided_among_the_instances(self):
        """Guards against servers that reset connections because many instances keep idle ones."""
        context = self.gateway.context
        pool = context.pool
        pool.connection_limit = lambda service: 100
        caps = []
        for instances in (1, 20, 300):
            context.count_instances = lambda instances=instances: instances
            caps.append(pool._compute_max_idle("app"))
        self.assertEqual(caps, [6, 2, 1])


class AdmissionTest(GatewayCase):
    async def test_request_without_route_or_valid_key_is_refused(self):
        """Guards against forwarding requests without a route or with an unknown API key."""
        server = await self.add("app", succeed)
        self.assertEqual((await self.call("/nowhere/")).status, 404)
        self.assertEqual((await self.call("/plain/", authorization="Token wrong")).status, 401)
        self.assertEqual((await self.call("/plain/", authorization="")).status, 401)
        self.assertEqual(server.received, [])

    async def test_keys_are_refused_if_the_configuration_is_stale(self):
        """Guards against accepting a key that was revoked while the store was unreachable."""
        server = await self.add("app", succeed)
        self.gateway.config._confirmed_at = seconds_since_boot() - self.cfg.max_config_age - 0.1
        for authorization in (f"Token {KEY}", "Token wrong"):
            response = await self.call("/plain/", authorization=authorization)
            self.assertEqual(response.status, 503)
            self.assertIn("retry-after", response.headers)
        self.assertFalse(self.gateway.is_ready)
        self.assertEqual(server.received, [])

    async def test_request_waits_for_the_first_configuration(self):
        """Guards against refusals between the start and the first listing of the store."""
        await self.add("app", succeed)
        self.gateway.config = ConfigView()
        call = asyncio.create_task(self.call("/plain/"))
        await asyncio.sleep(0.1)
        self.gateway.config.accept(table())
        self.gateway.config.confirm(seconds_since_boot())
        self.assertEqual((await call).status, 200)

    async def test_request_without_a_configuration_is_refused(self):
        """Guards against requests that hang while the store has not been reachable yet."""
        self.gateway.config = ConfigView()
        started = seconds_since_boot()
        response = await self.call("/plain/")
        self.assertEqual(response.status, 503)
        self.assertIn("retry-after", response.headers)
        self.assertLess(seconds_since_boot() - started, self.cfg.start_wait + 0.5)

    async def test_older_configuration_never_replaces_a_newer_one(self):
        """Guards against reverting to an older configuration after a stale listing."""
        self.assertTrue(self.gateway.config.accept(table(5)))
        self.assertFalse(self.gateway.config.accept(table(4)))
        self.assertEqual(self.gateway.config.table.version, 5)

    async def test_graceful_shutdown_serves_short_requests_and_closes(self):
        """Guards against failing short requests and against starting streams that would be cut off
        by the stop limit."""
        await self.add("app", succeed)
        await self.add("llm", succeed)
        self.gateway.begin_stop()
        await asyncio.sleep(0.6)
        self.assertFalse(self.gateway.is_ready)
        response = await self.call("/once/")
        self.assertEqual((response.status, response.headers["connection"]), (200, "close"))
        self.assertEqual((await self.call("/stream/")).status, 503)

    async def test_request_that_is_being_received_at_the_end_of_the_drain_is_served(self):
        """Guards against cutting off a request of which only a part had arrived."""
        await self.add("app", succeed)
        self.gateway.reconfigure(replace(self.cfg, drain_time=0.2, stop_limit=5.0))
        server = GatewayServer(self.gateway, GatewayMetrics())
        stopping = asyncio.create_task(server.run())
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        request = self.head("/once/") + b"content-length: 1\r\n\r\nx"
        writer.write(request[:60])
        await asyncio.sleep(0.05)
        server.request_stop()
        await asyncio.sleep(0.5)
        self.assertFalse(stopping.done())
        writer.write(request[60:])
        self.assertEqual((await read_response(reader)).status, 200)
        async with asyncio.timeout(1.0):
            await stopping

    async def test_error_while_a_request_is_refused_is_logged(self):
        """Guards against a connection that ends without a trace in the log."""

        def fail(request_id, retry_after):
            raise KeyError("header")

        self.gateway._dialect.encode_refusal = fail
        with structlog.testing.capture_logs() as lines:
            await self.call("/absent/")
        self.assertIn("internal_error", [line["event"] for line in lines])


if __name__ == "__main__":
    unittest.main()
