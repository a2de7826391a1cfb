"""Resource usage of entry instances for docs/CAPACITY.md, with real processes on loopback.

Prints one JSON line per scenario: CPU time and memory of the entry processes (read from /proc),
object API calls, and the CPU time per relayed token at the owner and at its partner.
"""

from __future__ import annotations

import asyncio
import os
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Annotated, Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

import msgspec  # noqa: E402
import typer  # noqa: E402

from bench.load import CallerGroup, LoadOptions, run_load  # noqa: E402
from devtools.local_fleet import EngineSpec, EntrySpec, LocalFleet  # noqa: E402

TICKS = os.sysconf("SC_CLK_TCK")
"""Clock ticks per second of the times in /proc."""

PAGE_KB = os.sysconf("SC_PAGE_SIZE") / 1024
"""Size of a memory page in KB."""

CALL_KINDS = ("get", "put", "delete", "list", "watch", "instances")
"""Kinds of calls that the platform stand-in counts."""


def cpu_seconds(pid: int) -> float:
    """Returns the CPU time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def memory_mb(pid: int) -> float:
    """Returns the resident memory of a process, in MB."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_KB / 1024


def make_fleet(folder: str, entries: int, engines: int, options: tuple[str, ...]) -> LocalFleet:
    """Builds a fleet in one data centre."""
    return LocalFleet(
        Path(folder),
        tuple(EntrySpec(f"e{n}") for n in range(entries)),
        tuple(EngineSpec(f"g{n}", options=options) for n in range(engines)),
    )


def _idle_fleet(folder: str, entries: int, engines: int) -> LocalFleet:
    """Builds the fleet of the idle scenario."""
    return make_fleet(folder, entries, engines, ("--slots", "16"))


def _relay_fleet(folder: str, entries: int) -> LocalFleet:
    """Builds the fleet of the relay scenario."""
    return make_fleet(folder, entries, 2, ("--slots", "200", "--token-rate", "20"))


def idle(entries: int, engines: int, seconds: float) -> dict[str, Any]:
    """Measures entries without requests."""
    with tempfile.TemporaryDirectory() as folder, _idle_fleet(folder, entries, engines) as fleet:
        time.sleep(5.0)
        pids = [fleet.processes[e.name].popen.pid for e in fleet.entries]
        before = [cpu_seconds(pid) for pid in pids]
        counts = fleet.counts("platform")
        started = time.monotonic()
        time.sleep(seconds)
        wall = time.monotonic() - started
        after = [cpu_seconds(pid) for pid in pids]
        calls = fleet.counts("platform")
        memory = [memory_mb(pid) for pid in pids]
    cpu_percent = [(b - a) / wall * 100 for a, b in zip(before, after, strict=True)]
    call_rates = {kind: (calls.get(kind, 0) - counts.get(kind, 0)) / wall for kind in CALL_KINDS}
    return {
        "scenario": "idle",
        "entries": entries,
        "engines": engines,
        "cpu_percent_of_a_core_median": round(statistics.median(cpu_percent), 2),
        "cpu_percent_max": round(max(cpu_percent), 2),
        "memory_mb_median": round(statistics.median(memory), 1),
        "platform_calls_per_s_per_entry": {
            kind: round(rate / entries, 3) for kind, rate in call_rates.items() if rate
        },
    }


def relay(rate: float, tokens: int, seconds: float, entries: int) -> dict[str, Any]:
    """Measures one entry that relays streams, and the partner that stores its answer copies."""
    with tempfile.TemporaryDirectory() as folder, _relay_fleet(folder, entries) as fleet:
        time.sleep(3.0)
        names = [entry.name for entry in fleet.entries]
        pids = {name: fleet.processes[name].popen.pid for name in names}
        memory = {name: memory_mb(pid) for name, pid in pids.items()}
        before = {name: cpu_seconds(pid) for name, pid in pids.items()}
        group = CallerGroup(rate, seconds, output_tokens=tokens)
        address = fleet.callers["e0"].removeprefix("http://")
        started = time.monotonic()
        peak = asyncio.run(_run_load(group, address, pids["e0"]))
        wall = time.monotonic() - started
        after = {name: cpu_seconds(pid) for name, pid in pids.items()}
        relayed = peak["tokens"]
        cpu_us_per_token = {name: (after[name] - before[name]) / relayed * 1e6 for name in names}
    partners = [cpu_us_per_token[name] for name in names if name != "e0"]
    return {
        "scenario": "relay",
        "entries": entries,
        "tokens": relayed,
        "tokens_per_s": round(relayed / wall),
        "kinds": peak["kinds"],
        "owner_us_per_token": round(cpu_us_per_token["e0"], 1),
        "partner_us_per_token": round(max(partners), 1) if partners else None,
        "owner_memory_mb_before": round(memory["e0"], 1),
        "owner_memory_mb_peak": round(peak["memory"], 1),
        "first_token_ms": peak["first_token_ms"],
        "gap_ms": peak["gap_ms"],
    }


async def _run_load(group: CallerGroup, address: str, pid: int) -> dict[str, Any]:
    """Runs the load and samples the owner's memory until it ends."""
    load = asyncio.create_task(run_load([group], LoadOptions((address,), max_open=2000)))
    peak = 0.0
    while not load.done():
        peak = max(peak, memory_mb(pid))
        await asyncio.sleep(0.2)
    result = (await load)["groups"][0]
    reported = ("tokens", "kinds", "first_token_ms", "gap_ms")
    return {**{name: result[name] for name in reported}, "memory": peak}


def main(
    seconds: Annotated[float, typer.Option(help="Seconds of an idle measurement.")] = 20.0,
    runs: Annotated[int, typer.Option(min=1, help="Runs of the relay scenario.")] = 3,
) -> None:
    """Runs all scenarios."""
    for entries, engines in ((3, 2), (9, 2), (3, 20), (3, 60)):
        print(msgspec.json.encode(idle(entries, engines, seconds)).decode(), flush=True)
    for run in range(runs):
        for entries in (1, 2):
            result = relay(8.0, 200, 15.0, entries)
            print(msgspec.json.encode({"run": run, **result}).decode(), flush=True)


if __name__ == "__main__":
    typer.run(main)
