"""Command line of the soak."""

from __future__ import annotations

import asyncio
import tempfile
import time
from pathlib import Path
from typing import Annotated

import typer

from soak.http import lost_connections
from soak.soak_run import SoakRun

REGRESSIONS = Path(__file__).with_name("regressions.txt")
"""Seeds of earlier failures, one per line with the cause."""


def regression_seeds() -> list[int]:
    """Reads the seeds of earlier failures.

    Returns:
        The seeds in file order.
    """
    lines = REGRESSIONS.read_text(encoding="utf-8").splitlines()
    return [int(line.split()[0]) for line in lines if line[:1].isdigit()]


def run_seed(
    seed: int, seconds: float, entries: int, backends: int, callers: int, logs: str
) -> list:
    """Runs the soak with one seed and prints a summary.

    Args:
        seed: Seed of the faults.
        seconds: Duration of fault injection.
        entries: Number of entry processes.
        backends: Number of backend servers.
        callers: Number of concurrent callers.
        logs: Folder that keeps the process logs; empty discards them.

    Returns:
        Every violation found.
    """
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(logs) / str(seed) if logs else Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        soak_run = SoakRun(seed, folder, entries, backends, callers)
        violations = asyncio.run(soak_run.run(seconds))
        calls = [call for call in soak_run.record.calls.values() if call.is_controlled]
        served = sum(1 for call in calls if call.status == 200 and call.complete)
        lost = ", ".join(f"{name} {count}" for name, count in sorted(lost_connections.items()))
        typer.echo(f"seed {seed}: {len(calls)} requests, {served} served")
        typer.echo(f"  connections of stand-ins lost since the first seed: {lost or 'none'}")
        return violations


def main(
    first: Annotated[int, typer.Option(help="First seed; 0 derives it from the clock.")] = 1,
    count: Annotated[int, typer.Option(help="Number of seeds.")] = 1,
    seconds: Annotated[float, typer.Option(help="Seconds of fault injection in each run.")] = 15.0,
    entries: Annotated[int, typer.Option(help="Number of entry processes.")] = 6,
    backends: Annotated[int, typer.Option(help="Number of backend servers.")] = 12,
    callers: Annotated[int, typer.Option(help="Number of concurrent callers.")] = 12,
    regressions: Annotated[
        bool, typer.Option(help="Run the seeds of earlier failures instead.")
    ] = False,
    logs: Annotated[str, typer.Option(help="Folder that keeps the process logs.")] = "",
) -> None:
    """Runs the seeds and prints every violation; exits with 1 if there is any."""
    start = first or int(time.time())
    seeds = regression_seeds() if regressions else list(range(start, start + count))
    failed = []
    for seed in seeds:
        violations = run_seed(seed, seconds, entries, backends, callers, logs)
        for violation in violations:
            typer.echo(f"  {violation}")
        if violations:
            failed.append(seed)
    typer.echo(f"{len(seeds) - len(failed)} of {len(seeds)} seeds keep every promise")
    if failed:
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(main)
