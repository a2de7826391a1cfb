"""One kind of request that callers send."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from sapphireledge.settings._field import setting

__all__ = ["RequestKind"]


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class RequestKind:
    """One kind of request; lengths are drawn from log-normal distributions."""

    name: str = setting(..., min_length=1)
    """Name in the report."""

    rate: float = setting(..., unit="requests/s", ge=0, le=1_000_000)
    """Mean arrivals in the whole fleet."""

    is_stream: bool = setting(True)
    """Whether engines serve it; otherwise plain servers do."""

    rank: int = setting(0, ge=0, le=9)
    """Rank; 0 is the most urgent."""

    worth: float = setting(1.0, ge=0, le=1_000_000)
    """Worth of a request that is served on time, to its caller."""

    late_worth: float = setting(1.0, ge=0, le=1)
    """Part of the worth of a request that is served late."""

    prompt_tokens: int = setting(2_000, unit="tokens", ge=1, le=1_000_000)
    """Mean length of the prompt."""

    prompt_spread: float = setting(0.5, ge=0, le=5)
    """Standard deviation of the length of the prompt, as a fraction of the mean."""

    output_events: int = setting(150, unit="events", ge=1, le=1_000_000)
    """Mean length of the output, see `EngineSpec.event_tokens`."""

    output_spread: float = setting(0.5, ge=0, le=5)
    """Standard deviation of the length of the output, as a fraction of the mean."""

    target: float = setting(3.0, unit="s", ge=0.001, le=3_600)
    """Time to the first event, or to the whole response of a plain server."""

    patience: float = setting(12.0, unit="s", ge=0.001, le=3_600)
    """Time without an event after which the caller leaves."""

    time_limit: float = setting(30.0, unit="s", ge=0.001, le=36_000)
    """Time to the end of the response."""

    max_attempts: int = setting(5, unit="attempts", ge=1, le=100)
    """Attempts that an instance may make for one request."""

    calls: int = setting(4, unit="calls", ge=1, le=100)
    """Calls that the caller makes, the first one included, before it gives up."""

    workspaces: int = setting(50, unit="workspaces", ge=1, le=1_000_000)
    """Number of workspaces that send it."""

    heaviest_share: float = setting(0.0, ge=0, le=1)
    """Share of the requests that the first workspace sends in addition to its equal part."""

    prefixes: int = setting(0, unit="prefixes", ge=0, le=1_000_000)
    """Number of shared prefixes, 0 for none."""

    prefix_share: float = setting(0.5, ge=0, le=1)
    """Share of the prompt that is a shared prefix."""

    crashing_prefixes: int = setting(0, unit="prefixes", ge=0, le=1_000_000)
    """Number of the prefixes that end each engine that begins to answer a prompt with them."""

    clump: float = setting(1.0, unit="requests", ge=1, le=1_000)
    """Mean number of requests that arrive together from one data centre."""

    burst_at: float = setting(0.0, unit="s", ge=0, le=36_000)
    """Time at which a burst begins."""

    burst_time: float = setting(0.0, unit="s", ge=0, le=36_000)
    """Duration of the burst, 0 for none."""

    burst_factor: float = setting(1.0, ge=0, le=1_000)
    """Factor of the rate during the burst."""
