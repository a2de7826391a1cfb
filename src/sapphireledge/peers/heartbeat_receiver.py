"""Interface of the receiver of heartbeats."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from sapphireledge.errors import Failure

__all__ = ["HeartbeatReceiver"]


class HeartbeatReceiver(Protocol):
    """Receives hellos and heartbeats from peers."""

    def own_hello(self) -> Any:
        """Returns the Hello of this entry, without the secret."""
        ...

    def on_hello(self, hello: Any) -> None:
        """Handles the Hello of a peer that connected."""
        ...

    def on_heartbeat(self, hello: Any, heartbeat: Any) -> Any | Failure:
        """Handles a heartbeat.

        Args:
            hello: Hello received on the same connection.
            heartbeat: The Heartbeat.

        Returns:
            A HeartbeatReply, or a Failure if a newer heartbeat or incarnation was already received.
        """
        ...
