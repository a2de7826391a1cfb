"""Tests of an instance that is cut off from all backend servers and asks another instance."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import replace

from gateway_case import HOST, REQUEST_ID, GatewayCase, full_response, signed_response, table
from test_gateway_stream import events, streaming_engine

from sapphireledge.core.reachability import ForwardingPeer
from sapphireledge.gateway import (
    BackendServer,
    Gateway,
    GatewayMetrics,
    RequestTelemetry,
    seconds_since_boot,
)
from sapphireledge.platform.platform_dialect import PlatformDialect

NOTICE_TIME = 1.5
"""Seconds within which an instance notices that it is cut off, or no longer is."""


async def succeed(request, writer):
    writer.write(signed_response(request))


class PeerForwardingTest(GatewayCase):
    """The first instance reaches no server; the second one reaches those that are added."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.cut_off = self.gateway
        self.other = await self.add_instance("e2")
        with socket.create_server((HOST, 0)) as unused:
            self.closed_port = unused.getsockname()[1]
        for number, service in enumerate(("app", "app", "llm", "llm")):
            server = BackendServer(f"gone{number}", service, HOST, self.closed_port, "dc-a")
            self.cut_off.context.registry.put(server)

    async def add_instance(self, name):
        """Starts an instance that takes forwarded requests; servers are added to it next."""
        cfg = replace(self.cfg, instance=name)
        gateway = Gateway(cfg, PlatformDialect(), RequestTelemetry(GatewayMetrics()))
        gateway.config.accept(table())
        gateway.config.confirm(seconds_since_boot())
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(lambda: gateway.create_protocol(is_peer=True), HOST, 0)
        self.addCleanup(listener.close)
        self.addCleanup(gateway.context.pool.close)
        port = listener.sockets[0].getsockname()[1]
        peers = [*self.cut_off.peers.list_peers(), ForwardingPeer(name, "dc-b", HOST, port)]
        for instance in (self.cut_off, gateway):
            instance.peers.list_peers = lambda: peers
        self.gateway = gateway
        return gateway

    async def lose_servers(self, *gateways):
        """Makes instances notice that they reach no server."""
        for gateway in gateways:
            for server_id in ("gone0", "gone2"):
                server = BackendServer(server_id, "app", HOST, self.closed_port, "dc-a")
                gateway.context.registry.put(server)
                gateway.context.reachability.on_failure(server)
        await self.wait_until(lambda: all(g.context.reachability.is_cut_off for g in gateways))

    async def call_without_id(self, gateway):
        """Calls an instance directly, with a request that has no id."""
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(gateway.create_protocol, HOST, 0)
        port, self.port = self.port, listener.sockets[0].getsockname()[1]
        try:
            return await self.call("/plain/", x_sapphireledge_request_id="")
        finally:
            self.port = port
            listener.close()

    async def wait_until(self, condition):
        async with asyncio.timeout(NOTICE_TIME):
            while not condition():
                await asyncio.sleep(0.01)

    async def test_callers_of_a_cut_off_instance_are_served(self):
        """Guards against callers that fail although other instances reach the servers."""
        server = await self.add("app", succeed)
        await self.call("/plain/")
        await self.wait_until(lambda: self.cut_off.context.reachability.is_cut_off)
        response = await self.call("/plain/a?q=1", body=b"\x00\xff", x_custom="v")
        self.assertEqual((response.status, response.body), (200, b"ok"))
        self.assertEqual(response.headers[REQUEST_ID], "id2")
        self.assertEqual(response.headers["connection"], "close")
        got = server.received[-1]
        self.assertEqual((got.target, got.body), (b"/plain/a?q=1", b"\x00\xff"))
        self.assertEqual(got.headers["x-custom"], "v")
        self.assertEqual(got.headers["x-sapphireledge-tenant"], "court")
        self.assertLess(int(got.headers["x-sapphireledge-deadline-ms"]), 5000)
        self.assertNotIn("x-config-version", got.headers)
        self.assertNotIn("authorization", got.headers)

    async def test_instance_is_ready_again_once_a_server_is_reached(self):
        """Guards against an instance that stays cut off after the partition."""
        await self.lose_servers(self.cut_off)
        self.assertFalse(self.cut_off.is_ready)
        self.gateway = self.cut_off
        for number in range(4):
            self.cut_off.context.registry.remove(f"gone{number}")
        await self.add("app", succeed)
        await self.wait_until(lambda: self.cut_off.is_ready)
        self.assertEqual((await self.call("/plain/")).status, 200)

    async def test_old_connections_that_live_on_do_not_hide_a_partition(self):
        """Guards against streams that fail while plain requests still use kept connections."""
        self.gateway = self.cut_off
        for number in range(4):
            self.cut_off.context.registry.remove(f"gone{number}")
        kept = await self.add("app", succeed)
        self.assertEqual((await self.call("/plain/")).status, 200)
        kept.stop()
        for number in range(2):
            gone = BackendServer(f"gone{number}", "llm", HOST, self.closed_port, "dc-a")
            self.cut_off.context.registry.put(gone)
        self.gateway = self.other
        await self.add("llm", streaming_engine(0, 3))
        await self.call("/stream/")
        await self.wait_until(lambda: self.cut_off.context.reachability.is_cut_off)
        for gateway in (self.cut_off, self.other):
            gateway.config.confirm(seconds_since_boot())
        response = await self.call("/stream/")
        self.assertEqual((response.status, response.body), (200, events(*range(4))))

    async def test_service_without_servers_does_not_look_like_a_partition(self):
        """Guards against an instance that gives up because one service is down."""
        self.gateway = self.cut_off
        for number in range(2):
            self.cut_off.context.registry.remove(f"gone{number}")
        await self.add("app", succeed)
        for number in range(3):
            self.cut_off.config.confirm(seconds_since_boot())
            await self.call("/stream/")
            self.assertFalse(self.cut_off.context.reachability.is_cut_off, number)
        self.cut_off.config.confirm(seconds_since_boot())
        self.assertEqual((await self.call("/plain/")).status, 200)

    async def test_cut_off_instance_reports_no_deaths(self):
        """Guards against sound servers that all instances avoid, as one cannot reach them."""
        crashes = self.cut_off.context.crashes
        for number in range(4, 8):
            gone = BackendServer(f"gone{number}", "llm", HOST, self.closed_port, "dc-a")
            self.cut_off.context.registry.put(gone)
        crashes.on_connection_lost(gone)
        await asyncio.gather(*crashes._checks.values())
        self.assertFalse(crashes.is_dead(gone))
        self.gateway = self.cut_off
        await self.add("app", succeed)
        crashes.on_connection_lost(gone)
        await asyncio.gather(*crashes._checks.values())
        self.assertTrue(crashes.is_dead(gone))

    async def test_request_that_may_have_run_is_not_offered_again(self):
        """Guards against a booking that runs twice through two instances."""

        async def reset(request, writer):
            writer.transport.abort()

        first = await self.add("app", reset)
        await self.add_instance("e3")
        second = await self.add("app", reset)
        await self.lose_servers(self.cut_off)
        self.assertEqual((await self.call("/once/")).status, 502)
        self.assertEqual(len(first.received) + len(second.received), 1)

    async def test_rejection_passes_unchanged(self):
        """Guards against a promise of the other instance that gets lost."""

        async def refuse(request, writer):
            writer.write(full_response(503, {"x-sapphireledge-not-executed": "1"}, b""))

        await self.add("app", refuse)
        await self.lose_servers(self.cut_off)
        response = await self.call("/once/")
        self.assertEqual(response.status, 503)
        self.assertIn("retry-after", response.headers)

    async def test_stream_passes(self):
        """Guards against streams that only callers of other instances get."""
        await self.add("llm", streaming_engine(0, 9))
        await self.lose_servers(self.cut_off)
        response = await self.call("/stream/")
        self.assertEqual((response.status, response.complete), (200, True))
        self.assertEqual(response.body, events(*range(10)))

    async def test_taken_up_stream_continues_after_its_last_event(self):
        """Guards against events that come twice, as the other instance begins anew."""
        engine = await self.add("llm", streaming_engine(5, 9))
        await self.lose_servers(self.cut_off)
        response = await self.call("/stream/", last_event_id="4")
        self.assertEqual(response.body, events(*range(5, 10)))
        self.assertEqual(engine.received[-1].headers["last-event-id"], "4")

    async def test_stream_that_breaks_off_does_not_look_complete(self):
        """Guards against a truncated answer that passes for a whole one."""
        await self.add("llm", streaming_engine(0, 3, end=False))
        await self.lose_servers(self.cut_off)
        response = await self.call("/non-resumable/")
        self.assertFalse(response.complete)

    async def test_instances_that_are_all_cut_off_refuse_at_once(self):
        """Guards against requests that are forwarded in circles or held for nothing."""
        third = await self.add_instance("e3")
        await self.lose_servers(self.cut_off, self.other, third)
        started = asyncio.get_running_loop().time()
        response = await self.call("/plain/")
        self.assertEqual(response.status, 503)
        self.assertIn("retry-after", response.headers)
        self.assertLess(asyncio.get_running_loop().time() - started, 0.5)

    async def test_instance_with_an_older_configuration_is_not_used(self):
        """Guards against a request that an older configuration handles than the one in force."""
        old = await self.add("app", succeed)
        await self.add_instance("e3")
        self.gateway.config.accept(table(2))
        new = await self.add("app", succeed)
        self.cut_off.config.accept(table(2))
        await self.lose_servers(self.cut_off)
        for _ in range(4):
            self.assertEqual((await self.call("/plain/")).status, 200)
        self.assertEqual((len(old.received), len(new.received)), (0, 4))

    async def test_instance_that_stands_still_is_passed_over(self):
        """Guards against requests that wait until their deadline at a process that does not run."""
        server = await self.add("app", succeed)
        still = socket.create_server((HOST, 0))
        self.addCleanup(still.close)
        peers = [
            ForwardingPeer("e9", "dc-a", HOST, still.getsockname()[1]),
            *self.cut_off.peers.list_peers(),
        ]
        self.cut_off.peers.list_peers = lambda: peers
        await self.lose_servers(self.cut_off)
        started = asyncio.get_running_loop().time()
        self.assertEqual((await self.call("/once/")).status, 200)
        self.assertLess(asyncio.get_running_loop().time() - started, 1.0)
        self.assertEqual(len(server.received), 1)
        conn, _ = still.accept()
        self.addCleanup(conn.close)
        self.assertNotIn(b"/once/", conn.recv(4096))

    async def test_deadline_ends_the_search_for_an_instance(self):
        """Guards against a request that is held long after its caller has left."""
        still = [socket.create_server((HOST, 0)) for _ in range(8)]
        for sock in still:
            self.addCleanup(sock.close)
        peers = [
            ForwardingPeer(f"e1{number}", "dc-b", HOST, sock.getsockname()[1])
            for number, sock in enumerate(still)
        ]
        self.cut_off.peers.list_peers = lambda: peers
        await self.lose_servers(self.cut_off)
        started = asyncio.get_running_loop().time()
        response = await self.call("/plain/", x_sapphireledge_deadline_ms="800")
        self.assertEqual(response.status, 503)
        self.assertLess(asyncio.get_running_loop().time() - started, 1.5)

    async def test_caller_without_an_id_is_served(self):
        """Guards against a response that is taken for one to the question before it."""

        async def ask_for_id(request, writer):
            writer.write(full_response(400, {"x-sapphireledge-not-executed": "1"}, b"no id"))

        await self.add("app", ask_for_id)
        direct = await self.call_without_id(self.other)
        await self.lose_servers(self.cut_off)
        forwarded = await self.call("/plain/", x_sapphireledge_request_id="")
        self.assertEqual((forwarded.status, forwarded.body), (direct.status, direct.body))

    async def test_whole_data_centre_is_cut_off(self):
        """Guards against a request that is offered to instances of one data centre only."""
        await self.add("app", succeed)
        peers = self.cut_off.peers.list_peers()
        local = [await self.add_instance(f"e{number}") for number in range(3, 12)]
        peers += [replace(peer, data_centre="dc-a") for peer in self.cut_off.peers.list_peers()[1:]]
        self.cut_off.peers.list_peers = lambda: peers
        await self.lose_servers(self.cut_off, *local)
        for _ in range(3):
            self.assertEqual((await self.call("/plain/")).status, 200)

    async def test_instance_that_is_gone_is_passed_over(self):
        """Guards against a listing of instances that is behind."""
        await self.add("app", succeed)
        gone = ForwardingPeer("e9", "dc-a", HOST, self.closed_port)
        peers = [gone, *self.cut_off.peers.list_peers()]
        self.cut_off.peers.list_peers = lambda: peers
        await self.lose_servers(self.cut_off)
        self.assertEqual((await self.call("/plain/")).status, 200)

    async def test_caller_that_leaves_ends_the_request_everywhere(self):
        """Guards against servers that go on working for nobody."""
        begun, ended = asyncio.Event(), asyncio.Event()

        async def wait(request, writer):
            begun.set()
            sock = writer.get_extra_info("socket")
            while sock.fileno() >= 0 and sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO) == 1:
                await asyncio.sleep(0.01)
            ended.set()

        await self.add("app", wait)
        await self.lose_servers(self.cut_off)
        _, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(self.head("/plain/") + b"content-length: 0\r\n\r\n")
        await asyncio.wait_for(begun.wait(), 1.0)
        writer.close()
        await asyncio.wait_for(ended.wait(), 0.5)
