"""One soak run: entries, backend servers, store and callers."""

from __future__ import annotations

import asyncio
import errno
import os
import signal
import socket
import time
from pathlib import Path
from random import Random

from devtools.entry_program import build_launcher
from soak.backend import Backend
from soak.caller import Caller
from soak.entry import Entry
from soak.fault_injector import FaultInjector
from soak.record import DRAIN_LIMIT, Record
from soak.store import Store
from soak.uncontrolled_caller import UncontrolledCaller

__all__ = ["SoakRun"]

DATA_CENTRES = ("dc-a", "dc-b", "dc-c")
START_TIME = 4.0
"""Seconds that the entries get to start."""

RECOVERY_TIME = 8.0
"""Seconds after the last fault within which the system must recover."""

CHECK_REQUESTS = 40
"""Requests sent by each check after the faults have ended."""

REVOKED_KEY_SHARE = 0.1
"""Share of requests sent with a revoked key."""

SERVED_SHARE = 0.95
"""Share of the `CHECK_REQUESTS` that must be served after recovery."""

CONFIG_LIMIT = 3.0
"""Seconds within which an acknowledged configuration must be in force."""

NETWORKS = 250
"""Loopback networks that concurrent runs are spread over."""

LOCK_PORT = 7099
"""Port whose listening socket reserves a network."""


def reserve_network() -> tuple[int, socket.socket]:
    """Reserves a loopback network that no other run uses.

    Returns:
        The number of the network and the socket that reserves it.

    Raises:
        OSError: All networks are in use.
    """
    first = os.getpid()
    for number in range(NETWORKS):
        network = (first + number) % NETWORKS + 1
        try:
            return network, socket.create_server((f"127.{network}.255.254", LOCK_PORT))
        except OSError as exc:
            if exc.errno != errno.EADDRINUSE:
                raise
    raise OSError(errno.EADDRINUSE, "every loopback network is in use")


