"""Tests of the gateway with plain requests that crash the servers that run them."""

from __future__ import annotations

import asyncio
import time
import unittest
from dataclasses import replace
from random import Random
from types import SimpleNamespace
from unittest import mock

from crashing_plain_server import CrashingPlainServer
from gateway_case import HOST, ONCE_ROUTE, PLAIN_ROUTE, GatewayCase, signed_response, table
from virtual_clock import VirtualClock

from sapphireledge.core.quarantine import DeathRecord, IsolateVerdict
from sapphireledge.errors import ErrorKind, Failure
from sapphireledge.gateway import (
    BackendServer,
    CallerRequest,
    CrashGuard,
    GatewayMetrics,
    QuarantineSettings,
    RequestTelemetry,
    ServiceProfile,
    WorkspaceKey,
    crash_guard,
    seconds_since_boot,
)
from sapphireledge.gateway.admitted_request import AdmittedRequest

SPEEDUP = 10.0
"""How much faster than real ones the servers of these tests crash and start again."""

CFG = QuarantineSettings(burst_window=QuarantineSettings().burst_window / SPEEDUP)

SPREAD_TIME = 4.0 / SPEEDUP
"""Seconds within which all instances must know what crashes servers."""

SERVERS = 6
"""Enough servers for some to be up while others start again."""

OTHER_KEY = "k2"
"""API key of a second workspace."""


