"""Cost of the heartbeat mesh and of answer copies.

Run with `python -m bench.peers`. Each entry is a process that runs only the peer server, the mesh
and a simulated load. CPU time, memory and transferred bytes of each process are measured; the CPU
time of the simulated load is subtracted. All random generators have fixed seeds.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import os
import random
import resource
import statistics
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Annotated

import structlog
import typer

from sapphireledge.core.membership import Member
from sapphireledge.peers import (
    AnswerCopies,
    AppendResult,
    CopyOutcome,
    LocalState,
    PeerMesh,
    PeerServer,
)
from sapphireledge.settings import Address, Settings

if TYPE_CHECKING:
    from multiprocessing.connection import Connection

SIZES = (3, 9, 30, 52)
"""Measured numbers of entries in the data centre."""

WORKSPACES = 19_000
"""Workspaces in the fleet."""

REQUESTS_PER_SECOND = 11.0
"""Finished requests per second and entry: 4,000 per second over 360 entries."""

TOKENS_PER_REQUEST = 475.0
"""Mean tokens per request: 1.9 million tokens and 4,000 requests per second."""

STREAMS = 338
"""Concurrent answers per entry: 5,278 tokens per second at 64 ms per token."""

TOKEN_INTERVAL = 0.064
"""Seconds between two tokens of an answer."""

START_LIMIT = 120.0
"""Timeout in seconds for the start of all processes on a busy machine."""


@dataclass(frozen=True, slots=True)
class Cost:
    """Mean cost of one entry over the measurement window, or of the answer copies of one entry."""

    processor: float
    """CPU time in percent of a core; for copies, microseconds per token at the sender."""

    memory: float
    """Growth of resident memory in KB since before the mesh started; for copies, CPU time in
    microseconds per token at the receiver."""

    traffic: float
    """KB per second without TCP headers; for copies, the share of tokens stored in time."""

    heartbeats: float
    """Heartbeats sent per second; for copies, tokens per second."""


class SimulatedUsage:
    """Usage that the simulated requests of one entry cause; a few workspaces are large."""

    def __init__(self, seed: int, half_life: float) -> None:
        self._rng = random.Random(seed)
        self._half_life = half_life
        self._usage: dict[str, float] = {}
        self._updated_at = time.monotonic()
        self.cpu_seconds = 0.0
        """CPU time of the simulation, in seconds."""
        # Past load, so that the measurement window starts in a steady state.
        for _ in range(int(REQUESTS_PER_SECOND * half_life * 9)):
            self._finish_request(0.5 ** self._rng.uniform(0, 9))

    def local_state(self, now: float) -> LocalState:
        """Returns the usage including the requests finished since the last call."""
        started = time.thread_time()
        elapsed, self._updated_at = now - self._updated_at, now
        decay = 0.5 ** (elapsed / self._half_life)
        self._usage = {name: value * decay for name, value in self._usage.items() if value > 1}
        for _ in range(round(elapsed * REQUESTS_PER_SECOND)):
            self._finish_request(1.0)
        state = LocalState(usage=dict(self._usage), config_version=5)
        self.cpu_seconds += time.thread_time() - started
        return state

    def _finish_request(self, weight: float) -> None:
        """Charges one request to a random workspace; low numbers are the large workspaces."""
        name = f"workspace-{int(WORKSPACES ** self._rng.random()):05}"
        tokens = self._rng.expovariate(1 / TOKENS_PER_REQUEST) * weight
        self._usage[name] = self._usage.get(name, 0.0) + tokens


class NullPeerEvents:
    """Ignores the updates of peers."""

    def on_usage(self, now, source, usage, restarted) -> None: ...

    def on_deaths(self, now, deaths) -> None: ...

    def on_leaving(self, now, backends) -> None: ...

    def on_config_versions(self, now, highest) -> None: ...

    def on_membership(self, now, members) -> None: ...


class PartnerStore:
    """Stores answer pieces as a partner does."""

    def __init__(self) -> None:
        self.answers: dict[str, list[str]] = {}

    async def append_answers(self, sender, appends):
        results = []
        for append in appends:
            pieces = self.answers.setdefault(append.request_id, [])
            pieces[append.offset :] = append.pieces
            results.append(AppendResult(append.request_id, len(pieces), append.epoch))
        return results


class Entry:
    """Peer server and mesh of one entry; runs in its own process."""

    def __init__(self, pipe: Connection, index: int, seed: int) -> None:
        structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
        self.pipe = pipe
        self.cfg = Settings(
            instance=f"entry-{index:03}",
            data_centre="akl-a",
            region="akl",
            caller_address=Address(port=0),
            peer_address=Address(port=0),
            operator_address=Address(port=0),
            platform={"url": "http://127.0.0.1:1"},
            fleet_secret="bench",
        )
        self.rng = random.Random(seed * 1_000 + index)
        self.usage = SimulatedUsage(seed * 1_000 + index, self.cfg.admission.usage_half_life)
        self.members: list[Member] = []
        self.store = PartnerStore()
        self.mesh = PeerMesh(
            self.cfg,
            lambda: self.members,
            self.usage,
            NullPeerEvents(),
            lambda part: None,
            time.monotonic,
            self.rng,
        )
        self.server = PeerServer(self.cfg, self.mesh, self.store)

    async def start(self) -> None:
        """Binds the port, receives the list of all entries and starts the mesh."""
        await self.server.start()
        address = f"127.0.0.1:{self.server.port}"
        self.pipe.send(Member(self.cfg.instance, "akl-a", "akl", address))
        self.members = await self.receive()
        self.memory = resident_kilobytes()
        self.mesh.start(address)

    async def receive(self):
        """Receives a message from the parent without blocking the event loop."""
        return await asyncio.to_thread(self.pipe.recv)

    async def measure(self, warmup: float, window: float) -> Cost:
        """Measures the mesh over the window after a warm-up."""
        await asyncio.sleep(warmup)
        before = (
            time.process_time(),
            self.usage.cpu_seconds,
            self.mesh.bytes_transferred,
            time.monotonic(),
        )
        await asyncio.sleep(window)
        after = (
            time.process_time(),
            self.usage.cpu_seconds,
            self.mesh.bytes_transferred,
            time.monotonic(),
        )
        processor, simulated, bytes_moved, seconds = (
            b - a for a, b in zip(before, after, strict=True)
        )
        return Cost(
            processor=100 * (processor - simulated) / seconds,
            memory=resident_kilobytes() - self.memory,
            # Only outgoing calls are counted; incoming calls transfer as many bytes on average.
            traffic=2 * bytes_moved / seconds / 1_000,
            heartbeats=len(self.mesh.peer_names) / self.mesh.heartbeat_interval,
        )

    async def stop(self) -> None:
        """Waits for the parent, so that no entry leaves while others measure, then stops."""
        await self.receive()
        await self.mesh.stop()
        await self.server.stop()


def resident_kilobytes() -> float:
    """Returns the resident memory of this process in KB."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * resource.getpagesize() / 1_000


