"""Settings of the selection of a backend server."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from sapphireledge.settings._field import setting

__all__ = ["RoutingSettings"]


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class RoutingSettings:
    """Settings of the selection of a backend server."""

    subset_size: int = setting(40, unit="backend servers", ge=1, le=1_000)
    """Maximum number of backend servers per model that the instance uses."""

    cache_half_life: float = setting(120.0, unit="s", ge=1, le=86_400)
    """Half-life of the weight of a prefix cache hint."""

    report_expiry: float = setting(10.0, unit="s", ge=0.5, le=600)
    """Age at which a load report expires and is ignored."""

    region_penalty: float = setting(200.0, unit="tokens", ge=0, le=1_000_000)
    """Cost of using another data centre in the same region, in equivalent prompt tokens."""

    remote_penalty: float = setting(2000.0, unit="tokens", ge=0, le=1_000_000)
    """Cost of using another region, in equivalent prompt tokens."""

    volume_price: float = setting(0.5, unit="tokens/token", ge=0, le=1_000)
    """Additional cost per expected output token that crosses regions."""

    poll_interval: float = setting(0.5, unit="s", ge=0.05, le=60)
    """Interval at which load reports are polled."""
