"""Trials of a refused scope before its deaths are forgotten."""

from __future__ import annotations

from math import log2
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["TRIAL_TIME", "find_trial_start", "scope_trial_share"]

TRIAL_DELAY = 20.0
"""Seconds after the last death of a scope until its requests are tried again."""

FIRST_SHARE = 1 / 4_096
"""Share of the requests that are tried first."""

DOUBLING_TIME = 2.0
"""Seconds in which the share doubles. All instances know of a death sooner, so it ends a trial
before many other requests are sent, however many requests the scope has."""

TRIAL_TIME = DOUBLING_TIME * log2(1 / FIRST_SHARE)
"""Seconds until all requests are accepted again."""

LATE_TIME = 4.0
"""Seconds after the third death of a scope from which further ones are late."""

MAX_LATE_DEATHS = 1
"""Late deaths with which a trial is still allowed. A trial may end two servers, and requests that
crash servers may be sent three times more once they are known to."""


def find_trial_start(death_times: Sequence[float]) -> float | None:
    """Finds the time from which requests of a refused scope are tried again.

    Args:
        death_times: Times of the deaths of the scope in Unix seconds, in chronological order, three
            or more.

    Returns:
        The time in Unix seconds, None if the scope is not tried.
    """
    late_from = death_times[2] + LATE_TIME
    if sum(at > late_from for at in death_times) > MAX_LATE_DEATHS:
        return None
    return death_times[-1] + TRIAL_DELAY


def scope_trial_share(since_start: float) -> float:
    """Computes the share of the requests of a scope that are accepted in a trial.

    Args:
        since_start: Seconds since the start of the trial.

    Returns:
        The share, from 0 to 1.
    """
    if since_start < 0.0:
        return 0.0
    return FIRST_SHARE * 2.0 ** (min(since_start, TRIAL_TIME) / DOUBLING_TIME)
