"""Small fleet of real processes on loopback for the demo, the tests and the benchmarks."""

from __future__ import annotations

import os
import random
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
from thriftpy2.rpc import make_client

from sapphireledge.rpc import load_schema

__all__ = ["EngineSpec", "EntrySpec", "LocalFleet", "ServiceSpec"]

START_LIMIT = 20.0
"""Timeout for the start of a process, in seconds."""

STOP_LIMIT = 5.0
"""Timeout for the exit of a process after it was signalled, in seconds."""

PORTS = (15_000, 32_000)
"""Range from which the ports of the fleet are drawn.

It lies below the system's ephemeral range: a port inside that range could be taken by an outgoing
connection before the intended process binds it.
"""

RESERVATION_PORT = 14_999
"""Port that a fleet binds at its loopback address for as long as it uses the address."""

SECRET = "local-fleet"
"""Shared secret of the fleet."""

DEFAULT_DECLARATIONS: tuple[tuple[str, dict[str, Any]], ...] = (
    (
        "rank",
        {"name": "urgent", "order": 0, "target": 2.0, "worth": 10, "share": 0.5, "reserve": 0.15},
    ),
    ("rank", {"name": "standard", "order": 1, "target": 10.0, "worth": 3, "share": 0.3}),
    ("rank", {"name": "background", "order": 2, "target": 60.0, "share": 0.1, "late": True}),
    ("workspace", {"name": "default"}),
    ("workspace", {"name": "registry"}),
    ("workspace", {"name": "advocates"}),
    ("service", {"name": "booking"}),
    ("deployment", {"name": "drafting", "model": "drafter", "version": "v1"}),
)
"""Declarations applied by default."""


@dataclass(frozen=True)
class EntrySpec:
    """One entry instance; `extra` is merged into its settings by section."""

    name: str
    data_centre: str = "akl-a"
    region: str = "akl"
    extra: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True)
class EngineSpec:
    """One engine stand-in; `options` are further command-line arguments."""

    name: str
    data_centre: str = "akl-a"
    region: str = "akl"
    options: tuple[str, ...] = ()


@dataclass(frozen=True)
class ServiceSpec:
    """One stand-in for a plain service."""

    name: str
    service: str = "booking"
    data_centre: str = "akl-a"
    region: str = "akl"


@dataclass
class _Process:
    """A started process and its row of the instance list."""

    popen: subprocess.Popen[bytes]
    address: str
    instance_row: dict[str, str] | None = None


