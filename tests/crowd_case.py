"""Test case that starts an instance as a process and lets crowds of callers come to it."""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import resource
import sys
import tempfile
import time
import unittest
from pathlib import Path

from caller_crowd import Crowd

from soak.http import encode_response, read_request
from soak.store import Store

PROGRAM = Path(__file__).resolve().parent.parent / "src" / "sapphireledge_entry.py"
FRONT_PORT, READY_PORT, FEED_PORT, METRICS_PORT = 7100, 7101, 7340, 9464
SEAL = "x-sapphireledge-server-seal"
REQUEST_ID = "x-sapphireledge-request-id"
LARGE_ANSWER = bytes(4_000_000)
START_TIME = 20.0
"""Seconds for the start of the process."""

CALLER_PATIENCE = 30.0
"""Seconds for which an ordinary caller repeats its request."""

ACT_TIME = 2.0
"""Longest time in seconds for a crowd to send what it sends before an ordinary caller comes."""

HELD_TIME = 20.0
"""Seconds for which the backend server holds requests at its slow path."""

_addresses = itertools.count(1)


class CrowdCase(unittest.IsolatedAsyncioTestCase):
    """Starts a store, a backend server and an instance with low limits."""

    memory_mb = 64
    """Memory of the machine, the bound for the process in MiB."""

    max_fds = 1_535
    """Descriptors of the machine."""

    FILE_FDS = 200
    """Descriptors of the machine that cannot be sockets."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.process = None
        self.store = Store()
        await self.store.start()
        self.backend = await asyncio.start_server(self._serve_backend, "127.0.0.1", 0)
        self.addCleanup(self.backend.close)
        self.received = []
        port = self.backend.sockets[0].getsockname()[1]
        spec = {"service": "app", "address": f"127.0.0.1:{port}", "zone": "dc-a", "slots": 999}
        self.store.put("servers", "s1", {**spec, "state": "ready", "born": int(time.time() * 1000)})
        route = {"name": "r", "host": "svc.example", "path_prefix": "/plain/", "kind": "safe"}
        route |= {"timeout_ms": 1000 * HELD_TIME, "service": "app", "max_attempts": 1}
        config = {"version": 1, "routes": [route], "services": [{"name": "app"}]}
        tenants = [{"name": "w", "api_keys": ["k1"]}]
        self.store.put("config", "main", {**config, "tenants": tenants})
        self.addAsyncCleanup(self.stop)

    async def _serve_backend(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                self.received.append(request)
                if "slow" in request.target:
                    await asyncio.sleep(HELD_TIME)
                body = LARGE_ANSWER if "large" in request.target else b"ok"
                headers = {SEAL: "s"}
                if REQUEST_ID in request.headers:
                    headers[REQUEST_ID] = request.headers[REQUEST_ID]
                writer.write(encode_response(200, headers, body))
                await writer.drain()
        except OSError:
            # The instance gave up the request.
            pass
        finally:
            writer.transport.abort()

    async def start(self):
        """Starts the process and waits until it serves an ordinary request."""
        number = next(_addresses)
        self.host = f"127.{os.getpid() % 250 + 1}.{100 + number % 100}.1"
        arguments, environment = self.write_settings()
        sockets = self.max_fds - self.FILE_FDS
        self.log = self.folder / f"log{number}"
        with self.log.open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                env={**os.environ, **environment},
                stdout=log,
                stderr=log,
                preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets)),
            )
        self.assertTrue(await self.is_served(START_TIME), "the process does not start")

    def write_settings(self):
        """Writes the settings file; returns the arguments and the environment of the process."""
        path = self.folder / "node.json"
        settings = {
            "node_name": "n1",
            "zone": "dc-a",
            "listen": {"front": f"{self.host}:{FRONT_PORT}", "ready": f"{self.host}:{READY_PORT}"},
            "port_range": [FEED_PORT, FEED_PORT + 9],
            "platform": {"address": f"127.0.0.1:{self.store.port}"},
            "bounds": {"grace_s": 8},
            "limits": {"memory_mb": self.memory_mb, "max_fds": self.max_fds},
        }
        path.write_text(json.dumps(settings))
        return [str(PROGRAM)], {"SAPPHIRELEDGE_NODE_FILE": str(path)}

    def ordinary_requests(self):
        """Lists the port, the bytes and a part of the response of each ordinary request."""
        request = (
            b"POST /plain/quick HTTP/1.1\r\nhost: svc.example\r\nauthorization: Token k1\r\n"
            b"x-sapphireledge-request-id: ordinary%d\r\ncontent-length: 3\r\n\r\nabc"
        )
        probe = b"GET /ready HTTP/1.1\r\nhost: x\r\n\r\n"
        return [
            (FRONT_PORT, request % next(_addresses), b" 200 "),
            (READY_PORT, probe, b" 200 "),
        ]

    async def stop(self):
        """Kills the process."""
        if self.process is not None:
            if self.process.returncode is None:
                self.process.kill()
            await self.process.wait()
            self.process = None

    async def ask(self, port, data):
        """Sends a request on a new connection; returns the first line, empty if there is none."""
        try:
            async with asyncio.timeout(5.0):
                reader, writer = await asyncio.open_connection(self.host, port)
                try:
                    writer.write(data)
                    return (await reader.read(1_024)).partition(b"\r\n")[0]
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError):
            return b""

    async def is_served(self, patience=CALLER_PATIENCE):
        """Whether all ordinary requests are answered, each in some attempt."""
        loop = asyncio.get_running_loop()
        asked = self.ordinary_requests()
        end = loop.time() + patience
        while asked and loop.time() < end and self.process.returncode is None:
            port, data, expected = asked[0]
            if expected in await self.ask(port, data):
                asked.pop(0)
            else:
                await asyncio.sleep(0.1)
        return not asked

    def memory(self):
        """Largest resident memory of the process in MiB since the last reset."""
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def reset_memory(self):
        """Resets the largest resident memory to the current one."""
        Path(f"/proc/{self.process.pid}/clear_refs").write_text("5")

    def descriptors(self):
        """Number of open descriptors of the process."""
        return len(list(Path(f"/proc/{self.process.pid}/fd").iterdir()))

    async def check_crowd(self, place, port, target, *manners):
        """Lets a crowd come, with an ordinary caller after it, and checks the process.

        Args:
            place: Description of the address.
            port: Port of the address.
            target: Request target.
            *manners: Pairs of a manner and the number of connections.
        """
        with self.subTest(place=place, manners=[manner.__name__ for manner, _ in manners]):
            if self.process is None:
                await self.start()
            self.reset_memory()
            crowd = Crowd((self.host, port))
            problems = []
            try:
                acts = [crowd.act(manner, n, target, ACT_TIME) for manner, n in manners]
                await asyncio.gather(*acts)
                descriptors = 0 if self.process.returncode is not None else self.descriptors()
                if not await self.is_served():
                    problems.append("an ordinary request was not answered")
                if self.process.returncode is not None:
                    problems.append(f"the process ended with {self.process.returncode}")
                else:
                    memory = self.memory()
                    descriptors = max(descriptors, self.descriptors())
                    if os.environ.get("CROWD_FIGURES"):
                        print(f"{place}: {memory:.0f} MiB, {descriptors} descriptors", flush=True)
                    if memory >= self.memory_bound:
                        problems.append(f"{memory:.0f} MiB of {self.memory_bound:.0f} used")
                    if descriptors >= self.descriptor_bound:
                        problems.append(f"{descriptors} descriptors open")
            finally:
                await crowd.close()
            if problems:
                # The next crowd finds a process without the traces of this one.
                await self.stop()
            self.assertEqual(problems, [])

    @property
    def memory_bound(self):
        """Memory in MiB that the process must stay under."""
        return self.memory_mb

    @property
    def descriptor_bound(self):
        """Descriptors that may be open: all but a sixteenth, which the process itself needs."""
        return (self.max_fds - self.FILE_FDS) * 15 // 16
