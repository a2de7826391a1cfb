"""The measurements of the design page on loopback, compared with the baseline in the same run.

One command per measurement: resume, ranks, urgent-flood, fairness. Each command repeats its runs
with fixed seeds, prints one JSON line per run and ends with median, minimum and maximum.
"""

from __future__ import annotations

import asyncio
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from contextlib import contextmanager
from pathlib import Path
from random import Random
from typing import Annotated, Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

import msgspec  # noqa: E402
import typer  # noqa: E402
import uuid6  # noqa: E402

from bench.load import CallerGroup, LoadOptions, run_load  # noqa: E402
from devtools.caller import generate  # noqa: E402
from devtools.local_fleet import EngineSpec, EntrySpec, LocalFleet, free_port  # noqa: E402
from sapphireledge_standins.chained_answer import check_chained_answer  # noqa: E402

app = typer.Typer(no_args_is_help=True)
"""Command line with one command per measurement."""

RunsOption = Annotated[int, typer.Option(min=1, help="Number of runs, each with its own seed.")]

OUTPUT_TOKENS = 40
"""Tokens per answer in the flood measurements."""

TOKEN_RATE = 40.0
"""Tokens per second and sequence."""

SLOTS = 4
"""Concurrent sequences per engine."""

ENGINES = 3
"""Engines in the flood measurements."""

CAPACITY = ENGINES * SLOTS * TOKEN_RATE / OUTPUT_TOKENS
"""Requests per second that the engines can serve."""

LOADS_PER_RUN = 3
"""Loads in each run, each with its own seed: warm-up, quiet and flood."""

DECLARATIONS: tuple[tuple[str, dict[str, Any]], ...] = (
    (
        "rank",
        {"name": "urgent", "order": 0, "target": 2, "worth": 10, "share": 0.4, "reserve": 0.2},
    ),
    ("rank", {"name": "standard", "order": 1, "target": 10, "worth": 3, "share": 0.3}),
    ("rank", {"name": "background", "order": 2, "target": 10, "share": 0.2}),
    ("deployment", {"name": "drafting", "model": "drafter", "version": "v1"}),
    *(("workspace", {"name": name}) for name in ("default", "large", "s1", "s2", "s3", "s4", "s5")),
)
"""Declarations of the measured fleets."""


def start_fleet(folder: str, entries: int, engines: int, options: tuple[str, ...]) -> LocalFleet:
    """Builds a fleet in one data centre."""
    return LocalFleet(
        Path(folder),
        tuple(EntrySpec(f"e{n}") for n in range(entries)),
        tuple(EngineSpec(f"g{n}", options=(*options, "--seed", str(n))) for n in range(engines)),
        declarations=DECLARATIONS,
    )


@contextmanager
def run_baseline(fleet: LocalFleet):
    """Runs a baseline entry in front of a fleet's engines and yields its address."""
    port = free_port()
    command = [sys.executable, str(ROOT / "bench" / "baseline_entry.py"), "--port", str(port)]
    for engine in fleet.engines:
        command += ["--engine", fleet.processes[engine.name].address]
    process = subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    try:
        end = time.monotonic() + 20
        while time.monotonic() < end:
            try:
                fleet.admin(f"http://127.0.0.1:{port}", "GET", "/readyz")
                break
            except OSError:
                time.sleep(0.05)
        yield f"127.0.0.1:{port}"
    finally:
        process.kill()
        process.wait()


def summarize(values: list[float]) -> dict[str, float]:
    """Summarizes a figure over the runs."""
    return {
        "median": round(statistics.median(values), 3),
        "min": round(min(values), 3),
        "max": round(max(values), 3),
        "runs": len(values),
    }


