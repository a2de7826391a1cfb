"""Report of an experiment: a summary as JSON, plots, and one page of HTML."""

from __future__ import annotations

import base64
import html
from dataclasses import asdict
from typing import TYPE_CHECKING

import msgspec

from sapphireledge_experiment.report.paired_difference import compare_pairs
from sapphireledge_experiment.report.plots import (
    draw_comparison,
    draw_occupancy,
    draw_served,
    draw_waiting,
    encode_figure,
)
from sapphireledge_experiment.report.policy_summary import PolicySummary, served_share, summarize

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence
    from pathlib import Path

    from sapphireledge_experiment.model import SeedResult

__all__ = ["MEASURES", "write_report"]

MEASURES: dict[str, Callable[[SeedResult], float]] = {
    "served": served_share,
    "on time": lambda result: result.endings["on_time"] / max(1, result.asked),
    "worth": lambda result: result.worth_share,
    "refused": lambda result: result.endings["refused"] / max(1, result.asked),
    "failed": lambda result: result.endings["failed"] / max(1, result.asked),
    "tokens in vain": lambda result: result.vain_tokens / max(1, result.processed_tokens),
}
"""Shares that policies are compared by."""

SUMMARY_FILE = "summary.json"
"""File with the figures of the page."""

PAGE_FILE = "report.html"
"""The page."""

STYLE = """
body { font: 15px/1.45 system-ui, sans-serif; max-width: 62rem; margin: 2rem auto; padding: 0 1rem;
  color: #1b2330; background: #fff; }
h1 { font-size: 1.5rem; } h2 { font-size: 1.1rem; margin-top: 2rem; }
.scroll { overflow-x: auto; }
table { border-collapse: collapse; font-variant-numeric: tabular-nums; }
th, td { padding: .3rem .8rem; text-align: right; border-bottom: 1px solid #d8dee8; }
th:first-child, td:first-child { text-align: left; }
img { max-width: 100%; height: auto; }
"""
"""Style sheet of the page, which loads nothing from a network."""


def write_report(
    title: str, results: Mapping[str, Sequence[SeedResult]], baseline: str, folder: Path
) -> Path:
    """Writes the report of an experiment.

    Args:
        title: Title of the page.
        results: Results by policy, at least one for each.
        baseline: Policy that the others are compared with.
        folder: Folder of the results.

    Returns:
        The page.
    """
    summaries = [summarize(policy, seeds) for policy, seeds in results.items()]
    differences = {
        policy: {
            name: compare_pairs(seeds, results[baseline], measure)
            for name, measure in MEASURES.items()
        }
        for policy, seeds in results.items()
        if policy != baseline
    }
    summary = {
        "baseline": baseline,
        "policies": [asdict(entry) for entry in summaries],
        "differences": {
            policy: {name: asdict(entry) for name, entry in found.items()}
            for policy, found in differences.items()
        },
    }
    encoded = msgspec.json.format(msgspec.json.encode(summary, order="sorted"), indent=1)
    (folder / SUMMARY_FILE).write_bytes(encoded)
    figures = {
        "served": ("Share served over time", draw_served(results)),
        "waiting": ("Time to the first event by rank", draw_waiting(results)),
        "occupancy": ("Occupancy of the engines", draw_occupancy(results)),
        "comparison": ("Share served by policy", draw_comparison(results)),
    }
    plots = {name: (heading, encode_figure(drawn)) for name, (heading, drawn) in figures.items()}
    for name, (_, image) in plots.items():
        (folder / f"{name}.png").write_bytes(image)
    sections = [
        _section("How requests ended", _endings_table(summaries)),
        _section("Time to the first event, s", _waiting_table(summaries)),
        _section(
            "Tokens in vain in one seed, by cause, with the 95% interval", _losses_table(summaries)
        ),
    ]
    if differences:
        rows = [
            [policy, str(found["served"].seeds), *(str(entry) for entry in found.values())]
            for policy, found in differences.items()
        ]
        heading = f"Difference to {baseline} over the same seeds, with the 95% interval"
        sections.append(_section(heading, _table(["policy", "seeds", *MEASURES], rows)))
    sections += [_section(heading, _image(heading, image)) for heading, image in plots.values()]
    page = folder / PAGE_FILE
    page.write_text(_page(title, sections), encoding="utf-8")
    return page


def _endings_table(summaries: Sequence[PolicySummary]) -> str:
    """Builds the table of how requests ended."""
    columns = ["policy", "seeds", "requests", *summaries[0].shares, "served", "worth"]
    rows = [
        [
            entry.policy,
            str(entry.seeds),
            f"{entry.asked:.0f}",
            *(f"{share:.4f}" for share in entry.shares.values()),
            f"{entry.served:.4f}",
            f"{entry.worth_share:.4f}",
        ]
        for entry in summaries
    ]
    return _table(columns, rows)


def _waiting_table(summaries: Sequence[PolicySummary]) -> str:
    """Builds the table of the time to the first event."""
    rows = [
        [entry.policy, rank, *(f"{value:.3f}" for value in values)]
        for entry in summaries
        for rank, values in entry.first_events.items()
    ]
    return _table(["policy", "rank", "p50", "p95", "p99"], rows)


def _losses_table(summaries: Sequence[PolicySummary]) -> str:
    """Builds the table of tokens in vain."""
    causes = sorted({cause for entry in summaries for cause in entry.losses})
    rows = [
        [
            entry.policy,
            f"{entry.vain_tokens:.0f}",
            f"{entry.vain_share:.4f}",
            *(_with_error(entry, cause) for cause in causes),
        ]
        for entry in summaries
    ]
    return _table(["policy", "tokens", "share of all", *causes], rows)


def _with_error(entry: PolicySummary, cause: str) -> str:
    """Formats the tokens in vain by one cause with half of their 95% interval."""
    return f"{entry.losses.get(cause, 0.0):.0f} ± {entry.loss_errors.get(cause, 0.0):.0f}"


def _table(columns: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Builds a table."""
    head = "".join(f"<th>{html.escape(column)}</th>" for column in columns)
    body = "".join(
        "<tr>" + "".join(f"<td>{html.escape(cell)}</td>" for cell in row) + "</tr>" for row in rows
    )
    return f'<div class="scroll"><table><tr>{head}</tr>{body}</table></div>'


def _image(heading: str, image: bytes) -> str:
    """Embeds an image."""
    data = base64.b64encode(image).decode()
    return f'<img alt="{html.escape(heading)}" src="data:image/png;base64,{data}">'


def _section(heading: str, content: str) -> str:
    """Builds a section of the page."""
    return f"<h2>{html.escape(heading)}</h2>\n{content}\n"


def _page(title: str, sections: Sequence[str]) -> str:
    """Builds the page."""
    name = html.escape(title)
    return (
        f'<!doctype html>\n<html lang="en"><head><meta charset="utf-8"><title>{name}</title>'
        f"<style>{STYLE}</style></head>\n<body><h1>{name}</h1>\n{''.join(sections)}</body></html>\n"
    )
