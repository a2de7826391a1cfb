"""Client of one instance of a plain service."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from sapphireledge.backends._private import CALL_ID, read_reply, send_request
from sapphireledge.backends.call_failure import CallFailure
from sapphireledge.backends.service_response import ServiceResponse

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
    ) -> ServiceResponse | CallFailure:
        """Makes one call.

        A non-idempotent call always opens a new connection. If the service closed a reused
        connection at that moment, it would be unknown whether the call was received.

        Args:
            method: HTTP method.
            path: Path and query, starting with "/".
            headers: Header fields to send.
            body: Request body, empty for none.
            timeout: Seconds from the first byte sent to the response header; the body gets as long.
            idempotent: Whether the call may be retried automatically on a stale connection.

        Returns:
            The response with any status, or CallFailure with ran NO if no byte was sent, else
            UNKNOWN.
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
        if isinstance(response, CallFailure):
            return response
        reply = await read_reply(response, timeout)
        if isinstance(reply, CallFailure):
            return reply
        names = {name.lower(): value for name, value in reply.headers.items()}
        names.pop(CALL_ID.lower(), None)
        return ServiceResponse(reply.status, reply.body, names)
