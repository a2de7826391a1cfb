"""Settings of logs, metrics, traces and event segments."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from sapphireledge.settings._field import setting

__all__ = ["TelemetrySettings"]


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class TelemetrySettings:
    """Settings of logs, metrics, traces and event segments."""

    log_level: str = "info"
    """Lowest level that is logged: debug, info, warning or error."""

    statsd_host: str = ""
    """IP address of the statsd receiver; empty disables metrics."""

    statsd_port: int = setting(8125, ge=1, le=65_535)
    """UDP port of the statsd receiver."""

    trace_file: str = ""
    """File to which spans are written as JSON lines; empty disables it."""

    event_memory: int = setting(8_388_608, unit="bytes", ge=65_536, le=1_073_741_824)
    """Maximum memory for recorded events that are not yet written."""

    record_text: bool = False
    """Whether events contain the text of callers instead of its length and a keyed hash."""

    segment_interval: float = setting(10.0, unit="s", ge=0.5, le=3_600)
    """Minimum interval between the event segments of this instance."""

    segment_rate: float = setting(2.0, unit="writes/s", ge=0.01, le=100)
    """Maximum rate of segment writes of the entire fleet."""
