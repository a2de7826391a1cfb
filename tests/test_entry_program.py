"""Tests of the entry program as a separate process."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import unittest
from pathlib import Path

PROGRAM = Path(__file__).resolve().parent.parent / "src" / "sapphireledge_entry.py"


def free_port():
    with socket.create_server(("127.0.0.1", 0)) as server:
        return server.getsockname()[1]


def handles_sigterm(pid):
    """Returns whether a process has a handler for SIGTERM."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("SigCgt:"):
            return bool(int(line.split()[1], 16) >> (signal.SIGTERM - 1) & 1)
    return False


class EntryProgramTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "node.json"
        self.ready_port = free_port()
        # A separate loopback address, because the metrics port is fixed.
        self.host = f"127.{os.getpid() % 250 + 1}.99.1"

    def settings(self):
        return {
            "node_name": "n1",
            "zone": "dc-a",
            "listen": {"front": f"{self.host}:7100", "ready": f"{self.host}:{self.ready_port}"},
            "port_range": [7340, 7349],
            "platform": {"address": f"127.0.0.1:{free_port()}"},
            "bounds": {"grace_s": 8},
        }

    async def start(self, text):
        self.path.write_text(text)
        return await asyncio.create_subprocess_exec(
            sys.executable,
            str(PROGRAM),
            env={**os.environ, "SAPPHIRELEDGE_NODE_FILE": str(self.path)},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )

    async def test_invalid_settings_are_logged(self):
        """Guards against starting with invalid settings, and against an unclear reason."""
        process = await self.start(json.dumps({**self.settings(), "zone": 1}))
        out, _ = await process.communicate()
        self.assertEqual(process.returncode, 2)
        line = json.loads(out.splitlines()[0])
        self.assertEqual(line["event"], "settings_rejected")
        self.assertIn("zone", line["reason"])

    async def test_sigterm_during_startup(self):
        """Guards against an abnormal exit when SIGTERM arrives before the listeners are open."""
        for pause in (0.0, 0.05, 0.1, 0.2):
            process = await self.start(json.dumps(self.settings()))
            # Until the first statement has run, SIGTERM terminates the interpreter.
            while not handles_sigterm(process.pid):
                await asyncio.sleep(0.002)
            await asyncio.sleep(pause)
            process.send_signal(signal.SIGTERM)
            await process.communicate()
            self.assertEqual(process.returncode, 0)

    async def test_graceful_stop_without_store(self):
        """Guards against a hang during shutdown, and against reporting readiness too early."""
        process = await self.start(json.dumps(self.settings()))
        for _ in range(100):
            try:
                reader, writer = await asyncio.open_connection(self.host, self.ready_port)
                break
            except OSError:
                await asyncio.sleep(0.1)
        writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertIn(b"503", await reader.readline())
        writer.close()
        started = time.monotonic()
        process.send_signal(signal.SIGTERM)
        out, _ = await process.communicate()
        self.assertEqual(process.returncode, 0)
        self.assertLess(time.monotonic() - started, 8.0)
        events = [json.loads(line)["event"] for line in out.splitlines()]
        for name in ("started", "store_lost", "stopping", "stopped"):
            self.assertIn(name, events)


if __name__ == "__main__":
    unittest.main()
