"""Metrics sent to statsd."""

from __future__ import annotations

from typing import TYPE_CHECKING

import statsd

if TYPE_CHECKING:
    from sapphireledge.settings import Settings
    from sapphireledge.telemetry.metric_name import MetricName

__all__ = ["Metrics"]


class Metrics:
    """Sends counters, timers and gauges over UDP, so that no request waits for the receiver."""

    def __init__(self, cfg: Settings) -> None:
        """Opens the UDP socket unless metrics are disabled.

        Args:
            cfg: Settings of the instance.
        """
        self._client: statsd.StatsClient | None = None
        if cfg.telemetry.statsd_host:
            self._client = statsd.StatsClient(
                host=cfg.telemetry.statsd_host,
                port=cfg.telemetry.statsd_port,
                prefix=f"sapphireledge.{_escape_part(cfg.data_centre)}.{_escape_part(cfg.instance)}",
            )

    def count(self, name: MetricName, amount: int = 1, tag: str = "") -> None:
        """Adds to a counter.

        Args:
            name: Name of the metric.
            amount: Amount to add.
            tag: Last part of the name, such as a rank.
        """
        if self._client is not None:
            self._client.incr(_stat_name(name, tag), amount)

    def time(self, name: MetricName, seconds: float, tag: str = "") -> None:
        """Records a duration.

        Args:
            name: Name of the metric.
            seconds: Duration in seconds; sent in milliseconds.
            tag: Last part of the name, such as a rank.
        """
        if self._client is not None:
            self._client.timing(_stat_name(name, tag), seconds * 1000.0)

    def gauge(self, name: MetricName, value: float, tag: str = "") -> None:
        """Sets a gauge.

        Args:
            name: Name of the metric.
            value: Current value.
            tag: Last part of the name, such as a rank.
        """
        if self._client is not None:
            self._client.gauge(_stat_name(name, tag), value)


def _escape_part(part: str) -> str:
    """Replaces the characters that have a meaning in a statsd line."""
    return part.replace(".", "_").replace(":", "_").replace("|", "_")


def _stat_name(name: MetricName, tag: str) -> str:
    """Appends the tag, if any, to the name of the metric."""
    return f"{name}.{_escape_part(tag)}" if tag else str(name)
