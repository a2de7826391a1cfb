"""Log lines and metrics of streams that go on at the version that began them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from sapphireledge.core.continuation import TakeUpDecision
from sapphireledge.gateway.gateway_event import GatewayEvent

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sapphireledge.core.continuation import ContinuationRule
    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.gateway_metrics import GatewayMetrics

__all__ = ["ContinuationTelemetry"]


class ContinuationTelemetry:
    """Logs and counts at which version streams go on, and which ones cannot."""

    def __init__(self, metrics: GatewayMetrics) -> None:
        """Creates the telemetry.

        Args:
            metrics: Metrics of the process.
        """
        self._metrics = metrics
        self._log = structlog.get_logger()

    def record_take_up(
        self,
        admitted: AdmittedRequest,
        rule: ContinuationRule | None,
        servers: Mapping[str, int],
        decision: TakeUpDecision,
        waited: float,
    ) -> None:
        """Logs and counts a stream that its caller takes up.

        Args:
            admitted: The request.
            rule: Servers at which it may go on, None if the version that began it is not known.
            servers: Servers that take requests, by version.
            decision: The decision.
            waited: Seconds for which the version was looked for.
        """
        self._metrics.continuations.labels("take_up", decision.value).inc()
        self._log.info(
            GatewayEvent.TAKE_UP_DECIDED,
            request_id=admitted.request.request_id,
            resumes=admitted.request.resumes,
            last_event=admitted.request.last_event,
            service=admitted.service.name,
            version=None if rule is None else rule.version,
            withdrawn=rule is not None and rule.is_withdrawn,
            servers=dict(servers),
            decision=decision.value,
            waited_s=round(waited, 3),
        )

    def record_gone(
        self, admitted: AdmittedRequest, rule: ContinuationRule, delivered: int
    ) -> None:
        """Logs and counts a stream that cannot go on after an attempt.

        Args:
            admitted: The request.
            rule: Servers at which it may go on, of which there are none.
            delivered: Events that were delivered in this answer.
        """
        self._metrics.continuations.labels("answer", TakeUpDecision.GONE.value).inc()
        self._log.info(
            GatewayEvent.STREAM_VERSION_GONE,
            request_id=admitted.request.request_id,
            service=admitted.service.name,
            version=rule.version,
            withdrawn=rule.is_withdrawn,
            delivered=delivered,
        )

    def record_resume(self) -> None:
        """Counts a stream that goes on at its version within its answer."""
        self._metrics.continuations.labels("answer", TakeUpDecision.CONTINUED.value).inc()
