"""Limits of the roll-out of a version."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["RolloutLimits"]


@dataclass(frozen=True, slots=True)
class RolloutLimits:
    """Limits of a roll-out; the first three are bounds of the deployment."""

    exposed_share: float = 0.1
    """Largest share of a service's requests that a bad version may be given."""

    exposed_slack: float = 50.0
    """Requests that a bad version may be given beyond the share, over all instances."""

    rollback_delay: float = 5.0
    """Seconds after the 50th bad answer from which a bad version is given nothing."""
