"""Log lines and metrics of the versions that began streams."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from sapphireledge.gateway.gateway_event import GatewayEvent

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sapphireledge.gateway.gateway_metrics import GatewayMetrics

__all__ = ["OriginTelemetry"]


class OriginTelemetry:
    """Writes a log line when versions begin or end to be mixed, and updates the metrics."""

    def __init__(self, metrics: GatewayMetrics) -> None:
        """Creates the telemetry.

        Args:
            metrics: Metrics of the process.
        """
        self._metrics = metrics
        self._log = structlog.get_logger()

    def record_mixed(
        self, previous: Mapping[str, frozenset[str]], mixed: Mapping[str, frozenset[str]]
    ) -> None:
        """Logs the services of which several versions served lately, from now on or no more.

        Args:
            previous: Versions of the services of which several had served lately.
            mixed: Versions of those of which several have now.
        """
        for service, versions in mixed.items():
            if versions != previous.get(service):
                self._log.info(
                    GatewayEvent.VERSIONS_MIXED, service=service, versions=sorted(versions)
                )
        for service in previous.keys() - mixed.keys():
            self._log.info(GatewayEvent.VERSIONS_UNMIXED, service=service)
        self._metrics.mixed_services.set(len(mixed))

    def record_lookup(self, source: str) -> None:
        """Counts a take-up by how the version that began its stream was found.

        Args:
            source: "own", "shared", "only_version" or "unknown".
        """
        self._metrics.origin_lookups.labels(source).inc()

    def record_written(self, count: int) -> None:
        """Counts origins that were written to the store for the first time.

        Args:
            count: Their number.
        """
        self._metrics.stream_origins.labels("written").inc(count)

    def record_read(self, count: int) -> None:
        """Counts origins that other instances have written.

        Args:
            count: Their number.
        """
        self._metrics.stream_origins.labels("read").inc(count)
