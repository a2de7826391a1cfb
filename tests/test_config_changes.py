"""Tests of requests that are under way while the configuration changes."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace
from random import Random

import structlog
from gateway_case import (
    HOST,
    KEY,
    NON_RESUMABLE_ROUTE,
    ONCE_ROUTE,
    PLAIN_ROUTE,
    STREAM_ROUTE,
    GatewayCase,
    chunk,
    event,
    full_response,
    read_response,
    signed_response,
    stream_head,
    table,
)

from sapphireledge.gateway import CallerLimits, ServiceProfile, WorkspaceKey, seconds_since_boot

END = b"0\r\n\r\n"
PROMPT = {
    "x_sapphireledge_token_count": "900,80",
    "x_sapphireledge_prefix_hash": "aa:600,bb:300",
    "x_sapphireledge_model": "m",
}


class ConfigChangeCase(GatewayCase):
    """Changes the configuration and the backend servers while requests run."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.version = 1
        self.services = {"app": ServiceProfile("app"), "llm": ServiceProfile("llm")}

    def change(self, routes=(), services=None, keys=(KEY,), limits=None):
        """Puts the next version in force."""
        self.version += 1
        self.gateway.config.confirm(seconds_since_boot())
        self.gateway.config.accept(
            replace(
                table(self.version),
                routes={"svc.example": tuple(routes)},
                services=self.services if services is None else services,
                keys={key: WorkspaceKey("court") for key in keys},
                limits=limits or CallerLimits(),
            )
        )

    def drop_all(self):
        """Takes all routes, services, keys and servers away."""
        for server in self.servers:
            self.gateway.context.registry.remove(server.server_id)
            self.gateway.context.pool.drop(server.server_id)
        self.change(services={}, keys=())


class LeavingServiceTest(ConfigChangeCase):
    """Guards against requests that end unanswered because what they use has left meanwhile."""

    async def test_running_plain_request_is_answered(self):
        async def serve(request, writer):
            self.drop_all()
            await asyncio.sleep(0.1)
            writer.write(signed_response(request))

        await self.add("app", serve)
        self.assertEqual((await self.call("/once/")).status, 200)

    async def test_rejected_plain_request_is_refused(self):
        async def reject(request, writer):
            self.drop_all()
            writer.write(full_response(503, {"x-sapphireledge-not-executed": "1"}, b""))

        await self.add("app", reject)
        await self.add("app", reject)
        self.assertEqual((await self.call("/once/")).status, 503)

    async def test_lost_plain_request_is_failed(self):
        async def lose(request, writer):
            self.drop_all()
            writer.transport.abort()

        await self.add("app", lose)
        self.assertEqual((await self.call("/plain/")).status, 502)

    async def test_plain_request_that_waits_for_its_server_is_refused(self):
        async def slow_down(request, writer):
            writer.write(
                signed_response(request).replace(b"200 X\r\n", b"200 X\r\nserver-limit: 6\r\n")
            )

        await self.add("app", slow_down)
        self.assertEqual((await self.call("/once/")).status, 200)
        calls = [asyncio.create_task(self.call("/once/")) for _ in range(8)]
        await asyncio.sleep(0.05)
        self.drop_all()
        statuses = {response.status for response in await asyncio.gather(*calls)}
        self.assertLessEqual(statuses, {200, 429, 503})

    async def test_running_stream_is_complete(self):
        async def serve(request, writer):
            writer.write(stream_head(request))
            self.drop_all()
            for number in range(4):
                writer.write(chunk(event(number)))
                await asyncio.sleep(0.03)
                self.change(services={}, keys=())
            writer.write(END)

        await self.add("llm", serve)
        with structlog.testing.capture_logs() as lines:
            response = await self.call("/stream/", **PROMPT)
        self.assertEqual((response.status, response.complete), (200, True))
        self.assertNotIn("internal_error", [line["event"] for line in lines])

    async def test_stream_that_looks_for_an_engine_is_refused(self):
        async def serve(request, writer):
            writer.write(stream_head(request) + chunk(event(0)) + END)

        for _ in range(3):
            await self.add("llm", serve)
        fetch = self.gateway.context.report_client.fetch_reports

        async def drop_and_fetch(servers, timeout):
            reports = await fetch(servers, timeout)
            self.drop_all()
            return reports

        self.gateway.context.report_client.fetch_reports = drop_and_fetch
        response = await asyncio.wait_for(self.call("/stream/", **PROMPT), 2.0)
        self.assertEqual((response.status, response.complete), (503, True))

    async def test_stream_that_waits_in_line_is_refused(self):
        """Guards against a stream that waits for a line that others have forgotten."""

        async def serve(request, writer):
            writer.write(stream_head(request) + chunk(event(0)) + END)

        for _ in range(3):
            server = await self.add("llm", serve)
            server.load = {"waiting": 9, "running": 9, "runs": []}
        self.change([replace(STREAM_ROUTE, time_limit=40.0)])
        call = asyncio.create_task(
            self.call("/stream/", x_sapphireledge_deadline_ms="30000", **PROMPT)
        )
        async with asyncio.timeout(3.0):
            while not self.gateway.selector.waiting:
                await asyncio.sleep(0.01)
        self.drop_all()
        response = await asyncio.wait_for(call, 2.0)
        self.assertEqual((response.status, response.complete), (503, True))


