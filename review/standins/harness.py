"""Start, end and exit codes of a case that is a script."""

from __future__ import annotations

import asyncio
import os
import random
import socket
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from standins.entry import BOUNDS, FRONT_PORT, PEER_PORT, READY_PORT, Entry
from standins.record import Record
from standins.store import Store

HELD, BROKEN, NOT_RUN = 0, 1, 2
TIME_LIMIT = 112.0
"""Seconds after which a case is ended as not run."""


class CannotRun(Exception):
    """The case could not be set up."""


class Harness:
    """Record, store and entry processes of one run."""

    def __init__(self, folder: Path) -> None:
        self.record = Record()
        self.store = Store(self.record)
        self.store_address = ""
        """Address of the store for the machines, its own unless a proxy stands before it."""

        self.bounds: dict[str, Any] = dict(BOUNDS)
        """Bounds in the settings of the machines."""

        self.entries: list[Entry] = []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self._folder = folder
        self._network = _pick_network()

    def add_entry(self, name: str, zone: str) -> Entry:
        """Adds a machine with an address of its own; it is not started yet."""
        host = f"127.{self._network}.{len(self.entries) // 200}.{len(self.entries) % 200 + 10}"
        store_address = self.store_address or self.store.address
        entry = Entry(self.record, self._folder, name, zone, host, store_address, self.bounds)
        self.entries.append(entry)
        return entry

    async def start_ready(self, entries: list[Entry], timeout: float = 15.0) -> None:
        """Starts machines and waits until all are ready."""
        for entry in entries:
            await entry.start()
        ready = await asyncio.gather(*(entry.wait_ready(timeout) for entry in entries))
        if not all(ready):
            raise CannotRun(
                f"not ready: {[e.name for e, r in zip(entries, ready, strict=True) if not r]}"
            )


def run_case(case: Callable[[Harness], Awaitable[bool]], folder: Path, log: bool = False) -> None:
    """Runs a case, writes its record, ends its processes and exits.

    Args:
        case: Plays the case; returns whether the rule was broken.
        folder: Folder of the case, for the record.
        log: Whether the logs of the entry processes are added to the record.
    """
    code = NOT_RUN
    with tempfile.TemporaryDirectory() as scratch:
        harness = Harness(Path(scratch))

        async def play() -> bool:
            try:
                await harness.store.start()
                async with asyncio.timeout(TIME_LIMIT):
                    return await case(harness)
            finally:
                for entry in harness.entries:
                    await entry.close()

        try:
            code = BROKEN if asyncio.run(play()) else HELD
        except Exception:
            harness.record.add("the case could not run: " + traceback.format_exc())
            traceback.print_exc()
        finally:
            if log or os.environ.get("LOGS"):
                for entry in harness.entries:
                    harness.record.add(f"log of {entry.name}:\n{entry.log()}")
            verdict = {HELD: "the rule held", BROKEN: "the rule was broken"}
            harness.record.add(f"result {code}: {verdict.get(code, 'the case could not run')}")
            harness.record.write(folder / "record.txt")
    print(verdict.get(code, "the case could not run"))
    sys.exit(code)


def _pick_network() -> int:
    """Picks a loopback network on which the ports of the entry processes are free."""
    for _ in range(20):
        network = random.randint(20, 250)
        try:
            for port in (FRONT_PORT, READY_PORT, PEER_PORT, 9464):
                with socket.socket() as sock:
                    sock.bind((f"127.{network}.0.10", port))
        except OSError:
            continue
        return network
    raise CannotRun("no free loopback addresses")
