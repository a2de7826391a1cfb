"""Difference between two policies over the same seeds."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import numpy as np

from sapphireledge_experiment.report.policy_summary import confidence_error

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sapphireledge_experiment.model import SeedResult

__all__ = ["PairedDifference", "compare_pairs"]


@dataclass(frozen=True, slots=True)
class PairedDifference:
    """Mean difference between two policies over the same seeds, with its confidence interval."""

    seeds: int
    """Number of seeds that both were played with."""

    mean: float
    """Mean of the differences."""

    low: float
    """Lower end of the 95% confidence interval, by Student's t distribution."""

    high: float
    """Upper end of the interval."""

    def __str__(self) -> str:
        return f"{self.mean:+.4f} ({self.low:+.4f} to {self.high:+.4f})"


def compare_pairs(
    results: Sequence[SeedResult],
    baseline: Sequence[SeedResult],
    measure: Callable[[SeedResult], float],
) -> PairedDifference:
    """Compares two policies seed by seed.

    Args:
        results: Results of one policy.
        baseline: Results of the other one.
        measure: Figure to compare.

    Returns:
        The difference; its interval is as wide as the mean is uncertain, and infinite for one seed.

    Raises:
        ValueError: If no seed was played with both.
    """
    known = {result.seed: measure(result) for result in baseline}
    pairs = [measure(result) - known[result.seed] for result in results if result.seed in known]
    if not pairs:
        raise ValueError("no seed was played with both policies")
    mean, error = float(np.mean(pairs)), confidence_error(pairs)
    return PairedDifference(len(pairs), mean, mean - error, mean + error)
