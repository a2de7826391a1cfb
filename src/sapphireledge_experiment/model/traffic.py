"""Arrivals of requests."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import numpy as np

from sapphireledge_experiment.model.modelled_request import ModelledRequest

if TYPE_CHECKING:
    from collections.abc import Iterator

    from sapphireledge_experiment.settings import Experiment, RequestKind

__all__ = ["draw_requests"]


def draw_requests(experiment: Experiment, seed: int) -> list[ModelledRequest]:
    """Draws all requests of one seed; they do not depend on the policy.

    Args:
        experiment: Traffic and duration.
        seed: The seed.

    Returns:
        The requests in order of arrival.
    """
    drawn = [
        request
        for index, kind in enumerate(experiment.kinds)
        for request in _draw_kind(experiment, kind, np.random.default_rng((seed, index)))
    ]
    drawn.sort(key=lambda request: request.arrived)
    for number, request in enumerate(drawn):
        request.number = number
    return drawn


def _draw_kind(
    experiment: Experiment, kind: RequestKind, rng: np.random.Generator
) -> Iterator[ModelledRequest]:
    """Draws the requests of one kind."""
    groups = _draw_times(experiment.duration, kind, rng)
    sizes = rng.geometric(1.0 / kind.clump, len(groups))
    times = np.repeat(groups, sizes)
    count = len(times)
    prompts = _draw_lengths(rng, kind.prompt_tokens, kind.prompt_spread, count)
    outputs = _draw_lengths(rng, kind.output_events, kind.output_spread, count)
    workspaces = rng.integers(0, kind.workspaces, count)
    workspaces[rng.random(count) < kind.heaviest_share] = 0
    prefixes = rng.integers(0, max(1, kind.prefixes), count)
    centres = np.repeat(rng.integers(0, experiment.fleet.data_centres, len(groups)), sizes)
    for index in range(count):
        prefix = int(prefixes[index]) if kind.prefixes else -1
        yield ModelledRequest(
            number=0,
            kind=kind,
            arrived=float(times[index]),
            prompt_tokens=int(prompts[index]),
            output_events=int(outputs[index]),
            event_tokens=experiment.fleet.engine.event_tokens,
            workspace=int(workspaces[index]),
            prefix=prefix,
            data_centre=int(centres[index]),
            crashes_engines=0 <= prefix < kind.crashing_prefixes,
        )


def _draw_times(duration: float, kind: RequestKind, rng: np.random.Generator) -> np.ndarray:
    """Draws arrival times: a Poisson process, with a second one on top during a burst."""
    groups = kind.rate / kind.clump
    times = rng.uniform(0.0, duration, rng.poisson(groups * duration))
    if kind.burst_time and kind.burst_factor > 1.0:
        extra = rng.poisson(groups * (kind.burst_factor - 1.0) * kind.burst_time)
        burst = rng.uniform(kind.burst_at, kind.burst_at + kind.burst_time, extra)
        times = np.concatenate([times, burst[burst < duration]])
    return np.sort(times)


def _draw_lengths(rng: np.random.Generator, mean: float, spread: float, count: int) -> np.ndarray:
    """Draws lengths of at least 1 from a log-normal distribution."""
    sigma = math.sqrt(math.log(1.0 + spread**2))
    lengths = rng.lognormal(math.log(mean) - sigma**2 / 2, sigma, count)
    return np.maximum(1, np.rint(lengths))
