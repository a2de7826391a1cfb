"""Logs, metrics, traces and event segments."""

from __future__ import annotations

from sapphireledge.telemetry.configure_logging import configure_logging
from sapphireledge.telemetry.log_event import LogEvent
from sapphireledge.telemetry.metric_name import MetricName
from sapphireledge.telemetry.metrics import Metrics
from sapphireledge.telemetry.segment_writer import SEGMENT_PREFIX, SegmentWriter, segment_key
from sapphireledge.telemetry.tracing import Tracing

__all__ = [
    "SEGMENT_PREFIX",
    "LogEvent",
    "MetricName",
    "Metrics",
    "SegmentWriter",
    "Tracing",
    "configure_logging",
    "segment_key",
]
