"""Interface of the part that takes heartbeats."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from sapphireledge.errors import Failure

__all__ = ["HeartbeatReceiver"]


class HeartbeatReceiver(Protocol):
    """Takes what peers say about themselves."""

    def own_hello(self) -> Any:
        """Returns the Hello of this entry, without the secret."""
        ...

    def on_hello(self, hello: Any) -> None:
        """Takes the Hello of a peer that connected."""
        ...

    def on_heartbeat(self, hello: Any, heartbeat: Any) -> Any | Failure:
        """Takes a heartbeat.

        Args:
            hello: Hello of the connection.
            heartbeat: The Heartbeat.

        Returns:
            A HeartbeatReply, or a failure if a newer one or a newer incarnation is known.
        """
        ...