def percentile(values: list[float], share: float) -> float:
    """Returns the value below which the given share of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def print_json(value: Any) -> None:
    """Prints a value as one line of JSON."""
    print(msgspec.json.encode(value).decode(), flush=True)


@app.command()
def resume(
    runs: RunsOption = 5,
    losses: Annotated[int, typer.Option(help="Engine losses per run and kind.")] = 8,
) -> None:
    """Measures the latency and cost of resuming an answer.

    An engine is killed, frozen or silenced at a random token.
    """
    kinds: dict[str, tuple[Callable, Callable]] = {}
    gaps: dict[str, list[list[float]]] = {"killed": [], "frozen": [], "silent": []}
    extra: dict[str, list[float]] = {name: [] for name in gaps}
    restart: dict[str, list[float]] = {name: [] for name in gaps}
    for seed in range(runs):
        with tempfile.TemporaryDirectory() as folder:
            options = ("--token-rate", "40", "--slots", "16")
            with start_fleet(folder, 3, 4, options) as fleet:
                time.sleep(2.5)
                kinds = _failure_modes(fleet)
                for kind, (fail, recover) in kinds.items():
                    rng = Random(f"{seed}/{kind}")
                    results = [_measure_loss(fleet, rng, fail, recover) for _ in range(losses)]
                    gaps[kind].append([r["gap"] for r in results])
                    tokens = sum(r["tokens"] for r in results)
                    extra[kind].append(sum(r["recomputed"] for r in results) / tokens)
                    restart[kind].append(sum(r["lost_at"] for r in results) / tokens)
                    print_json({"seed": seed, "kind": kind, "results": results})
    for kind in kinds:
        all_gaps = [gap for run in gaps[kind] for gap in run]
        print_json(
            {
                "kind": kind,
                "losses": len(all_gaps),
                "gap_s_p50": round(percentile(all_gaps, 0.5), 3),
                "gap_s_p95": round(percentile(all_gaps, 0.95), 3),
                "gap_s_max": round(max(all_gaps), 3),
                "p95_by_run": summarize([percentile(run, 0.95) for run in gaps[kind]]),
                "recomputed_share_of_tokens": summarize(extra[kind]),
                "restart_from_zero_share_of_tokens": summarize(restart[kind]),
            }
        )


def _failure_modes(fleet: LocalFleet) -> dict[str, tuple[Callable, Callable]]:
    """Returns functions that fail and recover an engine, by kind of loss."""

    def restart(name: str) -> None:
        fleet.start_engine(next(e for e in fleet.engines if e.name == name))
        fleet.publish_instances()
        fleet.wait_port(name, fleet.processes[name].address)

    return {
        "killed": (fleet.kill, restart),
        "frozen": (fleet.pause, fleet.resume),
        "silent": (lambda name: fleet.faults(name, silence_existing=True), fleet.faults),
    }


def _measure_loss(
    fleet: LocalFleet, rng: Random, fail: Callable, recover: Callable
) -> dict[str, Any]:
    """Generates one answer with one engine loss; measures the gap and the recomputed tokens."""
    request_id = str(uuid6.uuid7())
    tokens = 160
    lost_at = rng.randrange(5, tokens - 5)
    lost: list[str] = []

    def fail_engine(count: int) -> bool:
        if count == lost_at:
            for engine in fleet.engines:
                requests = fleet.counts(engine.name)["requests"]
                if any(name.endswith(request_id) for name in requests):
                    lost.append(engine.name)
                    fail(engine.name)
        return False

    before = _recomputed(fleet, ())
    entry = f"e{rng.randrange(3)}"
    answer = generate(
        fleet.callers[entry], request_id=request_id, max_tokens=tokens, on_token=fail_engine
    )
    report = check_chained_answer(answer.text)
    if not (answer.done and report.intact and report.tokens == tokens and lost):
        raise RuntimeError(
            f"answer incomplete or wrong, or no engine lost: "
            f"{report} {answer.error} {answer.connection_error}"
        )
    after = _recomputed(fleet, lost)
    for name in lost:
        recover(name)
    time.sleep(1.2)
    return {
        "lost_at": lost_at,
        "gap": round(answer.longest_gap, 4),
        "tokens": tokens,
        "recomputed": sum(max(0, after[name] - before.get(name, 0)) for name in after),
    }


def _recomputed(fleet: LocalFleet, skip: tuple[str, ...] | list[str]) -> dict[str, int]:
    """Returns the number of prefix tokens that each engine recomputed."""
    return {
        engine.name: fleet.counts(engine.name)["tokens_recomputed"]
        for engine in fleet.engines
        if engine.name not in skip
    }


def _run_load(
    addresses: tuple[str, ...], groups: list[CallerGroup], seed: int, reconnect_limit: float = 5.0
) -> list[dict[str, Any]]:
    """Runs the load and returns one summary per group."""
    options = LoadOptions(addresses, reconnect_limit=reconnect_limit, seed=seed, max_open=3000)
    return asyncio.run(run_load(groups, options))["groups"]


def _addresses(fleet: LocalFleet) -> tuple[str, ...]:
    """Returns the caller addresses of the entries."""
    return tuple(url.removeprefix("http://") for url in fleet.callers.values())


def _measure_flood(
    runs: int, quiet: list[CallerGroup], flood: list[CallerGroup], extract: Callable
) -> dict[str, dict[str, list[float]]]:
    """Runs the quiet load and the flood, both through the entries and through the baseline."""
    figures_by_case: dict[str, dict[str, list[float]]] = {}
    for seed in range(runs):
        with tempfile.TemporaryDirectory() as folder:
            options = ("--token-rate", str(TOKEN_RATE), "--slots", str(SLOTS))
            with (
                start_fleet(folder, 3, ENGINES, options) as fleet,
                run_baseline(fleet) as baseline_address,
            ):
                time.sleep(2.5)
                for system, addresses in (
                    ("entry", _addresses(fleet)),
                    ("baseline", (baseline_address,)),
                ):
                    # The first requests open connections, which would distort the quiet case.
                    warm_up = [CallerGroup(CAPACITY * 0.7, 3.0, output_tokens=5)]
                    _run_load(addresses, warm_up, seed * LOADS_PER_RUN)
                    for number, (load, groups) in enumerate((("quiet", quiet), ("flood", flood))):
                        # Equal seeds give equal request ids, and an entry answers a repeated id
                        # with its stored answer.
                        result = _run_load(addresses, groups, seed * LOADS_PER_RUN + number + 1)
                        figures = extract(result)
                        print_json({"seed": seed, "system": system, "load": load, **figures})
                        for name, value in figures.items():
                            key = f"{system} {load}"
                            figures_by_case.setdefault(key, {}).setdefault(name, []).append(value)
                        time.sleep(3.0)
    return figures_by_case


def _print_summary(figures_by_case: dict[str, dict[str, list[float]]]) -> None:
    """Prints median, minimum and maximum of each figure."""
    for key, figures in figures_by_case.items():
        for name, values in figures.items():
            known = [value for value in values if value is not None]
            if known:
                print_json({"case": key, "figure": name, **summarize(known)})


@app.command()
def ranks(
    runs: RunsOption = 5,
    seconds: Annotated[float, typer.Option(help="Seconds of load per run.")] = 10.0,
) -> None:
    """Measures urgent requests with and without a background flood of 10 times the capacity."""
    urgent = CallerGroup(CAPACITY * 0.2, seconds, "urgent", output_tokens=OUTPUT_TOKENS)
    flood = CallerGroup(CAPACITY * 10, seconds, "background", output_tokens=OUTPUT_TOKENS)

    def extract(groups: list[dict[str, Any]]) -> dict[str, float]:
        first = groups[0]["first_token_ms"]
        done = groups[0]["kinds"].get("complete", 0) / max(1, sum(groups[0]["kinds"].values()))
        return {
            "urgent_first_token_ms_p50": first.get("p50"),
            "urgent_first_token_ms_p95": first.get("p95"),
            "urgent_complete": round(done, 4),
        }

    figures_by_case = _measure_flood(runs, [urgent], [urgent, flood], extract)
    _print_summary(figures_by_case)
    for system in ("entry", "baseline"):
        quiet = figures_by_case[f"{system} quiet"]["urgent_first_token_ms_p95"]
        busy = figures_by_case[f"{system} flood"]["urgent_first_token_ms_p95"]
        ratios = [b / q for b, q in zip(busy, quiet, strict=True) if b and q]
        if ratios:
            print_json({"system": system, "urgent_p95_flood_to_quiet": summarize(ratios)})


@app.command("urgent-flood")
def urgent_flood(
    runs: RunsOption = 5,
    seconds: Annotated[float, typer.Option(help="Seconds of load per run.")] = 20.0,
) -> None:
    """Measures the share of the other ranks in an urgent flood of 10 times the capacity."""
    flood = CallerGroup(CAPACITY * 10, seconds, "urgent", output_tokens=OUTPUT_TOKENS)
    # Both demand somewhat more than their share, so that their queues never run empty.
    standard = CallerGroup(CAPACITY * 0.45, seconds, "standard", output_tokens=OUTPUT_TOKENS)
    background = CallerGroup(CAPACITY * 0.3, seconds, "background", output_tokens=OUTPUT_TOKENS)

    def extract(groups: list[dict[str, Any]]) -> dict[str, float]:
        tokens = {group["rank"]: group["tokens"] for group in groups}
        total = sum(tokens.values())
        shares = {"standard": 0.3, "background": 0.2}
        return {
            f"{rank}_of_declared_share": round(tokens.get(rank, 0) / total / share, 4)
            for rank, share in shares.items()
        }

    _print_summary(
        _measure_flood(runs, [standard, background], [standard, background, flood], extract)
    )


@app.command()
def fairness(
    runs: RunsOption = 5,
    seconds: Annotated[float, typer.Option(help="Seconds of load per run.")] = 20.0,
) -> None:
    """Measures small workspaces next to one that demands 50 times its share across all entries."""
    small = [
        CallerGroup(CAPACITY * 0.1, seconds, "standard", f"s{n}", output_tokens=OUTPUT_TOKENS)
        for n in range(1, 6)
    ]
    share = CAPACITY / 6
    large = CallerGroup(share * 50, seconds, "standard", "large", output_tokens=OUTPUT_TOKENS)

    def extract(groups: list[dict[str, Any]]) -> dict[str, float]:
        small_groups = [group for group in groups if group["workspace"] != "large"]
        asked = sum(sum(group["kinds"].values()) for group in small_groups)
        done = sum(group["kinds"].get("complete", 0) for group in small_groups)
        p95 = [g["first_token_ms"]["p95"] for g in small_groups if "p95" in g["first_token_ms"]]
        return {
            "small_complete_of_asked": round(done / max(1, asked), 4),
            "small_tokens": sum(group["tokens"] for group in small_groups),
            "small_first_token_ms_p95": max(p95) if p95 else None,
        }

    figures_by_case = _measure_flood(runs, small, [*small, large], extract)
    _print_summary(figures_by_case)
    for system in ("entry", "baseline"):
        alone = figures_by_case[f"{system} quiet"]["small_tokens"]
        beside = figures_by_case[f"{system} flood"]["small_tokens"]
        ratios = [b / a for a, b in zip(alone, beside, strict=True) if a]
        print_json({"system": system, "small_tokens_beside_to_alone": summarize(ratios)})


if __name__ == "__main__":
    app()
