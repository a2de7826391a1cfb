"""Client of one instance of a plain service."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from sapphireledge.backends._private import read_reply, send_request
from sapphireledge.backends.broken import Broken
from sapphireledge.backends.service_answer import ServiceAnswer

if TYPE_CHECKING:
    from sapphireledge.backends.connection_pools import ConnectionPools

__all__ = ["ServiceClient"]


class ServiceClient:
    """Client of one instance of a plain service; never sends a non-idempotent call twice."""

    def __init__(self, address: str, pools: ConnectionPools) -> None:
        """Creates a client.

        Args:
            address: "host:port" of the service.
            pools: Connections shared by the clients of the instance.
        """
        self.address = address
        """"host:port" of the service."""

        self._base = f"http://{address}"
        self._pools = pools

    async def call(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        timeout: float,
        idempotent: bool = False,
    ) -> ServiceAnswer | Broken:
        """Makes one call.

        A non-idempotent call always opens a new connection: on a kept connection that the service
        closes at that moment, it could not be told whether the call was received.

        Args:
            method: HTTP method.
            path: Path with its query, from "/".
            headers: Header fields to send.
            body: Body, empty for none.
            timeout: Seconds for the whole answer after connecting.
            idempotent: Whether the call may be repeated by itself on a stale connection.

        Returns:
            The answer with any status, or Broken: ran NO if no byte was sent, otherwise UNKNOWN.
        """
        client = self._pools.calls if idempotent else self._pools.single_use
        response = await send_request(
            client,
            method,
            self._base + path,
            self._pools.connect_timeout,
            timeout,
            data=body,
            headers=dict(headers),
        )
        if isinstance(response, Broken):
            return response
        reply = await read_reply(response, timeout)
        if isinstance(reply, Broken):
            return reply
        names = {name.lower(): value for name, value in reply.headers.items()}
        return ServiceAnswer(reply.status, reply.body, names)
