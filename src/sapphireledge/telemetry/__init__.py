"""Logs, metrics, traces and event segments."""

from __future__ import annotations

from sapphireledge.telemetry.configure_logging import configure_logging
from sapphireledge.telemetry.log_event import LogEvent

__all__ = ["LogEvent", "configure_logging"]
