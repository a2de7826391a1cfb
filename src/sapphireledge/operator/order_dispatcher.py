"""Sends operators' orders to engines."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sapphireledge.core.fleet import Order, OrderAction
from sapphireledge.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from typing import Any

    from sapphireledge.core.config import ConfigState
    from sapphireledge.core.routing import BackendView
    from sapphireledge.fleet import FleetController

__all__ = ["DispatchResult", "OrderDispatcher"]

REQUIRED_FIELDS: dict[OrderAction, tuple[str, ...]] = {
    OrderAction.LOAD_MODEL: ("model", "version"),
    OrderAction.UNLOAD_MODEL: ("model", "version"),
    OrderAction.LOAD_ADAPTER: ("model", "version", "adapter"),
    OrderAction.UNLOAD_ADAPTER: ("model", "version", "adapter"),
    OrderAction.SET_ROLE: ("role",),
}
"""Fields of an OrderRequest that each action requires."""


@dataclass(frozen=True, slots=True)
class DispatchResult:
    """Result of an operator's order."""

    fencing_number: int
    """Fencing number of the lease when the order ended; 0 if the lease was lost meanwhile."""

    outcome: str
    """A value of `OrderOutcome`, as text for the message."""

    reason: str
    """Reason why the order was refused or got no answer; empty otherwise."""


class OrderDispatcher:
    """Validates operators' orders and sends them if this instance holds the lease."""

    def __init__(self, controller: FleetController, view: BackendView, config: ConfigState) -> None:
        """Creates the dispatcher.

        Args:
            controller: Holds the lease and sends orders in this data centre.
            view: State of the backend servers.
            config: Declarations in force.
        """
        self._controller = controller
        self._view = view
        self._config = config

    async def send(self, request: Any) -> DispatchResult | Failure:
        """Validates and sends one order.

        Args:
            request: An OrderRequest message.

        Returns:
            The result; or a failure, CONFLICT with the name of the holder if another instance holds
            the lease.
        """
        order = self._parse_order(request)
        if isinstance(order, Failure):
            return order
        reply = await self._controller.order(order)
        if isinstance(reply, Failure):
            return reply
        number = self._controller.lease.fencing_number
        return DispatchResult(number, str(reply.outcome), reply.reason)

    def _parse_order(self, request: Any) -> Order | Failure:
        """Validates the message and converts it to an order."""
        try:
            action = OrderAction(request.action or "")
        except ValueError:
            allowed = ", ".join(OrderAction)
            reason = f"action: {request.action!r} is not one of {allowed}"
            return Failure(ErrorKind.INVALID_REQUEST, reason)
        for field in REQUIRED_FIELDS[action]:
            if not getattr(request, field):
                return Failure(ErrorKind.INVALID_REQUEST, f"{field}: is required for {action}")
        if self._view.state(request.backend or "") is None:
            reason = f"backend: {request.backend!r} is not in the instance list"
            return Failure(ErrorKind.NOT_FOUND, reason)
        deployment = self._config.index.deployment_for(request.model or "")
        return Order(
            engine=request.backend,
            action=action,
            model=request.model or "",
            version=request.version or "",
            adapter=request.adapter or "",
            role=request.role or "",
            checks_fencing=deployment is not None and deployment.checks_fencing,
        )
