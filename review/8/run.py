"""Many changes of a large configuration; see claim.txt."""

from __future__ import annotations

import asyncio
import os
import random
import sys
import tempfile
import traceback
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from fleet import (  # noqa: E402
    Answer,
    Client,
    Machine,
    Record,
    Runner,
    Store,
    find_network,
    is_built,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MACHINES = 3
CLIENTS = 5
"""Clients of each machine, each with one kept connection."""
ADDED_ROUTES = 350
ADDITIONS = 2
"""Times that the configuration grows, with the first versions that are written."""

STORMS = 21
STORM_CHANGES = 12
CHANGE_GAP = 0.33
"""Storms of 4.0 s, one after the other, and the time between their versions."""

FIRST_ROUTES = 17
KEYS = [f"key{number:017d}" for number in range(20)]


def build_config(version: int, rng: random.Random) -> dict:
    """Builds a configuration; each version has another time limit of one of the idle routes."""
    names = random.Random(1)

    def word() -> str:
        return "".join(names.choices("abcdefghijklmnopqrstuvwxyz0123456789", k=7))

    routes = []
    for number in range(FIRST_ROUTES + ADDED_ROUTES * min(version - 1, ADDITIONS)):
        routes.append(
            {
                "name": f"r-{word()}",
                "host": "ficu95.example" if number == 0 else f"{word()}.example",
                "path_prefix": "/book/" if number == 0 else f"/{word()}/",
                "kind": "unsafe",
                "timeout_ms": 1200,
                "goal_ms": 400,
                "priority": 2,
                "service": "booking-app",
                "max_attempts": 1,
                "anonymous": False,
                "sticky": False,
                "resumable": False,
            }
        )
    routes[rng.randrange(1, len(routes))]["timeout_ms"] = rng.randrange(1000, 1500)
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": "booking-app",
                "health_path": "/health",
                "max_conns": 110,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {"name": f"tenant{number}", "api_keys": KEYS[2 * number : 2 * number + 2]}
            for number in range(10)
        ],
    }


class Load:
    """Clients that book one after another, and what became of their requests."""

    def __init__(self, record: Record, runners: list[Runner]) -> None:
        self._record = record
        self._runners = runners
        self._count = 0
        self.served = 0
        self.lost: dict[str, list[str]] = {}
        """Requests that got no answer, by machine."""

    async def run_client(self, machine: Machine, key: str) -> None:
        client = Client(machine.front)
        while True:
            self._count += 1
            request_id = f"q{self._count:06d}"
            headers = {
                "Host": "ficu95.example",
                "X-Sapphireledge-Request-Id": request_id,
                "X-Sapphireledge-Deadline-Ms": "2500",
                "Authorization": f"Token {key}",
            }
            is_kept = client.is_kept
            try:
                answer = await client.send("POST", "/book/x", headers, b"booking", 4.0)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.2)
                continue
            self._note(machine, request_id, answer, is_kept)
            if answer.status != 200:
                await asyncio.sleep(0.2)

    def _note(self, machine: Machine, request_id: str, answer: Answer, is_kept: bool) -> None:
        has_run = any(request_id in runner.runs for runner in self._runners)
        if answer.complete:
            self.served += answer.status == 200
            self._record.write(f"{machine.name} answers {request_id} with {answer.status}")
        else:
            self._record.write(
                f"{machine.name} closes {request_id} without an answer;"
                f" passed on: {has_run}, kept connection: {is_kept}"
            )
            if has_run and is_kept:
                self.lost.setdefault(machine.name, []).append(request_id)


async def play(folder: Path) -> int:
    record = Record(HERE)
    network = find_network()
    store = Store()
    await store.start(f"{network}.100")
    runners = [Runner(store, record, "booking-app", f"i-{number}", "akl-a") for number in range(3)]
    for number, runner in enumerate(runners):
        await runner.start(f"{network}.{110 + number}")
    rng = random.Random(6)
    store.put("config", "main", build_config(1, rng))
    machines = [
        Machine(store, record, f"front-akl-a-{number}", "akl-a", f"{network}.{number}", folder)
        for number in range(1, MACHINES + 1)
    ]
    tasks = []
    try:
        for machine in machines:
            await machine.start()
        for machine in machines:
            if not await machine.wait_ready():
                record.write(f"{machine.name} is not ready")
                return 2
        load = Load(record, runners)
        for machine in machines:
            for number in range(CLIENTS):
                tasks.append(asyncio.create_task(load.run_client(machine, KEYS[number])))
        await asyncio.sleep(2.0)
        for version in range(2, 2 + STORMS * STORM_CHANGES):
            if TROUBLE:
                store.put("config", "main", build_config(version, rng))
            await asyncio.sleep(CHANGE_GAP)
            if version % 50 == 0:
                sizes = ", ".join(f"{machine.resident_mb():.0f}" for machine in machines)
                record.write(f"{version} versions written; memory of the processes: {sizes} MB")
        await asyncio.sleep(3.0)
        for machine in machines:
            record.write(
                f"{machine.name}: {machine.own_ends} ends by itself, peak {machine.peak_mb:.1f} MB"
            )
        record.write(f"served {load.served}; closed without an answer: {load.lost}")
        if load.served < 100:
            return 2
        is_broken = any(
            machine.own_ends and len(load.lost.get(machine.name, ())) > 3 for machine in machines
        )
        record.write("LOST is broken" if is_broken else "LOST holds")
        return 1 if is_broken else 0
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
