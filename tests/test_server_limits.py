"""Tests of servers that name a limit of requests: several gateways in front of the same servers."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from gateway_case import (
    HOST,
    REQUEST_ID,
    SEAL,
    STREAM_ROUTE,
    GatewayCase,
    chunk,
    event,
    full_response,
    stream_head,
    table,
)

from sapphireledge.gateway import (
    BackendServer,
    Gateway,
    GatewayMetrics,
    RequestTelemetry,
    seconds_since_boot,
)
from sapphireledge.platform.platform_dialect import PlatformDialect

LIMIT = 6.0
"""Requests per second that the limited server takes from all gateways together."""

INSTANCES = 3
"""Number of gateways."""

DURATION = 2.0
"""Seconds for which requests are sent."""

LEARN_TIME = 0.5
"""Seconds after which requests count, as a gateway learns the limit from its first response."""

MANY_INSTANCES = 100_000
"""Instances that share a limit, so many that none gets a slot during a test."""

MANY_ENGINES = 24
"""Engines of which most name a limit."""

LONG_DEADLINE = 25.0
"""Seconds until the deadline of a stream that may wait."""

LIMITED_ENGINES = 22
"""Engines that name a limit in their reports."""


class ServerLimitTest(GatewayCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.arrivals: list[float] = []
        self.gateways = [self.gateway]
        self.ports = [self.port]
        self._listeners = []
        loop = asyncio.get_running_loop()
        for _ in range(INSTANCES - 1):
            gateway = Gateway(self.cfg, PlatformDialect(), RequestTelemetry(GatewayMetrics()))
            gateway.config.accept(table())
            gateway.config.confirm(seconds_since_boot())
            listener = await loop.create_server(gateway.create_protocol, HOST, 0)
            self._listeners.append(listener)
            self.gateways.append(gateway)
            self.ports.append(listener.sockets[0].getsockname()[1])
        for gateway in self.gateways:
            gateway.context.count_instances = lambda: INSTANCES

    async def asyncTearDown(self):
        await super().asyncTearDown()
        for listener in self._listeners:
            listener.close()
        for gateway in self.gateways:
            gateway.context.pool.close()

    async def answer_limited(self, request, writer):
        self.arrivals.append(asyncio.get_running_loop().time())
        headers = {REQUEST_ID: request.headers[REQUEST_ID], SEAL: "s", "server-limit": str(LIMIT)}
        writer.write(full_response(200, headers, b"ok"))

    async def stream_limited(self, request, writer):
        self.arrivals.append(asyncio.get_running_loop().time())
        head = stream_head(request)[:-2] + f"server-limit: {LIMIT}\r\n\r\n".encode()
        writer.write(head + chunk(event(0)) + chunk(event(1)) + b"0\r\n\r\n")

    async def answer(self, request, writer):
        headers = {REQUEST_ID: request.headers[REQUEST_ID], SEAL: "s"}
        writer.write(full_response(200, headers, b"ok"))

    async def add_everywhere(self, service, handle):
        server = await self.add(service, handle)
        for gateway in self.gateways[1:]:
            gateway.context.registry.put(
                BackendServer(server.server_id, service, HOST, server.port, "dc-a")
            )

    async def flood(self, path, interval=0.05):
        """Sends requests to all gateways at once, again and again; returns the responses."""
        calls = []
        end = asyncio.get_running_loop().time() + DURATION
        while asyncio.get_running_loop().time() < end:
            for port in self.ports:
                self.port = port
                calls.append(asyncio.create_task(self.call(path)))
                await asyncio.sleep(0)
            await asyncio.sleep(interval)
        return await asyncio.gather(*calls)

    def assert_limit_kept(self):
        """Requires at most one and a half times the limit, and five requests more."""
        counted = [at for at in self.arrivals if at >= self.arrivals[0] + LEARN_TIME]
        time_counted = DURATION - LEARN_TIME
        self.assertGreaterEqual(len(self.arrivals), 3)
        self.assertLessEqual(len(counted), 1.5 * LIMIT * time_counted + 5)

    async def test_named_limit_is_kept_by_all_instances_together(self):
        """Guards against more requests to a server than the limit that it has named."""
        await self.add_everywhere("app", self.answer_limited)
        await self.add_everywhere("app", self.answer)
        responses = await self.flood("/plain/")
        self.assert_limit_kept()
        self.assertEqual({response.status for response in responses}, {200})

    async def test_requests_beyond_the_limit_of_all_servers_are_refused_at_once(self):
        """Guards against requests that wait in vain for a server that takes no more."""
        await self.add_everywhere("app", self.answer_limited)
        responses = await self.flood("/once/")
        self.assert_limit_kept()
        refused = [response for response in responses if response.status == 503]
        self.assertGreater(len(refused), len(responses) / 2)
        self.assertTrue(all(float(response.headers["retry-after"]) > 0.0 for response in refused))

    async def test_named_limit_of_engines_is_kept(self):
        """Guards against more streams to an engine than the limit that it has named."""
        self.assertGreater(STREAM_ROUTE.time_limit, DURATION)
        await self.add_everywhere("llm", self.stream_limited)
        await self.add_everywhere("llm", self.stream)
        responses = await self.flood("/stream/", interval=0.1)
        self.assert_limit_kept()
        self.assertEqual({response.status for response in responses}, {200})

    async def stream(self, request, writer):
        writer.write(stream_head(request) + chunk(event(0)) + chunk(event(1)) + b"0\r\n\r\n")


class LimitInReportTest(GatewayCase):
    async def test_stream_goes_at_once_to_an_engine_that_takes_it(self):
        """Guards against streams that wait like late ones because the reports of engines name a
        limit, while other engines are idle."""

        async def stream(request, writer):
            writer.write(stream_head(request) + chunk(event(0)) + b"0\r\n\r\n")

        route = replace(STREAM_ROUTE, time_limit=LONG_DEADLINE)
        self.gateway.config.accept(replace(table(2), routes={"svc.example": (route,)}))
        self.gateway.context.count_instances = lambda: MANY_INSTANCES
        for index in range(MANY_ENGINES):
            server = await self.add("llm", stream)
            if index < LIMITED_ENGINES:
                server.report_headers = {"server-limit": "1.0"}
        loop = asyncio.get_running_loop()
        for _ in range(4):
            started = loop.time()
            deadline = str(int(LONG_DEADLINE * 1000))
            response = await self.call("/stream/", x_sapphireledge_deadline_ms=deadline)
            self.assertEqual((response.status, response.complete), (200, True))
            self.assertLess(loop.time() - started, 1.0)
        limited = [len(server.received) for server in self.servers[:LIMITED_ENGINES]]
        self.assertEqual(sum(limited), 0)