def run_mesh_entry(pipe: Connection, index: int, seed: int, warmup: float, window: float) -> None:
    """Runs and measures one entry of the mesh; entry point of a child process."""

    async def run() -> None:
        entry = Entry(pipe, index, seed)
        await entry.start()
        pipe.send(await entry.measure(warmup, window))
        await entry.stop()

    asyncio.run(run())


def run_copy_entry(pipe: Connection, index: int, seed: int, warmup: float, window: float) -> None:
    """Runs the sender (index 0) or receiver of answer copies; entry point of a child process."""

    async def run() -> None:
        entry = Entry(pipe, index, seed)
        await entry.start()
        if index == 0:
            pipe.send(await measure_copying(entry, warmup, window))
        else:
            before = time.process_time()
            await entry.receive()
            tokens = sum(map(len, entry.store.answers.values()))
            pipe.send((time.process_time() - before, tokens))
        await entry.stop()

    asyncio.run(run())


async def measure_copying(entry: Entry, warmup: float, window: float) -> tuple[float, int, int]:
    """Generates tokens without and with copies.

    Returns:
        CPU time of the copies in seconds, number of copied tokens, and how many were stored.
    """
    await asyncio.sleep(warmup)
    copies = AnswerCopies(entry.cfg.peers, entry.mesh, time.monotonic)
    copies.start()
    await asyncio.sleep(1.0)
    counts = {True: [0, 0], False: [0, 0]}
    seconds = {}
    for copying in (False, True):
        before = time.process_time()
        streams = [
            generate(copies if copying else None, f"r{n}", entry.rng, window, counts[copying])
            for n in range(STREAMS)
        ]
        await asyncio.gather(*streams)
        seconds[copying] = time.process_time() - before
    await copies.stop()
    per_token = seconds[False] / counts[False][0]
    tokens, stored = counts[True]
    return seconds[True] - per_token * tokens, tokens, stored


async def generate(copies, request_id: str, rng: random.Random, window: float, counts) -> None:
    """Generates one answer as a session does: each token waits for the copy of the previous one."""
    await asyncio.sleep(rng.uniform(0, TOKEN_INTERVAL))
    copy = copies.open(request_id, 1, "{}") if copies is not None else None
    end = time.monotonic() + window
    while time.monotonic() < end:
        await asyncio.sleep(TOKEN_INTERVAL)
        counts[0] += 1
        if copy is not None:
            offset = copy.append(time.monotonic(), ["token "])
            outcome = await copy.wait_stored(offset)
            counts[1] += outcome is CopyOutcome.STORED