class CrashingPlainRequestTest(VirtualClock, GatewayCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.crashing = []
        loop = asyncio.get_running_loop()
        clocks = SimpleNamespace(monotonic=loop.time, time=loop.time)
        self.enterContext(mock.patch.object(crash_guard, "time", clocks))
        context = self.gateway.context
        measure_service = context.crashes.measure_service
        context.crashes = CrashGuard(CFG, context.telemetry)
        context.crashes.measure_service = measure_service
        keys = {**table().keys, OTHER_KEY: WorkspaceKey("registry")}
        self.gateway.config.accept(replace(table(version=2), keys=keys))

    async def asyncTearDown(self):
        for server in self.crashing:
            await server.stop()
        await super().asyncTearDown()

    async def start_servers(self, is_bad):
        for index in range(SERVERS):
            server = CrashingPlainServer(
                f"app-{index}",
                is_bad,
                lambda started, dc=f"dc-{'ab'[index % 2]}": self.register(started, "app", dc),
                self.on_ended,
            )
            await server.start()
            self.crashing.append(server)

    def on_ended(self, server):
        """Removes a server like the listener of the store, which also sees that of idle ones."""
        context = self.gateway.context
        context.crashes.on_server_gone(context.registry.state(server.server_id).server)
        context.registry.remove(server.server_id)

    def crashes(self):
        return sorted(at for server in self.crashing for at in server.crashes)

    async def ask(self, path, number, delay, **extra):
        await asyncio.sleep(delay)
        self.gateway.config.confirm(seconds_since_boot())
        return await self.call(f"{path}{number}", body=b"%d" % number, **extra)

    async def check_different_requests(self, path):
        """Sends requests of two workspaces, of which a third of those of one crash servers."""
        await self.start_servers(lambda r: b"bad" in r.target)
        court = [self.ask(path + ("bad" if i % 3 == 0 else "own"), i, 0.08 * i) for i in range(60)]
        other = [self.ask(path, i, 0.08 * i, authorization=f"Token {OTHER_KEY}") for i in range(60)]
        responses = await asyncio.gather(*court, *other)
        counted_from = self.crashes()[4] + SPREAD_TIME
        late = [
            at
            for server in self.crashing
            for at, request in server.arrivals
            if b"bad" in request.target and at > counted_from
        ]
        self.assertLessEqual(len(late), 3)
        served = [response.status for response in responses[-20:]]
        self.assertEqual(served, [200] * 20, "requests of another workspace are not served")

    async def test_different_requests_of_one_caller_end_few_servers(self):
        """Guards against requests without shared content that crash server after server."""
        await self.check_different_requests("/plain/")

    async def test_different_requests_that_run_once_end_few_servers(self):
        """Guards against the same where nothing is repeated, so that no request crashes twice."""
        await self.check_different_requests("/once/")

    async def test_servers_that_crash_by_themselves_lead_to_no_refusal(self):
        """Guards against refusing callers where crashes have a cause outside of requests."""
        await self.start_servers(lambda r: False)
        rng = Random(7)

        async def crash_servers():
            for _ in range(16):
                await asyncio.sleep(0.3)
                rng.choice(self.crashing).crash()

        asks = [self.ask("/plain/", i % 7, 0.05 * i) for i in range(100)]
        *responses, _ = await asyncio.gather(*asks, crash_servers())
        self.assertGreater(len(self.crashes()), 10)
        statuses = [response.status for response in responses]
        self.assertGreaterEqual(statuses.count(200), 95, statuses)


async def answer_never(request, writer):
    await asyncio.sleep(30)


class SilentCrashTest(GatewayCase):
    """Guards against a request that crashes servers which close no connection when they crash."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        context = self.gateway.context
        context.crashes = CrashGuard(CFG, context.telemetry)

    async def start_silent_server(self):
        """Starts a server that goes silent during a bad request and is removed a little later."""
        context = self.gateway.context

        async def handle(request, writer):
            if b"bad" not in request.target:
                writer.write(signed_response(request))
                return
            self.crashes.append(server.server_id)
            await asyncio.sleep(0.3)
            context.crashes.on_server_gone(context.registry.state(server.server_id).server)
            context.registry.remove(server.server_id)
            await self.start_silent_server()
            await asyncio.sleep(30)

        server = await self.add("app", handle)

    async def test_request_is_refused_after_a_few_silent_crashes(self):
        self.crashes = []
        await self.start_silent_server()
        for number in range(12):
            self.gateway.config.confirm(seconds_since_boot())
            bad = self.call("/once/bad", x_sapphireledge_deadline_ms="200")
            sound = self.call(f"/once/own{number}", x_sapphireledge_deadline_ms="200")
            await asyncio.gather(bad, sound)
            await asyncio.sleep(0.4)
        # Three crashes may have other causes, and the fourth proves that the request is one.
        self.assertLessEqual(len(self.crashes), 5)
        self.gateway.config.confirm(seconds_since_boot())
        self.assertEqual((await self.call("/once/own")).status, 200)

    async def test_slow_server_that_leaves_later_condemns_nothing(self):
        """Guards against taking any server that does not answer in time for a crashed one."""
        crashes = self.gateway.context.crashes
        for number in range(12):

            async def handle(request, writer):
                await asyncio.sleep(0.3)
                writer.write(signed_response(request))

            self.gateway.config.confirm(seconds_since_boot())
            server = await self.add("app", handle)
            await self.call("/once/slow", x_sapphireledge_deadline_ms="100")
            self.gateway.context.registry.remove(server.server_id)
            self.assertFalse(crashes.quarantine.has_deaths, number)

    async def test_request_to_a_server_that_is_known_to_be_dead_is_no_suspect(self):
        crashes = self.gateway.context.crashes
        server = await self.add("app", answer_never)
        described = self.gateway.context.registry.state(server.server_id).server
        death = DeathRecord(server.server_id, str(described.started_at_ms), time.time(), ("other",))
        crashes.quarantine.on_engine_death(time.time(), death)
        shared = []
        crashes.on_death = shared.append
        await self.call("/once/slow", x_sapphireledge_deadline_ms="100")
        crashes.on_server_gone(described)
        self.assertEqual(shared, [])


class CrashingRequestAtFleetTest(unittest.IsolatedAsyncioTestCase):
    """Guards against one request that each of many instances tries once more."""

    async def asyncSetUp(self):
        telemetry = RequestTelemetry(GatewayMetrics())
        self.guards = [CrashGuard(CFG, telemetry) for _ in range(20)]
        for guard in self.guards:
            guard.on_death = self.share
        unused = await asyncio.start_server(lambda r, w: w.close(), HOST, 0)
        self.port = unused.sockets[0].getsockname()[1]
        unused.close()
        self.sent = 0

    def share(self, record):
        for guard in self.guards:
            guard.quarantine.on_engine_death(record.time_unix, record)

    def request(self, route):
        self.sent += 1
        request = CallerRequest(b"GET", b"/x", "h", (), b"", 0.0, request_id=f"id{self.sent}")
        return AdmittedRequest(request, route, ServiceProfile("app"), "court", 0, 1)

    async def send_together(self, route, guards):
        """Sends the request to a server through each of some instances; returns how many did."""
        attempts = []
        for guard in guards:
            admitted = self.request(route)
            verdict = guard.judge(admitted)
            if isinstance(verdict, Failure):
                self.assertIn(verdict.kind, (ErrorKind.OVERLOADED, ErrorKind.REQUEST_CONDEMNED))
                continue
            server = BackendServer(f"s{self.sent}", "app", HOST, self.port, "dc-a")
            isolated = isinstance(verdict, IsolateVerdict)
            work_id = guard.begin(admitted, server, isolated=isolated)
            guard.on_begun(work_id)
            attempts.append((guard, server, work_id))
        for guard, server, work_id in attempts:
            guard.on_connection_lost(server)
            guard.end(work_id)
        await asyncio.sleep(0.03)
        return len(attempts)

    async def check_repeated_request(self, route):
        """Sends one request after another until three servers died, then many at once."""
        for guard in self.guards[:3]:
            self.assertEqual(await self.send_together(route, [guard]), 1)
        tries = 0
        for _ in range(8):
            await asyncio.sleep(1.2 * CFG.burst_window)
            tries += await self.send_together(route, self.guards)
        self.assertLessEqual(tries, 3)

    async def test_repeated_request_that_crashed_all_servers_is_hardly_tried_again(self):
        await self.check_repeated_request(PLAIN_ROUTE)

    async def test_same_where_requests_run_once(self):
        await self.check_repeated_request(ONCE_ROUTE)


if __name__ == "__main__":
    unittest.main()
