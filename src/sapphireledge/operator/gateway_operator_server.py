"""Server of the operator interface of a gateway."""

from __future__ import annotations

from time import monotonic
from typing import TYPE_CHECKING

from sapphireledge.gateway import GatewayExplainer
from sapphireledge.limits import limit_reads
from sapphireledge.operator.gateway_operator_connection import GatewayOperatorConnection
from sapphireledge.operator.messages import OperatorService
from sapphireledge.rpc import RpcLimits, ThriftServer
from sapphireledge.settings import Address

if TYPE_CHECKING:
    import asyncio

    from sapphireledge.gateway import Gateway
    from sapphireledge.limits import CallerLedger

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
            ledger: Limits of all connections together.
        """
        explainer = GatewayExplainer(gateway)
        super().__init__(
            OperatorService,
            lambda _: GatewayOperatorConnection(secret, gateway, explainer),
            Address(host=host, port=port),
            secret,
            LIMITS,
        )
        self._ledger = ledger

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serves one connection until it ends or gives way to another one."""
        limit_reads(writer, MAX_READ)
        account = self._ledger.open(monotonic(), lambda reason: writer.transport.abort())
        if account is None:
            writer.transport.abort()
            return
        try:
            await super()._serve(reader, writer)
        finally:
            account.close()
