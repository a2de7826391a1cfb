"""Logs, metrics and traces."""

from __future__ import annotations

from sapphireledge.telemetry.configure_logging import configure_logging
from sapphireledge.telemetry.log_event import LogEvent
from sapphireledge.telemetry.metric_name import MetricName
from sapphireledge.telemetry.metrics import Metrics
from sapphireledge.telemetry.tracing import Tracing

__all__ = [
    "LogEvent",
    "MetricName",
    "Metrics",
    "Tracing",
    "configure_logging",
]
