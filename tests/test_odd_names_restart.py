"""Processes that are restarted together while entries of other writers are in the registry."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path
from random import Random

from devtools.entry_program import build_launcher
from soak.backend import Backend
from soak.caller import Caller
from soak.entry import Entry
from soak.record import Record
from soak.soak_run import DATA_CENTRES, reserve_network
from soak.store import Store

ODD_NAMES = (
    "app&",
    "&",
    "app+x",
    "+",
    "app#",
    "app%41",
    "%",
    "app x",
    "app\tx",
    "app\nx",
    "appé",
    "",
)

KINDS = ("servers", "config", "entry-instances", "crash-reports", "stream-origins")
"""Kinds that the processes read."""

ROUTES = ("/plain/", "/stream/")

RECOVERY_LIMIT = 12.0
"""Seconds after a restart of all processes within which they serve again (`recovery_s`)."""

CHANGE_LIMIT = 0.5
"""Seconds in which a new entry reaches all processes."""

REQUEST_INTERVAL = 0.05
"""Seconds between two requests, far below what the servers can take."""

REQUESTS = 30
"""Requests sent to the restarted processes."""


class RestartTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.record, self.rng = Record(), Random(1)
        self.store = Store()
        # Otherwise the loop reports the cancelled handlers of the stand-ins when it closes.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        await self.store.start()
        self.put_config()
        build_launcher(Path(folder.name))
        self.backends = [
            Backend(("app", "llm")[number % 2], DATA_CENTRES[0], self.store, self.record, self.rng)
            for number in range(8)
        ]
        for backend in self.backends:
            self.addCleanup(backend.link.close)
            self.addCleanup(backend.crash)
            await backend.start()
        network, lock = reserve_network()
        self.addCleanup(lock.close)
        self.entries = [
            Entry(number, network, DATA_CENTRES[number % 2], self.store, Path(folder.name))
            for number in range(3)
        ]
        for entry in self.entries:
            self.addCleanup(entry.close)
        self.callers = [Caller(self.record, self.rng, ["k1"]) for _ in range(REQUESTS)]

    def put_config(self):
        routes = [
            {
                "name": path,
                "host": "soak.example",
                "path_prefix": path,
                "kind": kind,
                "timeout_ms": 4000,
                "goal_ms": 2000,
                "service": service,
                "max_attempts": 4,
                "resumable": path == "/stream/",
            }
            for path, kind, service in (
                ("/plain/", "safe", "app"),
                ("/once/", "unsafe", "app"),
                ("/stream/", "streaming", "llm"),
            )
        ]
        tenants = [{"name": "w-k1", "api_keys": ["k1"]}]
        services = [{"name": "app"}, {"name": "llm", "engine": {"backups": True}}]
        config = {"version": 1, "routes": routes, "services": services, "tenants": tenants}
        self.store.put("config", "main", config)

    async def start_all(self):
        await asyncio.gather(*(entry.start() for entry in self.entries))

    async def restart_all(self):
        for entry in self.entries:
            entry.kill()
        for entry in self.entries:
            await entry.wait_exited()
        await self.start_all()

    async def count_served(self):
        """Sends requests to all processes; returns how many are served."""
        calls = [self.call(number, caller) for number, caller in enumerate(self.callers)]
        return sum(call.status == 200 and call.complete for call in await asyncio.gather(*calls))

    async def call(self, number, caller):
        await asyncio.sleep(number * REQUEST_INTERVAL)
        entry = self.entries[number % len(self.entries)]
        return await caller.call(entry, ROUTES[number % len(ROUTES)])

    async def wait_until_served(self):
        """Waits until all processes serve each route, at most `RECOVERY_LIMIT`."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + RECOVERY_LIMIT
        served = 0
        while loop.time() < deadline:
            served = await self.count_served()
            if served == REQUESTS:
                break
            await asyncio.sleep(0.5)
        return served

    async def test_restart_of_all_processes(self):
        """Guards against an outage because of an odd name at the end of a page."""
        await self.start_all()
        self.assertEqual(await self.wait_until_served(), REQUESTS)
        for odd_name in ODD_NAMES:
            with self.subTest(odd_name):
                self.put_at_end_of_page(odd_name)
                await self.restart_all()
                self.assertEqual(await self.wait_until_served(), REQUESTS)
                for kind in KINDS:
                    self.store.remove(kind, odd_name)
        self.assertEqual(self.record.finish(), [])

    async def test_entries_with_the_content_of_a_server(self):
        """Guards against failed requests because of a name that no header can hold."""
        await self.start_all()
        self.assertEqual(await self.wait_until_served(), REQUESTS)
        for odd_name in ODD_NAMES:
            with self.subTest(odd_name):
                for backend in self.backends[:2]:
                    spec = self.store.get("servers", backend.identity)["spec"]
                    self.store.put("servers", f"{odd_name}{backend.service}", spec)
                await asyncio.sleep(CHANGE_LIMIT)
                self.assertEqual(await self.wait_until_served(), REQUESTS)
        self.assertEqual(self.record.finish(), [])

    def put_at_end_of_page(self, odd_name):
        for kind in KINDS:
            self.store.put(kind, odd_name, {"note": "by another writer"})
        names = sorted(self.store.names("servers"))
        # The name ends the first page that it can end.
        self.store.page_size = names.index(odd_name) + 1


if __name__ == "__main__":
    unittest.main()
