"""Adapter between the fleet controller, the engines and the view of their state."""

from __future__ import annotations

import math
import time
import uuid
from typing import TYPE_CHECKING

from sapphireledge.backends import EngineOrder, OrderStatus
from sapphireledge.core.fleet import EngineState, ModelVersion, OrderOutcome, OrderReply
from sapphireledge.fleet import FleetSnapshot

if TYPE_CHECKING:
    from sapphireledge.core.config import ConfigState
    from sapphireledge.core.fleet import Order
    from sapphireledge.core.routing import BackendState, BackendView
    from sapphireledge.entry.backend_pool import BackendPool
    from sapphireledge.settings import Settings

__all__ = ["EngineOrders"]

ORDER_OUTCOMES = {
    OrderStatus.DONE: OrderOutcome.DONE,
    OrderStatus.REFUSED: OrderOutcome.REFUSED,
    OrderStatus.OLD_FENCING: OrderOutcome.FENCED,
    OrderStatus.UNKNOWN: OrderOutcome.NO_ANSWER,
}
"""Planner outcome of each engine client status."""


class EngineOrders:
    """Implements `OrderSender`, and provides the state of the engines of the local data centre."""

    def __init__(
        self, cfg: Settings, view: BackendView, pool: BackendPool, config: ConfigState
    ) -> None:
        """Creates the adapter.

        Args:
            cfg: Settings of the instance.
            view: View of the backend servers.
            pool: Provides the engine clients.
            config: Declarations in force.
        """
        self._cfg = cfg
        self._view = view
        self._pool = pool
        self._config = config

    async def send(self, order: Order, fencing_number: int) -> OrderReply:
        """Sends one order, see `OrderSender`."""
        state = self._view.state(order.engine)
        if state is None:
            return OrderReply(OrderOutcome.REFUSED, f"{order.engine} is not in the instance list")
        result = await self._pool.get_client(state.instance.address).order(
            EngineOrder(
                order_id=uuid.uuid4().hex,
                kind=order.action,
                fencing=fencing_number,
                model=order.model,
                version=order.version,
                adapter=order.adapter,
                role=order.role,
            ),
            self._cfg.fleet.order_timeout,
        )
        outcome = ORDER_OUTCOMES[result.status]
        if outcome is OrderOutcome.DONE and not result.changed:
            outcome = OrderOutcome.UNCHANGED
        return OrderReply(outcome, result.detail)

    def build_fleet_snapshot(self) -> FleetSnapshot:
        """Builds the snapshot of the local data centre for the fleet controller.

        Returns:
            Current engine reports, declared deployments and the demand for engines.
        """
        now = time.monotonic()
        states = [state for state in self._view.states() if self._is_available(now, state)]
        deployments = tuple(self._config.deployments.values())
        return FleetSnapshot(
            deployments=deployments,
            engines=tuple(_to_engine_state(state) for state in states),
            demand={d.name: self._estimate_demand(d.model, states) for d in deployments},
        )

    def _is_available(self, now: float, state: BackendState) -> bool:
        """Whether an engine is local, reachable, not leaving, and has a current load report."""
        report = state.report
        return (
            report is not None
            and not state.leaving
            and state.unreachable_since is None
            and state.instance.data_centre == self._cfg.data_centre
            and now - report.as_of <= self._cfg.routing.report_expiry
        )

    @staticmethod
    def _estimate_demand(model: str, states: list[BackendState]) -> float:
        """Estimates the number of engines that the current load of a model keeps busy."""
        serving = [s for s in states if s.report and any(m.model == model for m in s.report.models)]
        slots = sum(state.slots for state in serving)
        if not slots:
            return 0.0
        load = sum(state.load for state in serving)
        return float(math.ceil(load * len(serving) / slots))


def _to_engine_state(state: BackendState) -> EngineState:
    """Converts the view's state into the planner's representation."""
    report = state.report
    assert report is not None
    models = frozenset(ModelVersion(m.model, m.version) for m in report.models)
    return EngineState(
        name=state.instance.name,
        role=report.role,
        models=models,
        running=models if state.load else frozenset(),
        adapters=frozenset(report.adapters),
    )
