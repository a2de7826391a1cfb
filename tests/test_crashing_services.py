"""Tests of the own interface with calls that crash the plain services that run them."""

from __future__ import annotations

import asyncio
import time
from random import Random
from types import SimpleNamespace

from crashing_plain_server import CrashingPlainServer
from standin_case import StandinCase

from sapphireledge.core.claims import ServiceOutcome
from sapphireledge.core.quarantine import ClearVerdict, Quarantine
from sapphireledge.core.routing import BackendInstance, BackendView
from sapphireledge.entry.death_checker import DeathChecker
from sapphireledge.entry.service_call import ServiceCall
from sapphireledge.entry.service_dispatcher import ServiceDispatcher
from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.settings import QuarantineSettings, RoutingSettings

SERVERS = 6

CFG = QuarantineSettings(burst_window=0.1)

SPREAD_TIME = 0.4
"""Seconds after the fifth death from which on few crashing calls may be sent; servers crash and
start again ten times as fast as real ones."""


class CrashingServiceTest(StandinCase):
    """Guards against calls that crash service after service, and against refusing other callers."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.servers: list[CrashingPlainServer] = []
        self.listed: dict[str, BackendInstance] = {}
        self.view = BackendView(RoutingSettings(), "e1", "akl-a", "akl", Random(1))
        self.quarantine = Quarantine(CFG)
        sink = SimpleNamespace(
            report_death=lambda record: None,
            report_completion=lambda name: self.quarantine.on_completed(time.time(), name),
        )
        deaths = DeathChecker(self.view, self.quarantine, sink, lambda: 1)
        cfg = SimpleNamespace(routing=RoutingSettings())
        self.dispatcher = ServiceDispatcher(cfg, self.view, self.pools, deaths, Random(1))
        for index in range(SERVERS):
            server = CrashingPlainServer(
                f"booking-{index}", lambda r: b"bad" in r.target, self.on_started, self.on_ended
            )
            await server.start()
            self.addAsyncCleanup(server.stop)
            self.servers.append(server)

    def on_started(self, server):
        address = f"127.0.0.1:{server.port}"
        self.listed[server.server_id] = BackendInstance(
            server.server_id, address, "akl-a", "akl", "booking", reports_load=False
        )
        self.view.on_instances(time.monotonic(), self.listed.values())

    def on_ended(self, server):
        del self.listed[server.server_id]

    async def call(self, workspace, number, path, delay=0.0):
        await asyncio.sleep(delay)
        call = ServiceCall("booking", "GET", path, b"", 1.0, workspace, f"{workspace}-{number}")
        return await self.dispatcher.send(call, idempotent=True)

    def sends_after(self, deaths):
        """Counts the crashing calls that reached services later than a number of deaths."""
        times = sorted(at for server in self.servers for at in server.crashes)
        return sum(
            b"bad" in request.target and at > times[deaths - 1] + SPREAD_TIME
            for server in self.servers
            for at, request in server.arrivals
        )

    async def test_different_calls_of_one_workspace_end_few_services(self):
        court = [
            self.call("court", i, f"/{'bad' if i % 3 == 0 else 'own'}{i}", 0.08 * i)
            for i in range(60)
        ]
        other = [self.call("registry", i, f"/x{i}", 0.08 * i) for i in range(60)]
        replies = await asyncio.gather(*court, *other)
        self.assertLessEqual(self.sends_after(5), 3)
        refused = [reply for reply in replies[:60] if isinstance(reply, Failure)]
        self.assertEqual({reply.kind for reply in refused}, {ErrorKind.REQUEST_CONDEMNED})
        self.assertEqual({reply.ran for reply in refused}, {Ran.NO})
        self.assertTrue(all(isinstance(reply, ServiceOutcome) for reply in replies[-20:]))

    async def test_repeated_call_ends_few_services(self):
        for i in range(20):
            await self.call("court", i, "/bad")
            await asyncio.sleep(1.2 * CFG.burst_window)
        self.assertLessEqual(self.sends_after(3), 3)
        sound = await self.call("court", "sound", "/own")
        self.assertIsInstance(sound, ServiceOutcome)

    async def test_services_that_end_without_a_call_count(self):
        """Guards against refusing the only workspace where services crash by themselves."""
        idle = [f"idle-{i}" for i in range(20)]
        self.dispatcher._deaths._view = SimpleNamespace(
            state=lambda name: name,
            states=lambda: [
                SimpleNamespace(instance=SimpleNamespace(name=name, role="booking"), leaving=False)
                for name in (*idle, *(f"s{i}" for i in range(5)))
            ],
        )
        deaths = self.dispatcher._deaths
        unused = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
        address = f"127.0.0.1:{unused.sockets[0].getsockname()[1]}"
        unused.close()
        for i in range(5):
            call = ServiceCall("booking", "GET", f"/{i}", b"", 1.0, "court", f"c{i}")
            deaths.track(f"w{i}", f"s{i}", call.content, isolated=False)
            deaths.on_begun(f"w{i}")
            deaths.check_service(f"s{i}", address)
            await deaths.wait_for_checks()
            deaths.untrack(f"w{i}")
            await asyncio.sleep(1.2 * CFG.burst_window)
        call = ServiceCall("booking", "GET", "/new", b"", 1.0, "court", "new")
        self.assertIsInstance(deaths.judge_now(call.content, "new"), Failure)
        deaths.on_listed(())
        self.assertEqual(deaths.judge_now(call.content, "new"), ClearVerdict())
