"""Client for copies of running generations between engines."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING
from weakref import WeakKeyDictionary

from sapphireledge.gateway.backend_response_error import BackendResponseError
from sapphireledge.gateway.copy_result import CopyResult

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from sapphireledge.gateway.backend_connection import BackendConnection
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


MAX_HANDLES = 64
"""Copies that are made on one connection before it is closed."""


class EngineCopyClient:
    """Asks engines to copy the memory of a running generation to another engine.

    Responses have no ids. The handle of a copy is that of one generation, so a response with a
    handle that its connection has brought for another generation is a late copy, and so may be one
    without a handle. Such a response costs the connection, and the call is made on a new one.
    """

    def __init__(self, pool: ConnectionPool, dialect: Dialect) -> None:
        """Creates a client.

        Args:
            pool: Connections to engines.
            dialect: Encoder and decoder of the platform's messages.
        """
        self._pool = pool
        self._dialect = dialect
        self._handles: WeakKeyDictionary[BackendConnection, dict[str, str]] = WeakKeyDictionary()

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
                conn = await self._pool.acquire(source, at_most_once=False, checks_body=True)
                result = await self._copy_on(conn, source, request_id, call)
                if result is None:
                    conn = await self._pool.open(source)
                    result = await self._copy_on(conn, source, request_id, call)
        except (OSError, TimeoutError, BackendResponseError) as exc:
            return CopyResult(reason=repr(exc))
        return result or CopyResult(reason="the response may be the one to another call")

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
                conn = await self._pool.acquire(source, at_most_once=False)
                async with self._returned_after(conn, source):
                    conn.send(*call)
                    head = await conn.read_head(self._dialect, "")
                    await conn.read_body(MAX_RESPONSE_BYTES)
        except (OSError, TimeoutError, BackendResponseError) as exc:
            return repr(exc)
        return "" if head.status < 300 else f"status {head.status}"

    async def _copy_on(
        self,
        conn: BackendConnection,
        source: BackendServer,
        request_id: str,
        call: tuple[bytes, bytes, list[tuple[bytes, bytes]], bytes],
    ) -> CopyResult | None:
        """Makes a copy on a connection; returns None if the response may be that to another call.

        Such a connection is closed.
        """
        can_have_late_copy = not conn.identifies_responses
        handles = self._handles.setdefault(conn, {})
        async with self._returned_after(conn, source):
            conn.send(*call)
            head = await conn.read_head(self._dialect, "", checks_body=True)
            body = await conn.read_body(MAX_RESPONSE_BYTES)
            handle = self._dialect.decode_copy(body) if head.status == 200 else ""
            if handle:
                is_own = handles.setdefault(handle, request_id) == request_id
            else:
                is_own = not can_have_late_copy
            conn.must_close |= not is_own or len(handles) >= MAX_HANDLES
        if not is_own:
            return None
        if handle:
            return CopyResult(handle)
        is_refused = head.status == SERVICE_UNAVAILABLE
        return CopyResult(reason=f"status {head.status}", is_refused=is_refused)

    @asynccontextmanager
    async def _returned_after(
        self, conn: BackendConnection, server: BackendServer
    ) -> AsyncIterator[None]:
        """Returns a connection to the pool after a complete response, and closes it otherwise."""
        try:
            yield
        except BaseException:
            conn.abort()
            raise
        self._pool.release(server, conn)
