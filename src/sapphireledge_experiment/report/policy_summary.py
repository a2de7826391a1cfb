"""Figures of one policy over all its seeds."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

import numpy as np
from scipy import stats

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sapphireledge_experiment.model import SeedResult

__all__ = ["PolicySummary", "confidence_error", "served_share", "summarize"]

CONFIDENCE = 0.95
"""Level of the confidence intervals."""

PERCENTILES = (50, 95, 99)
"""Percentiles of the time to the first event."""


@dataclass(frozen=True, slots=True)
class PolicySummary:
    """Figures of one policy over all its seeds; shares are means over the seeds."""

    policy: str
    """Name of the policy."""

    seeds: int
    """Number of seeds."""

    asked: float
    """Requests in one seed."""

    shares: dict[str, float]
    """Shares of the requests by how they ended, see `Ending`."""

    served: float
    """Share of the requests that got a complete answer."""

    worth_share: float
    """Worth of the requests served, as a share of that of all requests."""

    vain_share: float
    """Share of the tokens processed in vain."""

    vain_tokens: float
    """Tokens processed in vain in one seed."""

    losses: dict[str, float]
    """Tokens in vain in one seed by cause, the largest first."""

    loss_errors: dict[str, float]
    """For each cause, half of the width of the 95% confidence interval of that mean."""

    over_limit: float
    """Requests in one seed that arrived at a server above the rate that it named."""

    first_events: dict[str, tuple[float, float, float]]
    """By rank, seconds to the first event: 50th, 95th and 99th percentile of all seeds."""


def summarize(policy: str, results: Sequence[SeedResult]) -> PolicySummary:
    """Adds up the results of one policy.

    Args:
        policy: Name of the policy.
        results: Results of its seeds, at least one.

    Returns:
        The summary.
    """
    losses = Counter[str]()
    for result in results:
        losses.update(result.losses)
    names = list(results[0].endings)
    ranks = sorted({rank for result in results for rank in result.first_events})
    return PolicySummary(
        policy=policy,
        seeds=len(results),
        asked=_mean([result.asked for result in results]),
        shares={
            name: _mean([result.endings[name] / max(1, result.asked) for result in results])
            for name in names
        },
        served=_mean([served_share(result) for result in results]),
        worth_share=_mean([result.worth_share for result in results]),
        vain_share=_mean(
            [result.vain_tokens / max(1, result.processed_tokens) for result in results]
        ),
        vain_tokens=_mean([result.vain_tokens for result in results]),
        losses={cause: round(n / len(results), 1) for cause, n in losses.most_common()},
        loss_errors={
            cause: confidence_error([result.losses.get(cause, 0) for result in results])
            for cause, _ in losses.most_common()
        },
        over_limit=_mean([result.over_limit for result in results]),
        first_events={rank: _percentiles(results, rank) for rank in ranks},
    )


def served_share(result: SeedResult) -> float:
    """Computes the share of the requests of one seed that got a complete answer.

    Args:
        result: The result of the seed.

    Returns:
        The share, 0 to 1.
    """
    return (result.endings["on_time"] + result.endings["late"]) / max(1, result.asked)


def confidence_error(values: Sequence[float]) -> float:
    """Computes half of the width of the 95% confidence interval of a mean.

    Args:
        values: Independent values, at least one.

    Returns:
        The half width by Student's t distribution, infinite for one value.
    """
    if len(values) < 2:
        return float("inf")
    return float(stats.sem(values) * stats.t.ppf((1.0 + CONFIDENCE) / 2.0, len(values) - 1))


def _percentiles(results: Sequence[SeedResult], rank: str) -> tuple[float, float, float]:
    """Computes the percentiles of the time to the first event of one rank."""
    delays = np.concatenate([result.first_events.get(rank, []) for result in results])
    low, middle, high = np.percentile(delays, PERCENTILES)
    return round(float(low), 4), round(float(middle), 4), round(float(high), 4)


def _mean(values: list[float]) -> float:
    """Computes a rounded mean."""
    return round(float(np.mean(values)), 5)
