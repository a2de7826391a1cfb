"""Reports of engines, read when a decision needs them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from sapphireledge.gateway.backend_response_error import BackendResponseError
from sapphireledge.gateway.gateway_event import GatewayEvent

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.connection_pool import ConnectionPool
    from sapphireledge.gateway.dialect import Dialect
    from sapphireledge.gateway.engine_load import EngineLoad

__all__ = ["EngineReportClient"]


class EngineReportClient:
    """Asks engines for their load; each report is charged, so it is asked on demand."""

    def __init__(self, pool: ConnectionPool, dialect: Dialect) -> None:
        self._pool = pool
        self._dialect = dialect

    async def fetch_report(self, server: BackendServer, limit: float) -> EngineLoad | None:
        """Reads one report.

        Args:
            server: Engine.
            limit: Seconds to wait.

        Returns:
            The report, or None if the engine did not answer in time.
        """
        body = await self._read(server, self._dialect.encode_report_request(server), limit)
        return None if body is None else self._dialect.decode_report(body)

    async def fetch_reports(
        self, servers: Sequence[BackendServer], limit: float
    ) -> dict[str, EngineLoad]:
        """Reads several reports at the same time.

        Args:
            servers: Engines.
            limit: Seconds to wait for all of them.

        Returns:
            The reports that came, by identity.
        """
        reports = await asyncio.gather(*(self.fetch_report(server, limit) for server in servers))
        return {
            server.server_id: report
            for server, report in zip(servers, reports, strict=True)
            if report is not None
        }

    async def find_prompt_holders(
        self, servers: Sequence[BackendServer], part: str, limit: float
    ) -> frozenset[str]:
        """Finds the engines that keep a part of a prompt.

        Args:
            servers: Engines to ask.
            part: Identity of the part.
            limit: Seconds to wait for all of them.

        Returns:
            Identities of the engines that keep it.
        """
        bodies = await asyncio.gather(
            *(
                self._read(server, self._dialect.encode_cache_request(server), limit)
                for server in servers
            )
        )
        return frozenset(
            server.server_id
            for server, body in zip(servers, bodies, strict=True)
            if body is not None and part in self._dialect.decode_cache(body)
        )

    async def _read(
        self, server: BackendServer, request: tuple[bytes, list[tuple[bytes, bytes]]], limit: float
    ) -> bytes | None:
        """Makes one exchange; None stands for an engine that does not answer well in time."""
        try:
            async with asyncio.timeout(limit):
                return await self._request(server, *request)
        except (OSError, TimeoutError, BackendResponseError) as exc:
            structlog.get_logger().info(
                GatewayEvent.REPORT_MISSING, server=server.server_id, reason=repr(exc)
            )
            return None

    async def _request(
        self, server: BackendServer, target: bytes, headers: list[tuple[bytes, bytes]]
    ) -> bytes | None:
        """Sends a request and reads its whole answer."""
        conn = await self._pool.acquire(server, at_most_once=False)
        done = False
        try:
            conn.send(b"GET", target, headers, b"")
            head = await conn.read_head(self._dialect, "")
            body = bytearray()
            while (part := await conn.read_chunk()) is not None:
                body += part
            done = True
            return bytes(body) if head.status == 200 else None
        finally:
            if done:
                self._pool.release(server, conn)
            else:
                conn.abort()
