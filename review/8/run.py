"""The instance that reads the store for its data centre is cut off from it; see claim.txt."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
import time
import traceback
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from fleet import Client, Machine, Record, Runner, Store, find_network, is_built  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MACHINES = 4
CYCLES = 4
CUT_TIME = 5.5
"""Seconds for which the machine is cut off."""

STORM_TIME = 4.0
STORM_GAP = 0.33
CALM_TIME = 9.0
CONFIG_APPLY = 3.0
"""Seconds after the acknowledgement of a version from which on it is in force."""

IN_TOUCH_TIME = 4.0
"""Seconds before a request for which its machine has to be undisturbed."""

REQUEST_GAP = 0.05

LEAST_LEFT = 1.5
"""Seconds for which the other watches of the machine last when it is cut off."""


def build_config(version: int) -> dict:
    """Builds a configuration; each version moves the route to the other of two services."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-1",
                "host": "ficu95.example",
                "path_prefix": "/look/",
                "kind": "safe",
                "timeout_ms": 1200,
                "goal_ms": 400,
                "priority": 2,
                "service": find_service(version),
                "max_attempts": 2,
                "anonymous": False,
                "sticky": False,
                "resumable": False,
            }
        ],
        "services": [
            {"name": f"app-{number}", "health_path": "/health", "max_conns": 110}
            for number in (0, 1)
        ],
    }


def find_service(version: int) -> str:
    """Returns the service of the route in a version; it moves once per storm, with the first one."""
    return f"app-{version // 100 % 2}"


class Operator:
    """Writes versions; a storm of them begins with one that moves the route."""

    def __init__(self, store: Store, record: Record) -> None:
        self._store = store
        self._record = record
        self.version = 100
        self.moved_at = time.monotonic()
        """Time of the acknowledgement of the version that moved the route last."""

    def write(self, version: int) -> None:
        self._store.put("config", "main", build_config(version))
        if find_service(version) != find_service(self.version):
            self.moved_at = time.monotonic()
        self.version = version
        self._record.write(f"version {version} acknowledged, {find_service(version)}")

    async def play_storm(self) -> None:
        first = (self.version // 100 + 1) * 100
        for number in range(int(STORM_TIME / STORM_GAP)):
            self.write(first + number)
            await asyncio.sleep(STORM_GAP)


class Prober:
    """Sends lookups to one machine, and notes the service that ran them."""

    def __init__(
        self, machine: Machine, operator: Operator, record: Record, runners: list[Runner]
    ) -> None:
        self._machine = machine
        self._operator = operator
        self._record = record
        self._runners = runners
        self._count = 0
        self.disturbed_until = 0.0
        self.served = 0
        self.stale: list[str] = []

    async def run(self) -> None:
        client = Client(self._machine.front)
        while True:
            self._count += 1
            request_id = f"{self._machine.name}-{self._count}"
            headers = {
                "Host": "ficu95.example",
                "X-Sapphireledge-Request-Id": request_id,
                "X-Sapphireledge-Deadline-Ms": "2500",
            }
            sent_at = time.monotonic()
            wanted = find_service(self._operator.version)
            late = sent_at - self._operator.moved_at
            try:
                answer = await client.send("GET", "/look/x", headers, b"", 4.0)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.2)
                continue
            self.served += answer.status == 200
            for runner in self._runners:
                if request_id in runner.runs and runner.service != wanted:
                    self._note(request_id, runner.service, wanted, sent_at, late)
            await asyncio.sleep(REQUEST_GAP)

    def _note(
        self, request_id: str, service: str, wanted: str, sent_at: float, late: float
    ) -> None:
        is_in_touch = sent_at - self.disturbed_until >= IN_TOUCH_TIME
        if late > CONFIG_APPLY - 0.5:
            self._record.write(
                f"{request_id}, sent {late:.3f} s after the acknowledgement, was run by"
                f" {service} instead of {wanted}; machine in touch: {is_in_touch}"
            )
        if late > CONFIG_APPLY and is_in_touch:
            self.stale.append(request_id)


async def play(folder: Path) -> int:
    record = Record(HERE)
    network = find_network()
    store = Store()
    await store.start(f"{network}.100")
    runners = []
    for number in range(4):
        runner = Runner(store, record, f"app-{number % 2}", f"i-{number}", "akl-a")
        runner.work_s = 0.01
        runner.is_quiet = True
        await runner.start(f"{network}.{110 + number}")
        runners.append(runner)
    operator = Operator(store, record)
    operator.write(operator.version)
    machines = [
        Machine(store, record, f"front-akl-a-{number}", "akl-a", f"{network}.{number}", folder)
        for number in range(1, MACHINES + 1)
    ]
    probers = [Prober(machine, operator, record, runners) for machine in machines]
    tasks = []
    try:
        for number, machine in enumerate(machines):
            machine.store_address = await store.open_door(machine.name, f"{network}.{150 + number}")
            await machine.start()
        for machine in machines:
            if not await machine.wait_ready():
                record.write(f"{machine.name} is not ready")
                return 2
        tasks = [asyncio.create_task(prober.run()) for prober in probers]
        await asyncio.sleep(CALM_TIME)
        for _ in range(CYCLES):
            reader = await store.wait_for_watch("config", LEAST_LEFT)
            record.write(f"{reader} reads the configuration from the store")
            if TROUBLE:
                record.write(f"{reader} is cut off from the store")
                store.cut(reader)
                for prober, machine in zip(probers, machines, strict=True):
                    if machine.name == reader:
                        prober.disturbed_until = time.monotonic() + CUT_TIME
            storm = asyncio.create_task(operator.play_storm())
            await asyncio.sleep(CUT_TIME)
            store.heal()
            record.write("the cut ends")
            await storm
            await asyncio.sleep(CALM_TIME)
        stale = [request_id for prober in probers for request_id in prober.stale]
        served = sum(prober.served for prober in probers)
        record.write(f"served {served}; run by the old service too late: {len(stale)}")
        if served < 100:
            return 2
        record.write("CONFIG is broken" if stale else "CONFIG holds")
        return 1 if stale else 0
    finally:
        for task in tasks:
            task.cancel()
        for machine in machines:
            await machine.stop()


def main() -> int:
    if not is_built():
        return 2
    try:
        with tempfile.TemporaryDirectory() as folder:
            return asyncio.run(play(Path(folder)))
    except Exception:
        traceback.print_exc()
        return 2


if __name__ == "__main__":
    sys.exit(main())
