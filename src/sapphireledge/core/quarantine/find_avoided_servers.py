"""Backend servers on which a suspected request may not run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.core.quarantine.clear_verdict import ClearVerdict
from sapphireledge.core.quarantine.isolate_verdict import IsolateVerdict

if TYPE_CHECKING:
    from sapphireledge.core.quarantine.quarantine import Quarantine
    from sapphireledge.core.quarantine.running_requests import RunningRequests

__all__ = ["find_avoided_servers"]


def find_avoided_servers(
    now_unix: float,
    verdict: ClearVerdict | IsolateVerdict,
    quarantine: Quarantine,
    running: RunningRequests,
) -> frozenset[str]:
    """Finds the backend servers on which a request may not run beside other suspects.

    Args:
        now_unix: Time in Unix seconds.
        verdict: Verdict on the request.
        quarantine: Deaths and what they are attributed to.
        running: Requests of this instance that run on backend servers.

    Returns:
        Names of the backend servers.
    """
    if not quarantine.has_deaths or (isinstance(verdict, ClearVerdict) and not verdict.deaths):
        return frozenset()
    verdicts = {name: quarantine.verdict(now_unix, name) for name in running.fingerprints()}
    suspects = frozenset(
        name
        for name, other in verdicts.items()
        if not isinstance(other, ClearVerdict)
        or (isinstance(verdict, IsolateVerdict) and other.deaths)
    )
    return running.backends_of(suspects)