def run_processes(target, count: int, seed: int, warmup: float, window: float) -> list:
    """Starts the entry processes, sends each the list of all, and collects one result from each."""
    context = multiprocessing.get_context("spawn")
    pipes, processes = [], []
    for index in range(count):
        pipe, child = context.Pipe()
        process = context.Process(target=target, args=(child, index, seed, warmup, window))
        process.start()
        pipes.append(pipe)
        processes.append(process)
    members = [receive(pipe, START_LIMIT) for pipe in pipes]
    for pipe in pipes:
        pipe.send(members)
    results = []
    for pipe in pipes:
        results.append(receive(pipe, START_LIMIT + warmup + 3 * window))
        if target is run_copy_entry:
            pipes[1].send("measured")
    for pipe in pipes:
        pipe.send("stop")
    for process in processes:
        process.join()
    return results


def receive(pipe: Connection, limit: float):
    """Receives one message; raises TimeoutError after `limit` seconds."""
    if not pipe.poll(limit):
        raise TimeoutError(f"no message from an entry process within {limit:g} s")
    return pipe.recv()


def measure_mesh(size: int, seed: int, warmup: float, window: float) -> Cost:
    """Measures one run of the mesh; returns the mean over its entries."""
    costs = run_processes(run_mesh_entry, size, seed, warmup, window)
    return Cost(
        *(
            statistics.fmean(getattr(cost, name) for cost in costs)
            for name in ("processor", "memory", "traffic", "heartbeats")
        )
    )


def measure_copies(seed: int, warmup: float, window: float) -> Cost:
    """Measures one run of the answer copies."""
    (sender, tokens, stored), (receiver, received) = run_processes(
        run_copy_entry, 2, seed, warmup, window
    )
    return Cost(
        processor=1e6 * sender / tokens,
        memory=1e6 * receiver / received,
        traffic=stored / tokens,
        heartbeats=tokens / window,
    )


def format_spread(values: list[float], digits: int) -> str:
    """Formats median, minimum and maximum."""
    low, middle, high = min(values), statistics.median(values), max(values)
    return f"{middle:.{digits}f} ({low:.{digits}f} to {high:.{digits}f})"


def print_slope(name: str, unit: str, costs: dict[int, list[Cost]], field: str) -> None:
    """Prints the least-squares fit of one cost over peers and over heartbeats as a table row."""
    points = [(size - 1, cost) for size, runs in costs.items() for cost in runs]
    values = [getattr(cost, field) for _, cost in points]
    peers = statistics.linear_regression([float(peer) for peer, _ in points], values)
    heartbeats = statistics.linear_regression([cost.heartbeats for _, cost in points], values)
    print(
        f"| {name} | {peers.slope:.4f} {unit} | {peers.intercept:.3f} {unit} "
        f"| {heartbeats.slope:.4f} {unit} | {heartbeats.intercept:.3f} {unit} |"
    )


def main(
    runs: Annotated[int, typer.Option(help="Runs per measurement.")] = 5,
    warmup: Annotated[float, typer.Option(help="Seconds of warm-up before each window.")] = 6.0,
    window: Annotated[float, typer.Option(help="Seconds of a measurement window.")] = 12.0,
) -> None:
    """Measures the heartbeat mesh and the answer copies and prints tables."""
    print(f"{os.cpu_count()} cores, load {os.getloadavg()[0]:.1f}, {runs} runs, window {window} s")
    print("\n| members | heartbeats/s | processor % of a core | memory KB | traffic KB/s |")
    print("|---|---|---|---|---|")
    costs: dict[int, list[Cost]] = {}
    for size in SIZES:
        costs[size] = [measure_mesh(size, seed, warmup, window) for seed in range(runs)]
        columns = (
            format_spread([getattr(cost, name) for cost in costs[size]], digits)
            for name, digits in (("processor", 2), ("memory", 0), ("traffic", 2))
        )
        heartbeats = costs[size][0].heartbeats
        print(f"| {size} | {heartbeats:.1f} | " + " | ".join(columns) + " |", flush=True)
    print("\n| cost | per peer | at 0 peers | per heartbeat/s | at 0 heartbeats |")
    print("|---|---|---|---|---|")
    print_slope("processor", "% of a core", costs, "processor")
    print_slope("memory", "KB", costs, "memory")
    print_slope("traffic", "KB/s", costs, "traffic")
    copies = [measure_copies(seed, 2.0, window) for seed in range(runs)]
    print("\n| tokens/s | sender µs/token | receiver µs/token | share stored in time |")
    print("|---|---|---|---|")
    print(
        f"| {format_spread([cost.heartbeats for cost in copies], 0)} "
        f"| {format_spread([cost.processor for cost in copies], 1)} "
        f"| {format_spread([cost.memory for cost in copies], 1)} "
        f"| {format_spread([cost.traffic for cost in copies], 4)} |"
    )
    print(f"\nload at the end {os.getloadavg()[0]:.1f}")


if __name__ == "__main__":
    typer.run(main)
