"""Plots of an experiment as PNG images."""

from __future__ import annotations

import io
import textwrap
from typing import TYPE_CHECKING

import matplotlib

matplotlib.use("Agg")

import numpy as np
from matplotlib.figure import Figure

from sapphireledge_experiment.report.policy_summary import served_share

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from matplotlib.artist import Artist

    from sapphireledge_experiment.model import SeedResult

__all__ = [
    "draw_comparison",
    "draw_occupancy",
    "draw_served",
    "draw_waiting",
    "encode_figure",
]

WIDTH = 9.0
"""Width of a plot in inches."""

LINE_HEIGHT = 0.24
"""Height in inches of one policy in a legend."""

TITLE_LENGTH = 90
"""Characters of a title that fit in the width of a plot."""

LABEL_LENGTH = 45
"""Characters of a label beside a plot, which take half of its width at most."""


def draw_served(results: Mapping[str, Sequence[SeedResult]]) -> Figure:
    """Plots the share of the requests served by the second of their arrival.

    Args:
        results: Results by policy.

    Returns:
        The figure.
    """
    figure = Figure((WIDTH, 3.2 + LINE_HEIGHT * len(results)), layout="constrained")
    axes = figure.subplots()
    for policy, seeds in results.items():
        bins = np.array([[entry[1:] for entry in seed.timeline] for seed in seeds]).sum(axis=0)
        times = [entry[0] for entry in seeds[0].timeline]
        shares = bins[:, 1] / np.maximum(1, bins[:, 0])
        used = bins[:, 0] > 0
        axes.plot(np.array(times)[used], shares[used], label=policy, drawstyle="steps-post")
    axes.set(xlabel="time of arrival, s", ylabel="share served", ylim=(-0.02, 1.02))
    _add_legend(figure, *axes.get_legend_handles_labels())
    return figure


def draw_waiting(results: Mapping[str, Sequence[SeedResult]]) -> Figure:
    """Plots the distribution of the time to the first event, one plot for each rank.

    Args:
        results: Results by policy.

    Returns:
        The figure.
    """
    ranks = sorted({rank for seeds in results.values() for s in seeds for rank in s.first_events})
    figure = Figure((WIDTH, 3.2 + LINE_HEIGHT * len(results)), layout="constrained")
    for axes, rank in zip(
        np.atleast_1d(figure.subplots(1, max(1, len(ranks)))), ranks, strict=False
    ):
        for policy, seeds in results.items():
            delays = np.sort(np.concatenate([s.first_events.get(rank, []) for s in seeds]))
            if len(delays):
                axes.step(delays, np.arange(1, len(delays) + 1) / len(delays), label=policy)
        axes.set(title=f"rank {rank}", xlabel="time to the first event, s", xscale="log")
        axes.set(ylabel="share of requests", ylim=(0, 1.02))
    handles = axes.get_legend_handles_labels() if ranks else ([], [])
    _add_legend(figure, *handles)
    return figure


def draw_occupancy(results: Mapping[str, Sequence[SeedResult]]) -> Figure:
    """Plots the occupancy of each engine over time in the first seed.

    Args:
        results: Results by policy.

    Returns:
        The figure.
    """
    figure = Figure((WIDTH, 0.8 + 1.9 * len(results)), layout="constrained")
    grid = np.atleast_1d(figure.subplots(len(results), 1, sharex=True))
    image = None
    for axes, (policy, seeds) in zip(grid, results.items(), strict=True):
        shares = np.array(seeds[0].occupancy).T
        image = axes.imshow(shares, aspect="auto", vmin=0.0, vmax=1.0, origin="lower")
        title = textwrap.fill(f"{policy}, seed {seeds[0].seed}", TITLE_LENGTH)
        axes.set_title(title, fontsize="medium")
        axes.set(ylabel="engine")
    grid[-1].set(xlabel="time, s")
    if image is not None:
        figure.colorbar(image, ax=list(grid), label="share of slots in use")
    return figure


def draw_comparison(results: Mapping[str, Sequence[SeedResult]]) -> Figure:
    """Plots the share served in each seed, one row for each policy.

    Args:
        results: Results by policy.

    Returns:
        The figure.
    """
    labels = [textwrap.fill(policy, LABEL_LENGTH) for policy in results]
    lines = sum(label.count("\n") + 2 for label in labels)
    figure = Figure((WIDTH, 1.0 + LINE_HEIGHT * lines), layout="constrained")
    axes = figure.subplots()
    shares = [[served_share(seed) for seed in seeds] for seeds in results.values()]
    axes.boxplot(shares, tick_labels=labels, showmeans=True, orientation="horizontal")
    axes.invert_yaxis()
    axes.set(xlabel="share served, one value a seed")
    axes.grid(axis="x", alpha=0.3)
    return figure


def encode_figure(figure: Figure) -> bytes:
    """Encodes a figure as PNG, without the time and the version of the library.

    Args:
        figure: The figure.

    Returns:
        The image.
    """
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=110, metadata={"Software": None})
    return buffer.getvalue()


def _add_legend(figure: Figure, handles: Sequence[Artist], labels: Sequence[str]) -> None:
    """Adds a legend below the plots, where names of any length leave them their width."""
    wrapped = [textwrap.fill(label, TITLE_LENGTH) for label in labels]
    figure.legend(handles, wrapped, loc="outside lower left", frameon=False)
