"""Measures the time and memory of routing and scheduling decisions.

Usage: PYTHONPATH=src python -m bench.decisions
"""

from __future__ import annotations

import gc
import random
import statistics
import time
import tracemalloc
from typing import TYPE_CHECKING

from bench.baseline import ArrivalOrderScheduler, LeastConnectionsRouter
from sapphireledge.core.admission import Capacity, QueuedWork, RankScheduler, UsageLedger
from sapphireledge.core.declarations import Rank
from sapphireledge.core.routing import (
    BackendInstance,
    BackendView,
    LoadReport,
    ModelVersion,
    Router,
    RouteRequest,
    hash_prefixes,
)
from sapphireledge.settings import AdmissionSettings, RoutingSettings

if TYPE_CHECKING:
    from collections.abc import Callable

RUNS = 7
BACKENDS = (3, 30, 300, 1000)
WORKSPACES = (10, 100, 1000, 19_000)
DECISIONS = 5000
WAITING = 5000
SLOTS = 16
MODEL = (ModelVersion("m", "1"),)
RANKS = {
    "urgent": Rank(name="urgent", order=0, target=3600, worth=100, share=0.5, reserve=0.1),
    "standard": Rank(name="standard", order=1, target=3600, worth=10, share=0.3),
    "batch": Rank(name="batch", order=2, target=3600, worth=1, share=0.2, late=True),
}


def make_view(count: int, subset: int, rng: random.Random) -> BackendView:
    """Builds a view of backend servers in 7 data centres with 0 to 19 sequences each."""
    view = BackendView(RoutingSettings(subset_size=subset), "entry-0", "dc-0", "region-0")
    view.on_instances(
        0.0,
        [
            BackendInstance(f"engine-{i}", f"10.0.0.{i}:1", f"dc-{i % 7}", f"region-{i % 7 % 2}")
            for i in range(count)
        ],
    )
    view.on_entries(0.0, {f"entry-{i}": f"dc-{i % 7}" for i in range(360)})
    for i in range(count):
        view.on_load(0.0, load_report(f"engine-{i}", 0.0, rng))
    return view


def load_report(name: str, now: float, rng: random.Random) -> LoadReport:
    running = rng.randrange(SLOTS + 4)
    waiting = max(0, running - SLOTS)
    return LoadReport(name, "boot", now, min(running, SLOTS), waiting, SLOTS, 800.0, MODEL)


def routing_time(router, count: int, subset: int, seed: int, bookkeeping: bool = False) -> float:
    """Measures the mean time of a routing decision in µs, with cache hints and load reports.

    With bookkeeping, the time of on_dispatch (with 32 prefixes) and on_end is included.
    """
    rng = random.Random(seed)
    view = make_view(count, subset, rng)
    prompts = [hash_prefixes(f"{i:04d}" * 4096) for i in range(50)]
    requests = [
        RouteRequest("m", "1", prompt_tokens=1000, output_tokens=300, prefixes=prompts[i % 50])
        for i in range(DECISIONS)
    ]
    reports = [load_report(f"engine-{rng.randrange(count)}", 0.0, rng) for _ in requests]
    router.choose(0.0, requests[0], view, rng)
    chosen: list[str] = []
    elapsed, now = 0.0, 0.0
    for i, request in enumerate(requests):
        now += 0.001
        report = reports[i]
        # Reports arrive between decisions; applying them is not part of the measured time.
        view.on_load(
            now, LoadReport(report.backend, "boot", now, report.running, 0, SLOTS, 800.0, MODEL)
        )
        start = time.perf_counter()
        choice = router.choose(now, request, view, rng)
        if not bookkeeping:
            elapsed += time.perf_counter() - start
        view.on_dispatch(now, choice.backend, f"{i}", prefixes=request.prefixes)
        if i >= 100:
            view.on_end(now, chosen[i - 100], f"{i - 100}")
        if bookkeeping:
            elapsed += time.perf_counter() - start
        chosen.append(choice.backend)
    return elapsed / DECISIONS * 1e6