class LocalFleet:
    """Starts a fleet, injects faults and stops it; use it as a context manager."""

    def __init__(
        self,
        folder: Path,
        entries: tuple[EntrySpec, ...],
        engines: tuple[EngineSpec, ...],
        services: tuple[ServiceSpec, ...] = (),
        declarations: tuple[tuple[str, dict[str, Any]], ...] = DEFAULT_DECLARATIONS,
    ) -> None:
        self.folder = folder
        self.entries = entries
        self.engines = engines
        self.services = services
        self.declarations = declarations
        self.processes: dict[str, _Process] = {}
        self.callers: dict[str, str] = {}
        self.operators: dict[str, str] = {}
        self.platform_url = ""
        self.host = ""
        self._reservation: socket.socket | None = None
        self._drawn_ports: set[int] = set()
        self._entry_files: dict[str, Path] = {}
        self._states: dict[str, str] = {}

    def __enter__(self) -> LocalFleet:
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def start(self) -> None:
        """Starts every process and waits until the entries are ready."""
        self.reserve_host()
        self.start_platform()
        for engine in self.engines:
            self.start_engine(engine)
        for service in self.services:
            self.start_service(service)
        for entry in self.entries:
            self._write_entry_settings(entry)
            self.start_entry(entry.name, wait=False)
        for backend in (*self.engines, *self.services):
            self.wait_port(backend.name, self.processes[backend.name].address)
        self.publish_instances()
        if self.declarations and self.entries:
            self.wait_port(self.entries[0].name, self.operators[self.entries[0].name])
            self.declare(self.declarations)
        for entry in self.entries:
            self.wait_ready(entry.name)

    def reserve_host(self) -> None:
        """Reserves a loopback address for the ports of this fleet.

        Fleets that run at the same time, also in other processes, have different addresses, so a
        process of one is never reached through a port that another has drawn or used before.
        """
        if self._reservation is None:
            self._reservation = reserve_loopback_address()
            self.host = self._reservation.getsockname()[0]

    def free_port(self) -> int:
        """Finds a free TCP port that no other process of this fleet has been given.

        A process binds its ports only some time after they were drawn.
        """
        while (port := free_port(self.host)) in self._drawn_ports:
            pass
        self._drawn_ports.add(port)
        return port

    def stop(self) -> None:
        """Kills every process that this fleet started."""
        for process in self.processes.values():
            if process.popen.poll() is None:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.kill()
        for process in self.processes.values():
            process.popen.wait(STOP_LIMIT)
        self.processes.clear()
        if self._reservation is not None:
            self._reservation.close()
            self._reservation = None

    def start_platform(self, port: int | None = None) -> None:
        """Starts the platform stand-in."""
        port = port or self.free_port()
        self._spawn("platform", "sapphireledge_standins.platform_server", port, [])
        self.platform_url = f"http://{self.host}:{port}"
        self.wait_port("platform", f"{self.host}:{port}")

    def start_engine(self, engine: EngineSpec, port: int | None = None) -> None:
        """Starts an engine stand-in."""
        port = port or self.free_port()
        options = ["--name", engine.name, "--data-centre", engine.data_centre]
        options += ["--region", engine.region, *engine.options]
        process = self._spawn(engine.name, "sapphireledge_standins.engine_server", port, options)
        process.instance_row = _instance_row(engine, "engine", f"{self.host}:{port}", "drafting")

    def start_service(self, service: ServiceSpec, port: int | None = None) -> None:
        """Starts a stand-in for a plain service."""
        port = port or self.free_port()
        process = self._spawn(service.name, "sapphireledge_standins.service_server", port, [])
        process.instance_row = _instance_row(
            service, "service", f"{self.host}:{port}", service.service
        )

    def start_entry(self, name: str, wait: bool = True) -> None:
        """Starts or restarts an entry instance with its settings file."""
        entry = next(entry for entry in self.entries if entry.name == name)
        command = [sys.executable, "-m", "sapphireledge.daemon"]
        command += ["--config", str(self._entry_files[name])]
        cfg = msgspec.json.decode(self._entry_files[name].read_bytes())
        address = f"{self.host}:{cfg['peer_address']['port']}"
        process = self._popen(name, command, address)
        process.instance_row = _instance_row(entry, "entry", address, "")
        if wait:
            self.wait_ready(name)

    def kill(self, name: str) -> None:
        """Kills a process and waits for its exit."""
        process = self.processes[name]
        process.popen.kill()
        process.popen.wait(STOP_LIMIT)

    def terminate(self, name: str) -> None:
        """Requests a graceful stop of a process and returns immediately."""
        self.processes[name].popen.send_signal(signal.SIGTERM)

    def wait_exit(self, name: str, limit: float) -> int:
        """Waits for a process to exit and returns its exit code."""
        return self.processes[name].popen.wait(limit)

    def pause(self, name: str) -> None:
        """Suspends a process with SIGSTOP."""
        self.processes[name].popen.send_signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resumes a suspended process with SIGCONT."""
        self.processes[name].popen.send_signal(signal.SIGCONT)

    def set_state(self, name: str, state: str) -> None:
        """Marks an instance as live or leaving in the instance list."""
        self._states[name] = state
        self.publish_instances()

    def publish_instances(self) -> None:
        """Sends the instance list to the platform stand-in."""
        rows = []
        for name, process in self.processes.items():
            if process.instance_row is not None:
                rows.append({**process.instance_row, "state": self._states.get(name, "live")})
        self.admin(self.platform_url, "PUT", "/admin/instances", rows)

    def faults(self, name: str, **faults: Any) -> Any:
        """Sets the faults of a stand-in; without arguments, clears them."""
        url = self.platform_url if name == "platform" else self.url(name)
        return self.admin(url, "PUT", "/admin/faults", faults)

    def counts(self, name: str) -> Any:
        """Reads the counters of a stand-in."""
        url = self.platform_url if name == "platform" else self.url(name)
        return self.admin(url, "GET", "/admin/counts")

    def url(self, name: str) -> str:
        """Returns the base URL of a backend server or of an entry's caller interface."""
        if name in self.callers:
            return self.callers[name]
        return f"http://{self.processes[name].address}"

    @staticmethod
    def admin(url: str, method: str, path: str, body: Any = None) -> Any:
        """Sends an HTTP request with a JSON body and returns the decoded response body."""
        data = None if body is None else msgspec.json.encode(body)
        request = urllib.request.Request(url + path, data=data, method=method)
        request.add_header("Content-Type", "application/json")
        with urllib.request.urlopen(request, timeout=10) as response:
            content = response.read()
        return msgspec.json.decode(content) if content else None

    def operator(self, entry: str) -> Any:
        """Opens an authenticated operator connection, which the caller must close."""
        host, _, port = self.operators[entry].rpartition(":")
        client = make_client(load_schema("operator").Operator, host, int(port), timeout=20_000)
        client.hello(SECRET, "local-fleet")
        return client

    def declare(self, declarations: tuple[tuple[str, dict[str, Any]], ...]) -> int:
        """Applies declarations through the first entry; returns the highest version."""
        schema = load_schema("operator")
        client = self.operator(self.entries[0].name)
        highest = 0
        try:
            for kind, spec in declarations:
                text = msgspec.json.encode(spec).decode()
                (declared,) = [
                    schema.Declaration(kind=kind, name=spec["name"], spec=text, version=0)
                ]
                for entry in client.diff([declared]):
                    change = schema.Change(
                        operation_id=os.urandom(16).hex(),
                        kind=kind,
                        name=spec["name"],
                        spec=text,
                        base_version=entry.version,
                        deleted=False,
                    )
                    author = schema.Author(who="local-fleet", why="start")
                    highest = max(highest, client.apply(change, author).version)
        finally:
            client.close()
        return highest

    def wait_ready(self, name: str, limit: float = START_LIMIT) -> None:
        """Waits until an entry reports readiness."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            self._check_alive(name)
            try:
                self.admin(self.callers[name], "GET", "/readyz")
                return
            except (urllib.error.URLError, OSError):
                time.sleep(0.05)
        raise TimeoutError(f"{name} is not ready after {limit} s; log: {self.log_path(name)}")

    def wait_port(self, name: str, address: str, limit: float = START_LIMIT) -> None:
        """Waits until a port of a process accepts connections."""
        host, _, port = address.rpartition(":")
        end = time.monotonic() + limit
        while time.monotonic() < end:
            self._check_alive(name)
            try:
                socket.create_connection((host, int(port)), timeout=1).close()
                return
            except OSError:
                time.sleep(0.02)
        raise TimeoutError(f"{name} at {address} does not accept connections after {limit} s")

    def log_path(self, name: str) -> Path:
        """Returns the file with the standard output and error of a process."""
        return self.folder / f"{name}.log"

    def describe(self) -> str:
        """Describes the processes with their states and the ends of their logs, for a failure."""
        parts = []
        for name, process in self.processes.items():
            try:
                fields = Path(f"/proc/{process.popen.pid}/stat").read_text(encoding="utf-8")
                state = fields.rpartition(")")[2].split()[0]
            except OSError:
                state = f"exited with {process.popen.poll()}"
            tail = self.log_path(name).read_text(encoding="utf-8", errors="replace")[-1500:]
            parts.append(f"{name} ({process.address}), state {state}:\n{tail}")
        return "\n".join(parts)

    def _check_alive(self, name: str) -> None:
        """Raises RuntimeError if a process has exited."""
        code = self.processes[name].popen.poll()
        if code is not None:
            tail = self.log_path(name).read_text(encoding="utf-8")[-2000:]
            raise RuntimeError(f"{name} exited with code {code}:\n{tail}")

    def _write_entry_settings(self, entry: EntrySpec) -> None:
        """Writes the settings file of an entry."""
        caller, peer, operator = self.free_port(), self.free_port(), self.free_port()
        cfg: dict[str, Any] = {
            "instance": entry.name,
            "data_centre": entry.data_centre,
            "region": entry.region,
            "caller_address": {"host": self.host, "port": caller},
            "peer_address": {"host": self.host, "port": peer},
            "operator_address": {"host": self.host, "port": operator},
            "platform": {"url": self.platform_url},
            "fleet_secret": SECRET,
            "lifecycle": {"balancer_delay": 0.2},
            "telemetry": {"trace_file": str(self.folder / f"{entry.name}.trace.jsonl")},
        }
        for section, values in entry.extra.items():
            cfg[section] = {**cfg.get(section, {}), **values}
        path = self.folder / f"{entry.name}.json"
        path.write_bytes(msgspec.json.format(msgspec.json.encode(cfg)))
        self._entry_files[entry.name] = path
        self.callers[entry.name] = f"http://{self.host}:{caller}"
        self.operators[entry.name] = f"{self.host}:{operator}"

    def _spawn(self, name: str, module: str, port: int, options: list[str]) -> _Process:
        """Starts a stand-in module on a port."""
        address = ["--host", self.host, "--port", str(port)]
        command = [sys.executable, "-m", module, *address, *options]
        return self._popen(name, command, f"{self.host}:{port}")

    def _popen(self, name: str, command: list[str], address: str) -> _Process:
        """Starts a process with its output in a log file."""
        with self.log_path(name).open("ab") as log:
            # The kernel sends SIGHUP to a process group with a stopped member if the shell that
            # started this program ends; a session of its own has no shell.
            popen = subprocess.Popen(
                command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )
        process = _Process(popen, address)
        self.processes[name] = process
        return process


def _instance_row(spec: Any, kind: str, address: str, role: str) -> dict[str, str]:
    """Builds the row of the instance list, except for the state."""
    return {
        "name": spec.name,
        "kind": kind,
        "address": address,
        "data_centre": spec.data_centre,
        "region": spec.region,
        "role": role,
    }


def reserve_loopback_address() -> socket.socket:
    """Reserves a random address of 127.0.0.0/8 until the returned socket is closed."""
    draw = random.SystemRandom().randrange
    while True:
        sock = socket.socket()
        try:
            sock.bind((f"127.{draw(1, 255)}.{draw(1, 255)}.{draw(1, 255)}", RESERVATION_PORT))
        except OSError:
            sock.close()
            continue
        return sock


def free_port(host: str = "127.0.0.1") -> int:
    """Finds a free TCP port at an address."""
    while True:
        port = random.SystemRandom().randrange(*PORTS)
        with socket.socket() as sock:
            try:
                sock.bind((host, port))
            except OSError:
                continue
            return port
