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
MACHINES = 3
CHANGED = 2
"""Machines whose settings files change: 0.6 of the machines, rounded up."""

CHANGES = 5
"""Changes of the settings file of each of them."""

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
    """Changes the settings file of a machine soon after its process has started."""

    def __init__(self) -> None:
        self._changes: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def on_start(self, machine: Machine) -> None:
        done = self._changes.get(machine.name, 0)
        if TROUBLE and done < CHANGES:
            self._changes[machine.name] = done + 1
            task = asyncio.create_task(self._change(machine, done + 1))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _change(self, machine: Machine, number: int) -> None:
        machine.write_settings(changed=number)
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
        for machine in machines[:CHANGED]:
            machine.on_start = changer.on_start
        for machine in machines:
            await machine.start()
        await asyncio.sleep(6.0)
        ready = [await machine.wait_ready() for machine in machines]
        for machine, is_ready in zip(machines, ready, strict=True):
            record.write(
                f"{machine.name}: {machine.starts} starts, {machine.own_ends} ends by itself,"
                f" ready at the end: {is_ready}"
            )
        if not all(ready):
            return 2
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