def scheduling_time(make: Callable[[], object], workspaces: int, seed: int) -> float:
    """Measures the mean time of the scheduler calls for one work item in µs.

    The calls are offer, next, on_started, on_consumed and on_ended. All workspaces have recorded
    usage, 5,000 work items wait, and 200 run.
    """
    rng = random.Random(seed)
    scheduler = make()
    works = [
        QueuedWork(f"{i}", rng.choice(tuple(RANKS)), f"w{i % workspaces}", 100, rng.randrange(500))
        for i in range(WAITING + DECISIONS)
    ]
    if isinstance(scheduler, RankScheduler):
        for i in range(workspaces):
            scheduler.ledger.charge(0.0, f"w{i}", rng.uniform(1.0, 10_000.0))
    for work in works[:WAITING]:
        scheduler.offer(0.0, work)
    running = [work.work_id for work in scheduler.next(0.0, Capacity(200, 240, 9000.0))]
    now, elapsed = 0.0, 0.0
    for work in works[WAITING:]:
        now += 0.001
        ended = running.pop(rng.randrange(len(running)))
        start = time.perf_counter()
        scheduler.on_consumed(now, ended, 200)
        scheduler.on_ended(now, ended)
        scheduler.offer(now, work)
        items = scheduler.next(now, Capacity(240 - len(running), 240, 9000.0))
        for item in items:
            scheduler.on_started(now, item.work_id)
        elapsed += time.perf_counter() - start
        running += [item.work_id for item in items]
    return elapsed / DECISIONS * 1e6


def allocated_bytes(build: Callable[[], object]) -> int:
    """Returns the bytes that the object built by a function occupies."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return used


def make_ledger(workspaces: int, peers: int) -> UsageLedger:
    """Builds a ledger in which each workspace has local usage and usage at some peers."""
    ledger = UsageLedger(30.0)
    for i in range(workspaces):
        ledger.charge(0.0, f"w{i}", 1000.0)
        for peer in range(peers):
            ledger.merge_peer(0.0, f"peer-{(i + peer) % 57}", {f"w{i}": 1000.0})
    return ledger


def make_scheduler() -> RankScheduler:
    return RankScheduler(RANKS, AdmissionSettings())


def print_row(name: str, size: int, measure: Callable[[int], float]) -> None:
    values = sorted(measure(seed) for seed in range(RUNS))
    middle = statistics.median(values)
    print(f"| {name} | {size} | {middle:.1f} | {values[0]:.1f} | {values[-1]:.1f} |", flush=True)


def main() -> None:
    print(f"| decision | size | median of {RUNS} runs (µs) | lowest | highest |")
    print("|---|---|---|---|---|")
    router, baseline = Router(RoutingSettings()), LeastConnectionsRouter()
    for count in BACKENDS:
        print_row("routing, subset of 40", count, lambda s, n=count: routing_time(router, n, 40, s))
    for count in BACKENDS:
        print_row("routing, no subset", count, lambda s, n=count: routing_time(router, n, 1000, s))
    for count in BACKENDS:
        print_row(
            "routing, subset of 40, with bookkeeping",
            count,
            lambda s, n=count: routing_time(router, n, 40, s, bookkeeping=True),
        )
    for count in BACKENDS:
        print_row("routing, baseline", count, lambda s, n=count: routing_time(baseline, n, 40, s))
    for count in WORKSPACES:
        print_row("scheduling", count, lambda s, n=count: scheduling_time(make_scheduler, n, s))
    for count in WORKSPACES:
        print_row(
            "scheduling, baseline",
            count,
            lambda s, n=count: scheduling_time(ArrivalOrderScheduler, n, s),
        )
    print()
    print("| memory | size | bytes for each |")
    print("|---|---|---|")
    for peers in (0, 8, 15):
        used = allocated_bytes(lambda n=peers: make_ledger(19_000, n)) / 19_000
        print(f"| workspace with usage here and at {peers} sources | 19000 | {used:.0f} |")
    for count in (30, 1000):
        used = allocated_bytes(lambda n=count: make_view(n, 40, random.Random(0))) / count
        print(f"| backend server in the view | {count} | {used:.0f} |")


if __name__ == "__main__":
    main()
