"""Client for copies of running generations between engines."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.gateway.backend_response_error import BackendResponseError
from sapphireledge.gateway.copy_result import CopyResult

if TYPE_CHECKING:
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.connection_pool import ConnectionPool
    from sapphireledge.gateway.dialect import Dialect

__all__ = ["EngineCopyClient"]

MAX_RESPONSE_BYTES = 4_096
"""Largest response in bytes; it names one copy."""

SERVICE_UNAVAILABLE = 503
"""Status of a transfer for which the other engine has no room, or that does not reach it."""

COPY_TIMEOUT = 2.0
"""Seconds allowed for a transfer, which waits for those before it on the links of both engines."""

RELEASE_TIMEOUT = 0.3
"""Seconds allowed for giving a copy up; one that is not given up expires."""


class EngineCopyClient:
    """Asks engines to copy the memory of a running generation to another engine."""

    def __init__(self, pool: ConnectionPool, dialect: Dialect) -> None:
        """Creates a client.

        Args:
            pool: Connections to engines.
            dialect: Encoder and decoder of the platform's messages.
        """
        self._pool = pool
        self._dialect = dialect

    async def copy(
        self, source: BackendServer, request_id: str, holder: BackendServer
    ) -> CopyResult:
        """Copies what a generation has added since the last call, while it goes on.

        Args:
            source: Engine that runs the generation.
            request_id: Id of its request.
            holder: Engine that receives the copy.

        Returns:
            The result.
        """
        call = self._dialect.encode_copy_request(source, request_id, holder)
        try:
            async with asyncio.timeout(COPY_TIMEOUT):
                status, body = await self._call(source, *call)
        except (OSError, TimeoutError, BackendResponseError) as exc:
            return CopyResult(reason=repr(exc))
        handle = self._dialect.decode_copy(body) if status == 200 else ""
        if handle:
            return CopyResult(handle)
        return CopyResult(reason=f"status {status}", is_refused=status == SERVICE_UNAVAILABLE)

    async def release(self, source: BackendServer, handle: str) -> str:
        """Gives a copy up, so that it takes no memory at its holder.

        Args:
            source: Engine that made the copy.
            handle: Id of the copy.

        Returns:
            Reason of a failure, empty without one; the copy then expires.
        """
        call = self._dialect.encode_release_request(source, handle)
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT):
                status, _ = await self._call(source, *call)
        except (OSError, TimeoutError, BackendResponseError) as exc:
            return repr(exc)
        return "" if status < 300 else f"status {status}"

    async def _call(
        self,
        server: BackendServer,
        method: bytes,
        target: bytes,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> tuple[int, bytes]:
        """Sends a request and reads its complete response."""
        conn = await self._pool.acquire(server, at_most_once=False)
        is_complete = False
        try:
            conn.send(method, target, headers, body)
            head = await conn.read_head(self._dialect, "")
            data = await conn.read_body(MAX_RESPONSE_BYTES)
            is_complete = True
            return head.status, data
        finally:
            if is_complete:
                self._pool.release(server, conn)
            else:
                conn.abort()
