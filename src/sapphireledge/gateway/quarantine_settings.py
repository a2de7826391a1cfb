"""Settings of the quarantine of a gateway instance."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["QuarantineSettings"]


@dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """Implements `QuarantineLimits`; all times are in seconds."""

    isolate_after: int = 2
    """Deaths after which a request is run in isolation."""

    condemn_after: int = 3
    """Deaths after which a request or a part of a prompt is refused."""

    condemn_scope_after: int = 5
    """Deaths after which all requests of a workspace on a route may be refused."""

    scope_retention: float = 120.0
    """How long a death counts against a workspace on a route. Most of its requests are sound, so
    servers get another chance with them sooner than with a part."""

    burst_window: float = 1.0
    """Time window within which unrelated deaths are attributed to one common cause. A request takes
    longer than that to reach and crash its next engine."""

    burst_size: int = 3
    """Unrelated deaths within `burst_window` that indicate a common cause."""

    part_retention: float = 900.0
    """How long a death counts against a part of a prompt. Engines get another chance with a refused
    part after that time, and a part that still crashes them is found again after a few deaths."""

    retention: float = 900.0
    """How long deaths are kept."""
