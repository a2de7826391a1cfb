"""Server of the operator interface of a gateway."""

from __future__ import annotations

import asyncio
from time import monotonic
from typing import TYPE_CHECKING

from sapphireledge.gateway import GatewayExplainer
from sapphireledge.limits import CallerLedger, limit_reads
from sapphireledge.operator.gateway_operator_connection import GatewayOperatorConnection
from sapphireledge.operator.messages import OperatorService
from sapphireledge.operator.operator_place import OperatorPlace
from sapphireledge.operator.paced_explainer import PacedExplainer
from sapphireledge.rpc import RpcLimits, ThriftServer
from sapphireledge.settings import Address

if TYPE_CHECKING:
    from sapphireledge.gateway import Gateway
    from sapphireledge.limits import LimitReason

__all__ = ["GatewayOperatorServer"]

LIMITS = RpcLimits(max_message=65_536, max_hello=4_096, idle_timeout=30.0, max_connections=64)
"""Limits of each connection; a question is short."""

MAX_READ = 65_536
"""Largest number of bytes that one read of a connection takes from the kernel."""


class GatewayOperatorServer(ThriftServer):
    """Accepts the connections of operators within the limits of a machine that serves callers."""

    def __init__(
        self, host: str, port: int, secret: str, gateway: Gateway, ledger: CallerLedger
    ) -> None:
        """Creates the server without binding its address.

        Args:
            host: IP address to listen on.
            port: TCP port, 0 to let the operating system choose one.
            secret: Secret of the operators.
            gateway: The gateway.
            ledger: Limits of all connections that have not presented the secret. As many others
                have places of their own.
        """
        self.explainer = PacedExplainer(GatewayExplainer(gateway))
        """Answers the questions of all connections."""

        self._gateway = gateway
        super().__init__(
            OperatorService,
            self._create_handler,
            Address(host=host, port=port),
            secret,
            LIMITS,
        )
        self._ledger = ledger
        self._authenticated = CallerLedger(ledger.limits, ledger.on_limited)
        self._places: dict[asyncio.Task[None], OperatorPlace] = {}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection until it ends or gives way to another one."""
        limit_reads(writer, MAX_READ)

        def evict(reason: LimitReason) -> None:
            writer.transport.abort()

        account, task = self._ledger.open(monotonic(), evict), asyncio.current_task()
        if account is None or task is None:
            writer.transport.abort()
            return
        place = self._places[task] = OperatorPlace(account, self._authenticated, evict)
        try:
            await super()._serve(reader, writer)
        finally:
            del self._places[task]
            place.close()

    def _create_handler(self, peer: str) -> GatewayOperatorConnection:
        """Creates the handler of the connection that the current task serves."""
        task = asyncio.current_task()
        if task is None:
            raise RuntimeError("a connection is served by a task")
        return GatewayOperatorConnection(
            self._secret, self._gateway, self.explainer, self._places[task]
        )
