"""Entry instances, a store and scripted servers of two versions, for tests of roll-outs."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
import time
import unittest
from collections.abc import Sequence
from pathlib import Path
from typing import ClassVar

import msgspec
from gateway_case import HOST, ReceivedRequest, ScriptedServer, read_response, signed_response

from devtools.local_fleet import free_port
from sapphireledge.feed import StoreEpoch
from sapphireledge.gateway import Gateway, GatewayMetrics, RequestTelemetry
from sapphireledge.platform.create_parts import (
    create_feed_runner,
    create_origin_parts,
    create_rollout_parts,
)
from sapphireledge.platform.node_settings import load_node_settings
from sapphireledge.platform.platform_dialect import PlatformDialect
from soak.store import Store

SERVICE = "app"
OLD, NEW = "v1", "v2"
ROUTE = {
    "name": "r-read",
    "host": "svc.example",
    "path_prefix": "/read/",
    "kind": "safe",
    "timeout_ms": 2000,
    "goal_ms": 500,
    "priority": 0,
    "service": SERVICE,
    "max_attempts": 3,
    "anonymous": True,
}
STREAM_ROUTE = {
    **ROUTE,
    "name": "r-stream",
    "path_prefix": "/stream/",
    "kind": "streaming",
    "timeout_ms": 20000,
    "resumable": True,
}
CONFIG = {
    "version": 1,
    "routes": [ROUTE, STREAM_ROUTE],
    "services": [{"name": SERVICE, "max_conns": 100}],
    "limits": {},
    "tenants": [],
}


class Instance:
    """One entry instance with all of its parts, in the process of the test."""

    def __init__(
        self, name: str, store: Store, folder: Path, contracts: Sequence[str], **bounds: float
    ) -> None:
        self.name = name
        # Outgoing connections of other tests take no ports of this range.
        peer_port = free_port(HOST)
        path = folder / f"{name}.json"
        path.write_bytes(
            msgspec.json.encode(
                {
                    "node_name": name,
                    "zone": "dc-a",
                    "listen": {"front": f"{HOST}:80", "ready": f"{HOST}:81"},
                    "port_range": [peer_port, peer_port],
                    "platform": {"address": f"{HOST}:{store.port}"},
                    "contracts": contracts,
                    "bounds": bounds,
                }
            )
        )
        self.cfg = load_node_settings(path)
        self.metrics = GatewayMetrics()
        self.gateway = Gateway(self.cfg.gateway, PlatformDialect(), RequestTelemetry(self.metrics))
        self.rollouts = self.gateway.context.rollouts
        self.port = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Starts the parts and listens for callers."""
        epoch = StoreEpoch()
        runner = create_feed_runner(self.cfg, self.gateway, self.metrics, epoch)
        self.gateway.context.count_instances = lambda: runner.instance_count
        self.parts = parts = create_rollout_parts(self.cfg, self.gateway, self.metrics, epoch)
        origin_parts = create_origin_parts(self.cfg, self.gateway, self.metrics, epoch)
        self._tasks = [asyncio.create_task(part.run()) for part in (runner, *parts, *origin_parts)]
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(self.gateway.create_protocol, HOST, 0)
        self.port = self._listener.sockets[0].getsockname()[1]
        async with asyncio.timeout(10.0):
            while not self.gateway.is_ready:
                for task in self._tasks:
                    if task.done():
                        task.result()
                await asyncio.sleep(0.05)

    async def stop(self) -> None:
        """Ends the instance without warning."""
        self._listener.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.gateway.context.pool.close()


