"""Tests that no signal of the platform ends a process while it starts or stops."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import unittest
from pathlib import Path

from devtools.entry_program import ROOT, build_launcher, read_run_command
from sapphireledge.process_signals import ProcessSignals

HANDLED = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)
LIMIT = 60.0
"""Seconds after which a test gives up; a signal that ends the process shows at once."""

FLOOD_PAUSE = 0.001


def setUpModule():
    global launcher_folder
    folder = tempfile.TemporaryDirectory()
    unittest.addModuleCleanup(folder.cleanup)
    launcher_folder = Path(folder.name)
    build_launcher(launcher_folder)
    for number in HANDLED:
        # What a shell or `nohup` lets this process ignore, its children would ignore, too.
        if signal.getsignal(number) is signal.SIG_IGN:
            unittest.addModuleCleanup(signal.signal, number, signal.signal(number, signal.SIG_DFL))


def read_signal_sets(pid):
    """Returns the bit masks of the signals that a process blocks, ignores and catches."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    fields = dict(line.split(":", 1) for line in lines)
    return [int(fields[name], 16) for name in ("SigBlk", "SigIgn", "SigCgt")]


def survives(pid, number):
    """Returns whether a signal now would not end the process by its default action."""
    return any(mask >> (number - 1) & 1 for mask in read_signal_sets(pid))


def free_port(host="127.0.0.1"):
    with socket.create_server((host, 0)) as server:
        return server.getsockname()[1]


class LaunchCase(unittest.TestCase):
    """Starts a program with the launcher of the deploy file."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.host = f"127.{os.getpid() % 250 + 1}.98.{os.getpid() // 250 % 250 + 1}"

    def start(self, command, **env):
        output = self.enterContext(tempfile.TemporaryFile())
        process = subprocess.Popen(
            command,
            cwd=ROOT,
            env={**os.environ, **env},
            stdout=output,
            stderr=subprocess.STDOUT,
            start_new_session=True,
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        process.output = output
        return process

    def wait_until(self, check, process):
        give_up_at = time.monotonic() + LIMIT
        while not check():
            self.assertIsNone(process.poll(), self.read_output(process))
            self.assertLess(time.monotonic(), give_up_at)

    def wait_protected(self, process, number):
        """Waits until the launcher has reached its first statement."""
        self.wait_until(lambda: survives(process.pid, number), process)

    def flood(self, process, number, is_over):
        """Sends a signal without end until a condition holds."""
        give_up_at = time.monotonic() + LIMIT
        while not is_over():
            self.assertLess(time.monotonic(), give_up_at)
            process.send_signal(number)
            time.sleep(FLOOD_PAUSE)

    def accepts(self, port):
        with socket.socket() as sock:
            return sock.connect_ex((self.host, port)) == 0

    def read_output(self, process):
        process.output.seek(0)
        return process.output.read().decode()

    def check_flooded_life(self, command, port, **env):
        """Sends SIGHUP at every moment from the launcher's first statement to the exit."""
        process = self.start(command, **env)
        self.wait_protected(process, signal.SIGHUP)
        self.flood(
            process,
            signal.SIGHUP,
            lambda: process.poll() is not None or self.accepts(port),
        )
        self.assertIsNone(process.returncode, self.read_output(process))
        process.send_signal(signal.SIGTERM)
        self.flood(process, signal.SIGHUP, lambda: process.poll() is not None)
        self.assertEqual(process.returncode, 0, self.read_output(process))
        return process

    def check_stop_during_start(self, command, number, **env):
        """Sends a stop signal before the interpreter has installed any handler."""
        process = self.start(command, **env)
        self.wait_protected(process, number)
        process.send_signal(number)
        self.assertEqual(process.wait(LIMIT), 0, self.read_output(process))


class LauncherTest(LaunchCase):
    def test_first_statement_runs_with_blocked_signals(self):
        """Guards against a signal that ends the interpreter before the program's handlers."""
        launcher = read_run_command(launcher_folder)[0]
        code = "import signal; print(sorted(signal.pthread_sigmask(signal.SIG_BLOCK, ())))"
        process = self.start([launcher, "-c", code])
        self.assertEqual(process.wait(LIMIT), 0)
        self.assertEqual(self.read_output(process).strip(), str(sorted(HANDLED)))


