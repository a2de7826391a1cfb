"""Settings files change while machines start; see claim.txt."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import traceback
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from fleet import Machine, Record, Runner, Store, find_network, is_built  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MACHINES = 4
CHANGED = 2
"""Machines that are stopped and started, and whose settings files change: half of them."""

ROUNDS = 3
HUP_DELAY = 0.02
"""Seconds from the start of a process to the signal that its settings file has changed."""


def build_config() -> dict:
    """Builds a small configuration without keys."""
    return {
        "version": 1,
        "routes": [
            {
                "name": "r-1",
                "host": "ficu95.example",
                "path_prefix": "/book/",
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
        ],
        "services": [{"name": "booking-app", "health_path": "/health", "max_conns": 110}],
    }


class SettingsChanger:
    """Changes the settings file of a machine soon after its planned start."""

    def __init__(self) -> None:
        self._round = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def restart(self, machine: Machine) -> bool:
        """Stops and starts a machine as planned; returns whether it gets ready."""
        self._round += 1
        if TROUBLE:
            machine.on_start = self._on_planned_start
        await machine.restart()
        return await machine.wait_ready()

    def _on_planned_start(self, machine: Machine) -> None:
        machine.on_start = lambda machine: None
        task = asyncio.create_task(self._change(machine))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _change(self, machine: Machine) -> None:
        machine.write_settings(changed=self._round)
        await asyncio.sleep(HUP_DELAY)
        machine.signal(signal.SIGHUP)


async def play(folder: Path) -> int:
    record = Record(HERE)
    network = find_network()
    store = Store()
    await store.start(f"{network}.100")
    runner = Runner(store, record, "booking-app", "i-0", "akl-a")
    await runner.start(f"{network}.110")
    store.put("config", "main", build_config())
    machines = [
        Machine(store, record, f"front-akl-a-{number}", "akl-a", f"{network}.{number}", folder)
        for number in range(1, MACHINES + 1)
    ]
    changer = SettingsChanger()
    try:
        for machine in machines:
            await machine.start()
        for machine in machines:
            if not await machine.wait_ready():
                record.write(f"{machine.name} is not ready")
                return 2
        ready = []
        for _ in range(ROUNDS):
            for machine in machines[:CHANGED]:
                ready.append(await changer.restart(machine))
        if not all(ready):
            record.write("a machine did not get ready again")
            return 2
        for machine in machines:
            record.write(
                f"{machine.name}: {machine.starts} starts, {machine.own_ends} ends by itself"
            )
        ended = [machine for machine in machines if machine.own_ends >= 3]
        # On a tenth of the machines in use, two at least, three ends in the day.
        is_broken = len(ended) >= 2
        record.write("Fault: the day counts 0" if is_broken else "no fault")
        return 1 if is_broken else 0
    finally:
        for machine in machines:
            await machine.stop()


def main() -> int:
    if not is_built():
        return 2
    # Whoever runs this may ignore the signal, which processes inherit; a platform does not.
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    try:
        with tempfile.TemporaryDirectory() as folder:
            return asyncio.run(play(Path(folder)))
    except Exception:
        traceback.print_exc()
        return 2


if __name__ == "__main__":
    sys.exit(main())
