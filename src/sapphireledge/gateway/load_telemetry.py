"""Logging and metrics of the load that instances share."""

from __future__ import annotations

from math import inf
from time import monotonic
from typing import TYPE_CHECKING

import structlog

from sapphireledge.gateway.gateway_event import GatewayEvent
from sapphireledge.limits import LimitLog

if TYPE_CHECKING:
    from sapphireledge.core.shared_load import LoadSummary, SharedLoad
    from sapphireledge.gateway.gateway_metrics import GatewayMetrics

__all__ = ["LoadTelemetry"]

LOG_INTERVAL = 30.0
"""Seconds between two lines about the load of other instances."""


class LoadTelemetry:
    """Logging and metrics of the load that instances share."""

    def __init__(self, metrics: GatewayMetrics) -> None:
        self._metrics = metrics
        self._logged_at = -inf
        self._limit_log = LimitLog()
        self._log = structlog.get_logger()

    def watch(self, shared: SharedLoad) -> None:
        """Shows the age and the number of the figures of other instances in the metrics.

        Args:
            shared: Load that the other instances of the data centre have seen.
        """
        self._metrics.shared_load_age.set_function(lambda: shared.age(monotonic()))
        self._metrics.shared_load_instances.set_function(
            lambda: shared.summary(monotonic()).instances
        )

    def record_sent(self, size: int) -> None:
        """Counts load figures that were sent.

        Args:
            size: Their size in bytes.
        """
        self._metrics.shared_load_bytes.labels("sent").inc(size)

    def record_received(self, size: int, summary: LoadSummary) -> None:
        """Counts load figures that were received; logs a summary now and then.

        Args:
            size: Their size in bytes.
            summary: What is known of the other instances.
        """
        self._metrics.shared_load_bytes.labels("received").inc(size)
        now = monotonic()
        if now < self._logged_at + LOG_INTERVAL:
            return
        self._logged_at = now
        self._log.info(
            GatewayEvent.LOAD_SHARED,
            instances=summary.instances,
            age_s=round(summary.age, 3) if summary.instances else None,
            bytes=size,
            is_relay=summary.is_relay,
            workspaces=summary.workspaces,
            rejections=round(summary.rejections, 1),
        )

    def record_unreadable(self, reason: str) -> None:
        """Logs load figures that cannot be used.

        Args:
            reason: Why.
        """
        count = self._limit_log.count(monotonic(), GatewayEvent.LOAD_UNREADABLE)
        if count:
            self._log.warning(GatewayEvent.LOAD_UNREADABLE, reason=reason, count=count)
