"""Server of the peer service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.peers.messages import PeerService
from sapphireledge.peers.peer_connection import PeerConnection
from sapphireledge.rpc import RpcLimits, ThriftServer

if TYPE_CHECKING:
    from sapphireledge.peers.heartbeat_receiver import HeartbeatReceiver
    from sapphireledge.peers.peer_handler import PeerHandler
    from sapphireledge.rpc import ConnectionLedgers
    from sapphireledge.settings import Settings

__all__ = ["PeerServer"]


class PeerServer(ThriftServer):
    """Accepts connections from peers."""

    def __init__(
        self,
        cfg: Settings,
        receiver: HeartbeatReceiver,
        handler: PeerHandler,
        ledgers: ConnectionLedgers | None = None,
    ) -> None:
        """Creates the server; `start` binds its port.

        Args:
            cfg: Settings of the instance.
            receiver: Receiver of heartbeats, usually the mesh.
            handler: Handler of all other calls.
            ledgers: Limits of all connections together.
        """
        super().__init__(
            PeerService,
            lambda _: PeerConnection(cfg.fleet_secret, receiver, handler),
            cfg.peer_address,
            cfg.fleet_secret,
            RpcLimits(max_message=cfg.peers.max_message),
            ledgers,
        )