class SoakRun:
    """Runs the system under seeded faults, then checks recovery, configuration, drain and stop."""

    def __init__(self, seed: int, folder: Path, entries: int, backends: int, callers: int) -> None:
        self.rng = Random(seed)
        self._seed = seed
        self.record = Record()
        self.store = Store()
        self.keys = ["k1", "k2", "k3"]
        self.entries: list[Entry] = []
        self.backends: list[Backend] = []
        self.version = 1
        self.routes = ["/plain/", "/once/", "/stream/"]
        self._folder = folder
        self._sizes = (entries, backends, callers)
        self._network, self._lock = reserve_network()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> list[str]:
        """Executes the run.

        Args:
            seconds: Duration of fault injection.

        Returns:
            Every violation found.
        """
        # Otherwise the loop reports the cancelled handlers of the stand-ins when it closes.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        try:
            await self._start()
            callers = [asyncio.create_task(self._call_forever()) for _ in range(self._sizes[2])]
            callers.append(asyncio.create_task(self._visit_forever()))
            injector = FaultInjector(self)
            await injector.run(seconds)
            await injector.heal()
            await asyncio.sleep(RECOVERY_TIME)
            for task in callers:
                task.cancel()
            await asyncio.gather(*callers, return_exceptions=True)
            await self._check_recovery()
            await self._check_config()
            await self._check_drain()
            await self._check_stop()
        finally:
            for entry in self.entries:
                entry.close()
            for backend in self.backends:
                backend.crash()
                backend.link.close()
            self._lock.close()
        return self.record.finish()

    def write_config(self) -> float:
        """Writes the next version of the configuration to the store.

        Returns:
            Time of the acknowledgement.
        """
        self.version += self.rng.randint(1, 3)
        kinds = {"/plain/": "safe", "/once/": "unsafe", "/stream/": "streaming"}
        routes = [
            {
                "name": path,
                "host": "soak.example",
                "path_prefix": path,
                "kind": kinds.get(path, "safe"),
                "timeout_ms": 4000,
                "goal_ms": 500,
                "service": "llm" if path == "/stream/" else "app",
                "max_attempts": 4,
                "resumable": path == "/stream/",
            }
            for path in self.routes
        ]
        config = {
            "version": self.version,
            "routes": routes,
            "services": [{"name": "app"}, {"name": "llm", "engine": {"backups": True}}],
            "tenants": [{"name": f"w-{key}", "api_keys": [key]} for key in self.keys],
        }
        return self.store.put("config", "main", config)

    async def _start(self) -> None:
        await self.store.start()
        self.write_config()
        build_launcher(self._folder)
        entries, backends, _ = self._sizes
        for number in range(backends):
            service = "llm" if number % 2 else "app"
            data_centre = DATA_CENTRES[number // 2 % len(DATA_CENTRES)]
            backend = Backend(service, data_centre, self.store, self.record, self.rng)
            self.backends.append(backend)
            await backend.start()
        for number in range(entries):
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            self.entries.append(Entry(number, self._network, data_centre, self.store, self._folder))
        await asyncio.gather(*(entry.start() for entry in self.entries))
        await asyncio.sleep(START_TIME)

    async def _call_forever(self) -> None:
        caller = Caller(self.record, self.rng, self.keys)
        while True:
            entry = self.rng.choice(self.entries)
            revoked_keys = tuple(self.record.revoked_at)
            use_revoked = revoked_keys and self.rng.random() < REVOKED_KEY_SHARE
            key = self.rng.choice(revoked_keys[-2:]) if use_revoked else ""
            await caller.call(entry, self.rng.choice(self.routes[:3]), key)
            await asyncio.sleep(self.rng.uniform(0.01, 0.2))

    async def _visit_forever(self) -> None:
        # A generator of its own, so that a seed still draws the same faults.
        rng = Random(self._seed)
        caller = UncontrolledCaller(self.record, rng, self.keys)
        while True:
            await caller.visit(rng.choice(self.entries))

    async def _check_recovery(self) -> None:
        served = 0
        for number in range(CHECK_REQUESTS):
            caller = Caller(self.record, self.rng, self.keys)
            entry = self.entries[number % len(self.entries)]
            call = await caller.call(entry, self.routes[number % 3])
            served += call.status == 200 and call.complete
        if served < CHECK_REQUESTS * SERVED_SHARE:
            self.record.violations.append(f"recovery: {served} of {CHECK_REQUESTS} served")

    async def _check_config(self) -> None:
        self.routes.append(f"/new{self.version}/")
        self.write_config()
        await asyncio.sleep(CONFIG_LIMIT)
        for entry in self.entries:
            call = await Caller(self.record, self.rng, self.keys).call(entry, self.routes[-1])
            if call.status != 200:
                self.record.violations.append(f"config: {call.status} at {entry.name}")

    async def _check_drain(self) -> None:
        """Drains one server of each service; `Record` checks the requests that still reach them."""
        for backend in self.backends[:2]:
            backend.publish_state("draining")
        await asyncio.sleep(DRAIN_LIMIT)
        for number in range(CHECK_REQUESTS):
            caller = Caller(self.record, self.rng, self.keys)
            await caller.call(self.entries[number % len(self.entries)], self.routes[number % 3])

    async def _check_stop(self) -> None:
        """Stops all entries gracefully while each serves a stream."""
        callers = [Caller(self.record, self.rng, self.keys) for _ in self.entries]
        streams = [
            asyncio.create_task(caller.call(entry, "/stream/"))
            for caller, entry in zip(callers, self.entries, strict=True)
        ]
        await asyncio.sleep(0.1)
        stop_started = time.monotonic()
        problems = await asyncio.gather(*(entry.terminate() for entry in self.entries))
        self.record.violations += [f"stop: {problem}" for problem in problems if problem]
        for call in await asyncio.gather(*streams):
            if not call.complete and call.sent < stop_started:
                self.record.violations.append(f"stop: {call.request_id} was cut off")

    def spawn(self, coroutine) -> None:
        """Runs a fault in the background."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def wait_for_faults(self) -> None:
        """Waits until all faults have ended."""
        while self._tasks:
            await asyncio.gather(*tuple(self._tasks), return_exceptions=True)

    def signal_all(self, number: signal.Signals) -> None:
        """Sends a signal to every entry process."""
        for entry in self.entries:
            entry.send_signal(number)
