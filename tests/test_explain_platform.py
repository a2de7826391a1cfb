"""Tests of the command explain against a gateway, over a real operators' connection."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import tomllib
import unittest
from pathlib import Path
from unittest import mock

import msgspec
from gateway_case import HOST, GatewayCase, chunk, event, stream_head
from test_entry_program import PROGRAM, free_port
from test_explain_command import run

from sapphireledge.errors import ERROR_ANSWERS, ErrorKind
from sapphireledge.gateway import seconds_since_boot
from sapphireledge.gateway.engine_views import RECENT_DISPATCH_WINDOW
from sapphireledge.limits import CallerBudgets, CallerLedger
from sapphireledge.operator import GatewayOperatorServer
from sapphireledge.platform.node_settings import load_node_settings
from sapphireledge.platform.operator_settings import read_operator_settings

ROOT = Path(__file__).resolve().parent.parent
SECRET = "gateway-operators"
STREAM = ("--host", "svc.example", "--path", "/stream/a", "--workspace", "court")


async def stream(request, writer):
    writer.write(stream_head(request) + chunk(event(0)) + b"0\r\n\r\n")


class GatewayInterfaceTest(GatewayCase):
    """Guards against an interface that shows too much, sends something or serves too much."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.ledger = CallerLedger(CallerBudgets().metrics)
        self.server = GatewayOperatorServer(HOST, 0, SECRET, self.gateway, self.ledger)
        self.assertIsNone(await self.server.start())
        self.addAsyncCleanup(self.server.stop)
        await self.add("llm", stream)
        await self.add("llm", stream, "dc-b")
        confirming = asyncio.create_task(self.confirm_config())
        self.addCleanup(confirming.cancel)

    async def confirm_config(self):
        """Confirms the configuration like the feed, however long a command takes to start."""
        while True:
            self.gateway.config.confirm(seconds_since_boot())
            await asyncio.sleep(0.5)

    async def run_command(self, *arguments, secret=SECRET):
        return await asyncio.to_thread(run, f"{HOST}:{self.server.port}", *arguments, secret=secret)

    async def explain(self, *arguments):
        result = await self.run_command("--output", "json", "explain", *arguments)
        self.assertEqual(result.returncode, 0, result.stderr)
        return msgspec.json.decode(result.stdout)

    async def test_stream_with_known_and_fresh_reports(self):
        await self.call("/stream/a")
        # Until then the stream counts as one that the reports do not show yet.
        await asyncio.sleep(RECENT_DISPATCH_WINDOW)
        self.servers[0].load = {"waiting": 9, "running": 9, "runs": []}
        found = await self.explain(*STREAM, "--prompt-tokens", "900", "--part", "p-1=900")
        self.assertEqual((found["outcome"], found["route"]), ("sent", "r-stream"))
        is_old = max(server["report_age"] for server in found["servers"]) > 1.0
        self.assertEqual((found["servers"][0]["name"], len(found["unknown"])), ("s0", is_old))
        self.assertGreater(found["servers"][0]["report_age"], 0.0)
        fresh = await self.explain(*STREAM, "--prompt-tokens", "900", "--fresh")
        self.assertEqual(fresh["servers"][0]["name"], "s1")
        self.assertEqual(sum(len(server.received) for server in self.servers), 1)

    async def test_neither_key_nor_parts_are_shown(self):
        result = await self.run_command("explain", *STREAM, "--part", "private-part=600")
        self.assertEqual(result.returncode, 0, result.stderr)
        for private in ("private-part", "k1"):
            self.assertNotIn(private, result.stdout)
        self.assertIn("quarantine", result.stdout)

    async def test_refusals_status_and_other_calls(self):
        found = await self.explain("--host", "other.example", "--path", "/", "--workspace", "court")
        self.assertEqual((found["outcome"], found["error_kind"]), ("refused", "not_found"))
        self.assertEqual(found["checks"][-1]["name"], "route")
        found = await self.explain(*STREAM, "--deadline", "0.1", "--last-event", "3")
        self.assertEqual(found["checks"][-1]["name"], "time")
        self.assertIn("resumed", found["unknown"][0])
        cases = (
            (ErrorKind.UNAUTHENTICATED, "wrong", ("explain", *STREAM)),
            (ErrorKind.INVALID_REQUEST, SECRET, ("explain", "--path", "/stream/a")),
            (ErrorKind.FORBIDDEN, SECRET, ("drain",)),
            (ErrorKind.FORBIDDEN, SECRET, ("quarantine", "list")),
        )
        for kind, secret, arguments in cases:
            with self.subTest(kind=kind, arguments=arguments):
                result = await self.run_command(*arguments, secret=secret)
                self.assertEqual(result.returncode, ERROR_ANSWERS[kind].exit_code, result.stderr)
        status = await self.run_command("status")
        self.assertIn("e1", status.stdout)
        self.assertFalse(self.gateway.context.is_stopping())

    async def test_connections_are_limited(self):
        limit = self.ledger.limits.connections
        writers = []
        for _ in range(limit + 3):
            writers.append((await asyncio.open_connection(HOST, self.server.port))[1])
        await asyncio.sleep(0.1)
        self.assertEqual(self.ledger.connections, limit)
        found = await self.explain(*STREAM)
        self.assertEqual(found["outcome"], "sent")
        for writer in writers:
            writer.close()


