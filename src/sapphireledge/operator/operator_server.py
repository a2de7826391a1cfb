"""Server of the operator interface."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.operator.messages import OperatorService
from sapphireledge.operator.operator_connection import OperatorConnection
from sapphireledge.rpc import RpcLimits, ThriftServer

if TYPE_CHECKING:
    from sapphireledge.operator.operator_parts import OperatorParts
    from sapphireledge.rpc import ConnectionLedgers
    from sapphireledge.settings import Settings

__all__ = ["OperatorServer"]


class OperatorServer(ThriftServer):
    """Accepts the connections of operators."""

    def __init__(
        self, cfg: Settings, parts: OperatorParts, ledgers: ConnectionLedgers | None = None
    ) -> None:
        """Creates the server without binding its address.

        Args:
            cfg: Settings of the instance.
            parts: Components that the operator interface uses.
            ledgers: Limits of all connections together.
        """
        super().__init__(
            OperatorService,
            lambda _: OperatorConnection(parts),
            cfg.operator_address,
            parts.secret,
            RpcLimits(max_message=cfg.peers.max_message),
            ledgers,
        )
