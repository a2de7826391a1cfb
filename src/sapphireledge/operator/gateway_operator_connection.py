"""Handler of the operator service for one connection to a gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.errors import ErrorKind, Failure
from sapphireledge.operator.answer_explain import answer_explain
from sapphireledge.operator.messages import EntryStatus, Status
from sapphireledge.operator.to_exception import check_hello, to_exception

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from sapphireledge.gateway import Gateway
    from sapphireledge.operator.explainer import Explainer
    from sapphireledge.operator.operator_place import OperatorPlace

__all__ = ["GatewayOperatorConnection"]


class GatewayOperatorConnection:
    """Serves the calls that make sense at a gateway, and refuses the others."""

    def __init__(
        self, secret: str, gateway: Gateway, explainer: Explainer, place: OperatorPlace
    ) -> None:
        """Creates the handler of one connection.

        Args:
            secret: Secret of the operators.
            gateway: The gateway.
            explainer: Explains requests of the gateway.
            place: Place of the connection.
        """
        self._secret = secret
        self._gateway = gateway
        self._explainer = explainer
        self._place = place

    async def hello(self, secret: str, who: str) -> None:
        """Authenticates the connection."""
        check_hello(self._secret, secret, who)
        if not self._place.authenticate():
            reason = "questions of other operators are being answered on all connections"
            raise to_exception(Failure(ErrorKind.OVERLOADED, reason))

    async def explain(self, request: Any) -> Any:
        """Explains where a request would go now, without sending it."""
        with self._place.serve():
            return await answer_explain(self._explainer, self._gateway.cfg.instance, request)

    async def status(self) -> Any:
        """Reports the state of this instance; other instances and servers are not listed."""
        gateway, table = self._gateway, self._gateway.config.table
        version = 0 if table is None else table.version
        entry = EntryStatus(
            instance=gateway.cfg.instance,
            data_centre=gateway.cfg.data_centre,
            region="",
            state=_name_state(gateway),
            config_version=version,
            highest_version=version,
            reachable=True,
            requests_running=gateway.in_flight,
            requests_queued=gateway.selector.waiting,
        )
        is_current = gateway.config.age < gateway.cfg.max_config_age
        return Status(
            entries=[entry], backends=[], ranks=[], workspaces=[], platform_reachable=is_current
        )

    def __getattr__(self, name: str) -> Callable[..., Any]:
        """Returns a method that refuses every other call of the service."""
        if name.startswith("_"):
            raise AttributeError(name)

        async def refuse(*args: Any) -> Any:
            """Refuses the call."""
            reason = f"{name}: is not served by a gateway; explain and status are"
            raise to_exception(Failure(ErrorKind.FORBIDDEN, reason))

        return refuse


def _name_state(gateway: Gateway) -> str:
    """Names the state of a gateway as for an instance of the own interface."""
    if gateway.context.is_stopping():
        return "draining"
    return "ready" if gateway.is_ready else "starting"
