"""Plays an experiment with all its policies and seeds, on several processes."""

from __future__ import annotations

import multiprocessing
import os
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import asdict
from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec

from sapphireledge_experiment.model import SeedResult, World

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from sapphireledge_experiment.settings import Experiment, Policy

__all__ = ["EXPERIMENT_FILE", "SEED_FOLDER", "default_jobs", "load_results", "run_experiment"]

EXPERIMENT_FILE = "experiment.json"
"""File in the folder of results that repeats the experiment."""

SEED_FOLDER = "seeds"
"""Folder with one file for each policy and seed."""


def default_jobs() -> int:
    """Returns half of the processor cores, at least 1."""
    return max(1, (os.cpu_count() or 1) // 2)


def run_experiment(
    experiment: Experiment,
    folder: Path,
    jobs: int,
    on_progress: Callable[[int, int], None] = lambda done, total: None,
) -> bool:
    """Plays every policy with every seed whose file is not in the folder yet.

    Args:
        experiment: The experiment.
        folder: Folder of the results, created if necessary.
        jobs: Number of processes.
        on_progress: Called with the number of finished plays and of all plays.

    Returns:
        Whether all plays finished; False after an interrupt, which keeps those that did.

    Raises:
        ValueError: If the folder holds results of another experiment.
    """
    (folder / SEED_FOLDER).mkdir(parents=True, exist_ok=True)
    _check_folder(experiment, folder)
    plays = [(policy, seed) for policy in experiment.policies for seed in range(experiment.seeds)]
    left = [play for play in plays if not _seed_file(folder, *play).exists()]
    done = len(plays) - len(left)
    on_progress(done, len(plays))
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(jobs, context) as pool:
        futures = [pool.submit(_play, experiment, *play, folder) for play in left]
        try:
            for future in as_completed(futures):
                future.result()
                done += 1
                on_progress(done, len(plays))
        except KeyboardInterrupt:
            pool.shutdown(wait=False, cancel_futures=True)
            return False
    return True


def load_results(experiment: Experiment, folder: Path) -> dict[str, list[SeedResult]]:
    """Reads the results in a folder.

    Args:
        experiment: The experiment.
        folder: Folder of the results.

    Returns:
        By policy in the order of the experiment, the results in order of their seeds.
    """
    results: dict[str, list[SeedResult]] = {}
    for policy in experiment.policies:
        files = [_seed_file(folder, policy, seed) for seed in range(experiment.seeds)]
        results[policy.name] = [
            msgspec.json.decode(file.read_bytes(), type=SeedResult)
            for file in files
            if file.exists()
        ]
    return results


def _check_folder(experiment: Experiment, folder: Path) -> None:
    """Writes the experiment into the folder, or checks that it is the one that is there.

    The number of seeds may differ, so that more of them can be added later.
    """
    file = folder / EXPERIMENT_FILE
    content = _encode({**asdict(experiment), "seeds": 1})
    if file.exists() and file.read_bytes() != content:
        raise ValueError(f"{folder} holds results of another experiment")
    file.write_bytes(content)


def _play(experiment: Experiment, policy: Policy, seed: int, folder: Path) -> None:
    """Plays one policy with one seed and writes its result."""
    content = _encode(asdict(World(experiment, policy, seed).run()))
    file = _seed_file(folder, policy, seed)
    part = file.with_suffix(".part")
    part.write_bytes(content)
    part.replace(file)


def _seed_file(folder: Path, policy: Policy, seed: int) -> Path:
    """Returns the file of one policy and one seed."""
    return folder / SEED_FOLDER / f"{quote(policy.name, safe='')}-{seed:05d}.json"


def _encode(value: dict[str, object]) -> bytes:
    """Encodes a value as JSON with sorted keys, so that equal values have equal bytes."""
    return msgspec.json.encode(value, enc_hook=lambda item: item.value, order="sorted")
