"""Time of the model by requests and by engines, and of fifty seeds with two policies.

Run: python -m bench.experiment
"""

from __future__ import annotations

import json
import os
import resource
import tempfile
import time
from dataclasses import replace
from pathlib import Path

from sapphireledge.settings import load_checked_file
from sapphireledge_experiment.model import World
from sapphireledge_experiment.run_experiment import run_experiment
from sapphireledge_experiment.settings import Experiment, FleetSpec

EXAMPLES = Path(__file__).resolve().parent.parent / "experiments"


def load(name: str) -> Experiment:
    loaded = load_checked_file(EXAMPLES / f"{name}.json", Experiment)
    assert isinstance(loaded, Experiment), loaded
    return loaded


def scale(experiment: Experiment, requests: float, machines: int) -> Experiment:
    fleet = experiment.fleet
    kinds = tuple(replace(kind, rate=kind.rate * requests) for kind in experiment.kinds)
    larger = FleetSpec(
        data_centres=fleet.data_centres,
        instances=fleet.instances * machines,
        engines=fleet.engines * machines,
        plain_servers=fleet.plain_servers * machines,
    )
    return replace(experiment, kinds=kinds, fleet=larger)


def play(name: str, experiment: Experiment) -> None:
    started = time.perf_counter()
    result = World(experiment, experiment.policies[0], 0).run()
    row = {
        "name": name,
        "seconds": round(time.perf_counter() - started, 2),
        "requests": result.asked,
        "engines": experiment.fleet.engines,
        "events": result.events,
        "peak_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
    }
    print(json.dumps(row))


def main() -> None:
    calm = load("calm")
    for factor in (1, 2, 4, 8):
        play(f"requests x {factor}, machines x {factor}", scale(calm, factor, factor))
    for factor in (2, 4):
        play(f"requests x {factor}, engines of x 4", scale(calm, factor, 4))
    for factor in (2, 4, 8):
        play(f"requests of x 2, machines x {factor}", scale(calm, 2, factor))
    with tempfile.TemporaryDirectory() as folder:
        for name in ("calm", "rolling-losses"):
            experiment = load(name)
            two = replace(experiment, policies=experiment.policies[:2], seeds=50)
            started = time.perf_counter()
            run_experiment(two, Path(folder) / name, os.cpu_count() or 1)
            seconds = round(time.perf_counter() - started, 1)
            print(json.dumps({"name": f"{name}, 50 seeds, 2 policies", "seconds": seconds}))


if __name__ == "__main__":
    main()