class RolloutFleetCase(unittest.IsolatedAsyncioTestCase):
    """Starts a store and instances, and sends requests to them in turn."""

    contracts: Sequence[str] = ("base", "rollout")
    """Contracts in force."""

    bounds: ClassVar[dict[str, float]] = {}
    """Bounds of the settings."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.store = Store()
        await self.store.start()
        self.store.put("config", "main", CONFIG)
        self.instances: list[Instance] = []
        self.servers: list[ScriptedServer] = []
        self.sent: list[tuple[float, str, int]] = []
        """Time, version and status of each request that reached a server."""
        self.answers: list[int] = []
        """Status of each answer that reached a caller."""
        self.is_bad = False
        """Whether servers of the new version fail every request."""
        self.new_delay = 0.01
        """Seconds that servers of the new version take for a request."""
        self._tasks: set[asyncio.Task[None]] = set()
        self._count = 0

    async def asyncTearDown(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for instance in self.instances:
            await instance.stop()
        for server in self.servers:
            server.stop()

    async def add_instances(self, number: int) -> None:
        """Starts instances."""
        names = [f"e{len(self.instances) + i}" for i in range(number)]
        started = [
            Instance(name, self.store, self.folder, self.contracts, **self.bounds) for name in names
        ]
        self.instances += started
        await asyncio.gather(*(instance.start() for instance in started))

    async def add_servers(self, version: object, number: int, handle=None) -> list[ScriptedServer]:
        """Starts servers of a version and registers them."""

        async def answer(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            status = 500 if self.is_bad and version == NEW else 200
            self.sent.append((time.monotonic(), str(version), status))
            await asyncio.sleep(self.new_delay if version == NEW else 0.01)
            writer.write(signed_response(request, status=status))
            await writer.drain()

        added = []
        for _ in range(number):
            server = ScriptedServer(f"s{len(self.servers)}", handle or answer)
            await server.start()
            self.servers.append(server)
            added.append(server)
            entry = {
                "service": SERVICE,
                "address": f"{HOST}:{server.port}",
                "zone": "dc-a",
                "version": version,
                "slots": 8,
                "state": "ready",
            }
            self.store.put("servers", server.server_id, entry)
        return added

    def order(self, target: object = NEW, duration: float = 20.0, **fields: object) -> float:
        """Writes an order; returns the time."""
        spec = {"service": SERVICE, "target": target, "duration_s": duration, **fields}
        return self.store.put("rollouts", SERVICE, spec)

    def status(self) -> tuple[object, object]:
        """Returns state and target of the stored status, None without one."""
        stored = self.store.get("rollouts", SERVICE)
        status = (stored or {}).get("status") or {}
        return status.get("state"), status.get("target")

    async def wait_for_status(self, state: str, limit: float, target: object = NEW) -> None:
        """Waits until the status has a state."""
        await self.wait_until(lambda: self.status() == (state, target), limit)

    async def wait_until(self, condition, limit: float) -> None:
        """Waits until a condition holds."""
        deadline = time.monotonic() + limit
        while not condition():
            self.assertLess(time.monotonic(), deadline, f"status {self.status()}")
            await asyncio.sleep(0.05)

    def start_traffic(self, per_second: float, path: str = "/read/x") -> None:
        """Sends requests to the instances in turn until the end of the test."""
        task = asyncio.create_task(self._send_all(per_second, path))
        self._tasks.add(task)

    async def call(self, instance: Instance, path: str = "/read/x", method: str = "GET"):
        """Sends one request to an instance and reads the response."""
        self._count += 1
        reader, writer = await asyncio.open_connection(HOST, instance.port)
        writer.write(
            f"{method} {path} HTTP/1.1\r\nhost: svc.example\r\n"
            f"x-sapphireledge-request-id: id{self._count}\r\n"
            "x-sapphireledge-deadline-ms: 15000\r\ncontent-length: 0\r\n\r\n".encode()
        )
        try:
            return await read_response(reader)
        finally:
            writer.close()

    def times(self, version: str) -> list[float]:
        """Returns the times at which servers of a version got requests."""
        return [at for at, sent, _ in self.sent if sent == version]

    def share(self, version: str, since: float) -> float:
        """Returns the share of a version in what the servers got since a time."""
        versions = [sent for at, sent, _ in self.sent if at >= since]
        return versions.count(version) / max(1, len(versions))

    async def _send_all(self, per_second: float, path: str) -> None:
        while True:
            for instance in tuple(self.instances):
                task = asyncio.create_task(self._send(instance, path))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
                await asyncio.sleep(1.0 / per_second)

    async def _send(self, instance: Instance, path: str) -> None:
        with contextlib.suppress(OSError, TimeoutError):
            self.answers.append((await self.call(instance, path)).status)
