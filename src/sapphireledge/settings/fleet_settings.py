"""Settings of the orders to engines."""

from __future__ import annotations

from pydantic import ConfigDict, ValidationInfo, field_validator
from pydantic.dataclasses import dataclass

from sapphireledge.settings._field import setting

__all__ = ["FleetSettings"]

MAX_ORDER_SHARE = 0.5
"""Largest order timeout as a share of the lease. The lease is renewed after a third of its term;
the rest of the first half is left for a renewal that is late."""


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class FleetSettings:
    """Settings of the orders to engines."""

    lease: float = setting(10.0, unit="s", ge=1, le=600)
    """Duration of the lease that entitles an instance to send orders."""

    order_timeout: float = setting(2.0, unit="s", ge=0.1, le=60)
    """Timeout of an order."""

    reconcile_interval: float = setting(2.0, unit="s", ge=0.1, le=600)
    """Interval at which declared and reported state are reconciled."""

    loads_per_minute: float = setting(6.0, unit="loads/min", ge=0.01, le=10_000)
    """Maximum rate of model loads from the weight store per data centre."""

    @field_validator("order_timeout")
    @classmethod
    def _check_order_timeout(cls, order_timeout: float, info: ValidationInfo) -> float:
        """Rejects an order timeout that a regularly renewed lease would not cover."""
        limit = MAX_ORDER_SHARE * info.data.get("lease", float("inf"))
        if order_timeout > limit:
            raise ValueError(f"must be at most half of fleet.lease, {limit:g} s; its unit is")
        return order_timeout