class EntrySignalTest(LaunchCase):
    """The program of the users' platform."""

    def setUp(self):
        super().setUp()
        self.path = self.folder / "node.json"
        self.ready_port = free_port(self.host)
        self.write_settings(self.ready_port)
        self.command = read_run_command(launcher_folder)
        self.env = {"SAPPHIRELEDGE_NODE_FILE": str(self.path)}

    def write_settings(self, ready_port):
        settings = {
            "node_name": "n1",
            "zone": "dc-a",
            "listen": {"front": f"{self.host}:7100", "ready": f"{self.host}:{ready_port}"},
            "port_range": [7340, 7349],
            "platform": {"address": f"127.0.0.1:{free_port()}"},
            "bounds": {"grace_s": 8},
        }
        partial = self.path.with_suffix(".new")
        partial.write_text(json.dumps(settings))
        partial.rename(self.path)

    def test_hangup_at_every_moment(self):
        """Guards against a SIGHUP that ends a process while it starts or stops."""
        self.check_flooded_life(self.command, self.ready_port, **self.env)

    def test_stop_signals_before_the_first_statement(self):
        """Guards against an exit by the signal when a stop meets the interpreter's start."""
        for number in (signal.SIGTERM, signal.SIGINT):
            with self.subTest(number):
                self.check_stop_during_start(self.command, number, **self.env)

    def test_settings_that_change_while_the_interpreter_starts(self):
        """Guards against a start with settings that were replaced before they were read."""
        process = self.start(self.command, **self.env)
        self.wait_protected(process, signal.SIGHUP)
        ready_port = free_port(self.host)
        self.write_settings(ready_port)
        process.send_signal(signal.SIGHUP)
        self.wait_until(lambda: self.accepts(ready_port), process)


class DaemonSignalTest(LaunchCase):
    """The daemon of the own interface."""

    def setUp(self):
        super().setUp()
        self.port = free_port(self.host)
        settings = {
            "instance": "e1",
            "data_centre": "dc-a",
            "region": "r",
            "caller_address": {"host": self.host, "port": self.port},
            "peer_address": {"host": self.host, "port": free_port(self.host)},
            "operator_address": {"host": self.host, "port": free_port(self.host)},
            "platform": {"url": f"http://127.0.0.1:{free_port()}"},
            "fleet_secret": "0123456789abcdef0123456789abcdef",
        }
        path = self.folder / "entry.json"
        path.write_text(json.dumps(settings))
        launcher = read_run_command(launcher_folder)[0]
        self.command = [launcher, "-m", "sapphireledge.daemon", "--config", str(path)]

    def test_hangup_at_every_moment(self):
        """Guards against a SIGHUP that ends the daemon, also one that runs undisturbed."""
        process = self.check_flooded_life(self.command, self.port)
        self.assertIn("settings_not_reloaded", self.read_output(process))

    def test_stop_signals_before_the_first_statement(self):
        """Guards against an exit by the signal when a stop meets the interpreter's start."""
        for number in (signal.SIGTERM, signal.SIGINT):
            with self.subTest(number):
                self.check_stop_during_start(self.command, number)


class ProcessSignalsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        earlier = {number: signal.getsignal(number) for number in HANDLED}
        for number, handler in earlier.items():
            self.addCleanup(signal.signal, number, handler)
        self.signals = ProcessSignals()
        self.signals.install()
        self.received = []
        self.arrived = asyncio.Event()

    def actions(self):
        return {number: lambda number=number: self.receive(number) for number in HANDLED}

    def receive(self, number):
        self.received.append(number)
        self.arrived.set()

    async def test_earlier_signals_are_delivered_once(self):
        """Guards against settings that change after they were read and stay out of force."""
        os.kill(os.getpid(), signal.SIGHUP)
        os.kill(os.getpid(), signal.SIGHUP)
        self.assertFalse(self.signals.is_stop_requested)
        with self.signals.delivered_to(asyncio.get_running_loop(), self.actions()):
            await self.arrived.wait()
        self.assertEqual(self.received, [signal.SIGHUP])

    async def test_signal_wakes_a_sleeping_event_loop(self):
        """Guards against a stop that begins only with the next timer."""
        with self.signals.delivered_to(asyncio.get_running_loop(), self.actions()):
            sender = await asyncio.create_subprocess_exec("kill", "-TERM", str(os.getpid()))
            await self.arrived.wait()
            await sender.wait()
        self.assertEqual(self.received, [signal.SIGTERM])

    async def test_signals_after_the_delivery_are_recorded(self):
        """Guards against an exception of a handler whose event loop has ended."""
        with self.signals.delivered_to(asyncio.get_running_loop(), self.actions()):
            pass
        os.kill(os.getpid(), signal.SIGTERM)
        self.assertTrue(self.signals.is_stop_requested)
        self.assertEqual(self.received, [])


if __name__ == "__main__":
    unittest.main()
