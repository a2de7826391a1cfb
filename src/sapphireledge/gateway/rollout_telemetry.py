"""Log lines and metrics of roll-outs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from sapphireledge.core.rollout import RolloutStage, RolloutState
from sapphireledge.gateway.gateway_event import GatewayEvent

if TYPE_CHECKING:
    from collections.abc import Collection

    from sapphireledge.core.rollout import AnswerQuality, RolloutDecision, RolloutOrder
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.gateway_metrics import GatewayMetrics
    from sapphireledge.gateway.stored_order import StoredOrder

__all__ = ["RolloutTelemetry"]


class RolloutTelemetry:
    """Writes a log line for each step of a roll-out and updates the metrics."""

    def __init__(self, metrics: GatewayMetrics) -> None:
        """Creates the telemetry.

        Args:
            metrics: Metrics of the process.
        """
        self._metrics = metrics
        self._log = structlog.get_logger()

    def record_answer(self, server: BackendServer, quality: AnswerQuality) -> None:
        """Counts the end of an attempt at a service whose version changes.

        Args:
            server: The server.
            quality: What the end says about its version.
        """
        self._metrics.version_answers.labels(server.service, server.version, quality.value).inc()

    def record_order(
        self, previous: StoredOrder | None, stored: StoredOrder, version_in_use: str | None
    ) -> None:
        """Logs that an order began, or that its status became final.

        Args:
            previous: Order of the service before, None without one.
            stored: The order.
            version_in_use: Version that takes requests beside the target.
        """
        order = stored.order
        is_known = previous is not None and previous.order.order_id == order.order_id
        if is_known and previous is not None and previous.state is stored.state:
            return
        fields = {"service": order.service, "target": order.target, "order": order.order_id}
        if stored.state is RolloutState.COMPLETED:
            self._log.info(GatewayEvent.ROLLOUT_COMPLETED, **fields)
        elif stored.state is RolloutState.ROLLED_BACK:
            self._log.warning(GatewayEvent.ROLLOUT_ROLLED_BACK, **fields)
        elif not is_known:
            self._log.info(
                GatewayEvent.ROLLOUT_STARTED,
                **fields,
                duration_s=order.duration,
                version_in_use=version_in_use,
                replaces=None if previous is None else previous.order.order_id,
            )

    def record_removed(self, stored: StoredOrder) -> None:
        """Logs that an order is gone.

        Args:
            stored: The order.
        """
        self._metrics.rollout_share.labels(stored.order.service).set(0.0)
        self._log.info(
            GatewayEvent.ROLLOUT_REMOVED,
            service=stored.order.service,
            target=stored.order.target,
            order=stored.order.order_id,
            state=stored.state,
        )

    def record_decision(
        self,
        service: str,
        order: RolloutOrder,
        previous: RolloutDecision | None,
        decision: RolloutDecision,
        heard: float,
    ) -> None:
        """Logs a step of a roll-out, or a verdict with its evidence.

        Args:
            service: Name of the service.
            order: The order.
            previous: Decision before, None for the first one.
            decision: The decision.
            heard: Seconds since orders and reports were last known to be current.
        """
        if previous is not None and _step(previous) == _step(decision):
            return
        self._metrics.rollout_share.labels(service).set(decision.share)
        is_bad = decision.stage is RolloutStage.STOPPED
        write = self._log.warning if is_bad else self._log.info
        write(
            GatewayEvent.ROLLOUT_CONDEMNED if is_bad else GatewayEvent.ROLLOUT_STEP,
            service=service,
            target=order.target,
            order=order.order_id,
            stage=decision.stage,
            share=round(decision.share, 3),
            proposed=decision.proposed,
            reason=decision.reason,
            heard_s=round(heard, 2),
            evidence={name: round(figure, 3) for name, figure in decision.evidence.items()},
        )

    def record_held(
        self, service: str, versions: Collection[str], version_in_use: str | None
    ) -> None:
        """Logs that servers of a version take no requests.

        Args:
            service: Name of the service.
            versions: Versions that are neither in use nor the target of an order.
            version_in_use: Version in use.
        """
        self._log.info(
            GatewayEvent.VERSION_HELD,
            service=service,
            versions=sorted(versions),
            version_in_use=version_in_use,
        )


def _step(decision: RolloutDecision) -> tuple[RolloutStage, float, RolloutState | None]:
    """Returns what a step of a roll-out is known by."""
    return decision.stage, round(decision.share, 2), decision.proposed
