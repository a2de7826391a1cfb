"""Logs, metrics, traces and event segments."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from sapphireledge.settings._field import setting

__all__ = ["TelemetrySettings"]


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class TelemetrySettings:
    """Logs, metrics, traces and event segments."""

    log_level: str = "info"
    """Lowest level that is logged: debug, info, warning or error."""

    statsd_host: str = ""
    """IP number of the statsd receiver; empty switches metrics off."""

    statsd_port: int = setting(8125, ge=1, le=65_535)
    """UDP port of the statsd receiver."""

    trace_file: str = ""
    """File that receives spans as JSON lines; empty switches it off."""

    event_memory: int = setting(8_388_608, unit="bytes", ge=65_536, le=1_073_741_824)
    """Memory bound of recorded events."""

    record_text: bool = False
    """Whether events hold the text of callers instead of its length and a keyed hash."""

    segment_interval: float = setting(10.0, unit="s", ge=0.5, le=3_600)
    """Shortest interval between event segments."""

    segment_rate: float = setting(2.0, unit="writes/s", ge=0.01, le=100)
    """Segment writes of the whole fleet."""