class SettingsTest(unittest.TestCase):
    """Guards against an interface that is open without being asked for."""

    def load(self, environment, **changes):
        file = {
            "node_name": "n1",
            "zone": "dc-a",
            "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2", **changes},
            "port_range": [3, 4],
            "platform": {"address": "127.0.0.1:5"},
        }
        with tempfile.TemporaryDirectory() as folder, mock.patch.dict(os.environ, environment):
            path = Path(folder, "node.json")
            path.write_text(json.dumps(file))
            return load_node_settings(path)

    def read(self, environment, **changes):
        address = self.load(environment, **changes).operator_address
        with mock.patch.dict(os.environ, environment):
            return read_operator_settings(address)

    def test_faults_of_operators_leave_the_settings_of_callers(self):
        given = {"SAPPHIRELEDGE_OPERATOR_SECRET_FILE": "/absent/secret"}
        for control in ("nonsense", 7, None, ["x"]):
            with self.subTest(control=control):
                self.assertEqual(self.load(given, control=control).gateway.listen_port, 1)

    def test_off_by_default_and_addresses(self):
        self.assertIsNone(self.read({}))
        given = {"SAPPHIRELEDGE_OPERATOR_SECRET": "s"}
        found = self.read(given)
        self.assertEqual((found.host, found.port, found.secret), ("127.0.0.1", 4, "s"))
        found = self.read(given, control="127.0.0.9:77")
        self.assertEqual((found.host, found.port), ("127.0.0.9", 77))

    def test_secret_file(self):
        with tempfile.NamedTemporaryFile("w") as file:
            given = {"SAPPHIRELEDGE_OPERATOR_SECRET_FILE": file.name}
            with self.assertRaises(ValueError):
                self.read(given)
            self.load(given)
            file.write("from-file\n")
            file.flush()
            self.assertEqual(self.read(given).secret, "from-file")


IMPORT = """
import sys

class Absent:
    def find_spec(self, name, path=None, target=None):
        if any(f"{name}.".startswith(f"{each}.") for each in sys.argv[1:]):
            raise ImportError(f"{name} is not in deploy/requirements.txt")

sys.meta_path.insert(0, Absent())
import sapphireledge.operator
"""

MODULES = {
    "hdrhistogram": "hdrh",
    "opentelemetry-api": "opentelemetry",
    "opentelemetry-sdk": "opentelemetry.sdk",
    "prometheus-client": "prometheus_client",
}


class RequirementsTest(unittest.TestCase):
    """Guards against an interface whose packages are not installed on the users' machines."""

    def test_interface_needs_only_what_is_installed(self):
        declared = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]["dependencies"]
        installed = (ROOT / "deploy" / "requirements.txt").read_text().split()
        self.assertLessEqual(set(installed), set(declared))
        names = [re.split("[~>=]", each)[0] for each in declared if each not in installed]
        absent = [MODULES.get(name, name) for name in names]
        environment = {**os.environ, "PYTHONPATH": str(ROOT / "src")}
        result = subprocess.run(
            [sys.executable, "-c", IMPORT, *absent], env=environment, capture_output=True, text=True
        )
        self.assertEqual(result.returncode, 0, result.stderr)


def write_settings(folder, host):
    listen = {"front": f"{host}:7100", "ready": f"{host}:7101", "control": f"{host}:7102"}
    settings = {
        "node_name": "n1",
        "zone": "dc-a",
        "listen": listen,
        "port_range": [7340, 7349],
        "platform": {"address": f"127.0.0.1:{free_port()}"},
    }
    path = Path(folder, "node.json")
    path.write_text(json.dumps(settings))
    return str(path)


class ProgramTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a program that does not serve what was switched on."""

    async def test_program_without_its_secret_file_serves_callers(self):
        host = f"127.{os.getpid() % 250 + 1}.98.2"
        with tempfile.TemporaryDirectory() as folder:
            environment = {
                "SAPPHIRELEDGE_NODE_FILE": write_settings(folder, host),
                "SAPPHIRELEDGE_OPERATOR_SECRET_FILE": str(Path(folder, "absent")),
            }
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(PROGRAM),
                env={**os.environ, **environment},
                stdout=asyncio.subprocess.PIPE,
            )
            try:
                line = await asyncio.wait_for(process.stdout.readline(), 20.0)
                self.assertIn(b"operators_unavailable", line)
                async with asyncio.timeout(20.0):
                    while process.returncode is None:
                        try:
                            _, writer = await asyncio.open_connection(host, 7100)
                            break
                        except ConnectionRefusedError:
                            await asyncio.sleep(0.05)
                self.assertIsNone(process.returncode)
                writer.close()
            finally:
                if process.returncode is None:
                    process.send_signal(signal.SIGTERM)
                await process.communicate()

    async def test_program_without_a_store_explains_that_it_has_no_configuration(self):
        host = f"127.{os.getpid() % 250 + 1}.98.1"
        with tempfile.TemporaryDirectory() as folder:
            environment = {
                "SAPPHIRELEDGE_NODE_FILE": write_settings(folder, host),
                "SAPPHIRELEDGE_OPERATOR_SECRET": SECRET,
            }
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(PROGRAM),
                env={**os.environ, **environment},
                stdout=asyncio.subprocess.PIPE,
            )
            try:
                while b"operators_served" not in await process.stdout.readline():
                    pass
                result = await asyncio.to_thread(
                    run, f"{host}:7102", "explain", *STREAM, secret=SECRET
                )
            finally:
                process.send_signal(signal.SIGTERM)
                await process.communicate()
        self.assertEqual(result.returncode, 0, result.stderr)
        self.assertIn("not_configured", result.stdout)


if __name__ == "__main__":
    unittest.main()