class SeriesOfChangesTest(ConfigChangeCase):
    """Guards against a change at any moment that ends a request without an answer."""

    ROUTES = (PLAIN_ROUTE, ONCE_ROUTE, STREAM_ROUTE, NON_RESUMABLE_ROUTE)
    SEEDS = range(2)

    async def serve_plain(self, request, writer):
        await asyncio.sleep(self.rng.uniform(0.0, 0.03))
        if self.rng.random() < 0.2:
            writer.write(full_response(503, {"x-sapphireledge-not-executed": "1"}, b""))
        else:
            writer.write(signed_response(request))

    async def serve_stream(self, request, writer):
        writer.write(stream_head(request))
        for number in range(5):
            writer.write(chunk(event(number)))
            await asyncio.sleep(self.rng.uniform(0.0, 0.02))
        writer.write(END)

    def change_at_random(self):
        rng = self.rng
        routes = []
        for route in self.ROUTES:
            if rng.random() < 0.8:
                other = f"other{rng.randrange(3)}"
                shares = ((route.services[0][0], rng.uniform(0.1, 1.0)), (other, rng.random()))
                routes.append(
                    replace(
                        route,
                        services=shares if rng.random() < 0.3 else route.services,
                        time_limit=route.time_limit * rng.choice((0.5, 1.0, 2.0)),
                        max_attempts=rng.randint(1, 4),
                        rank=rng.randrange(3),
                    )
                )
        names = [name for name in ("app", "llm", "other0", "other1") if rng.random() < 0.8]
        limits = CallerLimits(
            max_head_bytes=rng.choice((4_096, 16_384)),
            head_timeout=rng.choice((1.0, 3.0)),
            idle_timeout=rng.choice((0.5, 5.0)),
        )
        keys = (KEY,) if rng.random() < 0.8 else ()
        self.change(routes, {name: ServiceProfile(name, 3) for name in names}, keys, limits)
        for server, service in self.places:
            if rng.random() < 0.1:
                self.gateway.context.registry.remove(server.server_id)
                self.gateway.context.pool.drop(server.server_id)
            elif rng.random() < 0.8:
                self.register(server, service)

    async def keep_calling(self, path, responses):
        """Sends requests on kept connections until the changes end."""
        while not self.is_over:
            reader, writer = await asyncio.open_connection(HOST, self.port)
            for _ in range(10):
                body = bytes(self.rng.randrange(3000))
                head = self.head(path, **PROMPT) + f"content-length: {len(body)}\r\n\r\n".encode()
                writer.write(head + body)
                responses.append((path, await read_response(reader)))
                response = responses[-1][1]
                if not response.complete or "connection" in response.headers:
                    break
            writer.close()

    async def play(self, seed):
        self.rng, self.is_over = Random(seed), False
        responses = []
        with structlog.testing.capture_logs() as lines:
            callers = [
                asyncio.create_task(self.keep_calling(route.path_prefix, responses))
                for route in self.ROUTES
                for _ in range(4)
            ]
            for _ in range(150):
                self.change_at_random()
                await asyncio.sleep(self.rng.uniform(0.0, 0.02))
            self.is_over = True
            await asyncio.wait_for(asyncio.gather(*callers), 60.0)
        cut = [(path, r.status) for path, r in responses if not r.complete]
        odd = [line for line in lines if line["event"] in ("internal_error", "request_unanswered")]
        self.assertEqual((cut, odd), ([], []))
        self.assertGreater(len([r for _, r in responses if r.status == 200]), 50)

    async def test_each_request_is_answered(self):
        self.places = [(await self.add("app", self.serve_plain), "app") for _ in range(3)]
        self.places += [(await self.add("llm", self.serve_stream), "llm") for _ in range(3)]
        for seed in self.SEEDS:
            with self.subTest(seed=seed):
                await self.play(seed)


if __name__ == "__main__":
    unittest.main()
