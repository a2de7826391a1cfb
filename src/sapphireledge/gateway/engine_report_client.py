"""Client for the load reports and cache listings of engines."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from sapphireledge.gateway.backend_response_error import BackendResponseError
from sapphireledge.gateway.gateway_event import GatewayEvent
from sapphireledge.gateway.latest_reports import LatestReports

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.connection_pool import ConnectionPool
    from sapphireledge.gateway.dialect import Dialect
    from sapphireledge.gateway.engine_load import EngineLoad

__all__ = ["EngineReportClient"]

MAX_REPORT_BYTES = 262_144
"""Largest report or cache listing in bytes; it has one short entry for each run or cached part of
an engine, and is decoded in one step."""


class EngineReportClient:
    """Queries engines for their load and their cached prompt parts.

    Engines charge for each report, so reports are fetched only when a decision needs them.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        dialect: Dialect,
        on_missing: Callable[[BackendServer], None] = lambda server: None,
    ) -> None:
        """Creates a client.

        Args:
            pool: Connections to the engines.
            dialect: Decoder of the platform's messages.
            on_missing: Called with an engine that sent no response in time.
        """
        self._pool = pool
        self._on_missing = on_missing
        self._dialect = dialect
        self.latest = LatestReports()
        """Reports that arrived last."""

    async def fetch_report(self, server: BackendServer, timeout: float) -> EngineLoad | None:
        """Fetches the load report of one engine.

        Args:
            server: Engine to query.
            timeout: Timeout in seconds.

        Returns:
            The report, or None if the engine sent no valid report in time.
        """
        body = await self._query(server, self._dialect.encode_report_request(server), timeout)
        report = None if body is None else self._dialect.decode_report(body)
        if report is not None:
            self.latest.put(asyncio.get_running_loop().time(), server, report)
        return report

    async def fetch_reports(
        self, servers: Sequence[BackendServer], timeout: float
    ) -> dict[str, EngineLoad]:
        """Fetches the load reports of several engines concurrently.

        Args:
            servers: Engines to query.
            timeout: Timeout in seconds for all of them.

        Returns:
            The reports received in time, by server id.
        """
        reports = await asyncio.gather(*(self.fetch_report(server, timeout) for server in servers))
        return {
            server.server_id: report
            for server, report in zip(servers, reports, strict=True)
            if report is not None
        }

    async def find_prompt_holders(
        self, servers: Sequence[BackendServer], part_id: str, timeout: float
    ) -> frozenset[str]:
        """Finds the engines that have a part of a prompt in their cache.

        Args:
            servers: Engines to query.
            part_id: Id of the prompt part.
            timeout: Timeout in seconds for all of them.

        Returns:
            Ids of the engines that hold the part.
        """
        bodies = await asyncio.gather(
            *(
                self._query(server, self._dialect.encode_cache_request(server), timeout)
                for server in servers
            )
        )
        return frozenset(
            server.server_id
            for server, body in zip(servers, bodies, strict=True)
            if body is not None and part_id in self._dialect.decode_cache(body)
        )

    async def _query(
        self,
        server: BackendServer,
        request: tuple[bytes, list[tuple[bytes, bytes]]],
        timeout: float,
    ) -> bytes | None:
        """Sends one request; returns None unless the engine responds with status 200 in time."""
        try:
            async with asyncio.timeout(timeout):
                return await self._request(server, *request)
        except (OSError, TimeoutError, BackendResponseError) as exc:
            structlog.get_logger().info(
                GatewayEvent.REPORT_MISSING, server=server.server_id, reason=repr(exc)
            )
            self._on_missing(server)
            return None

    async def _request(
        self, server: BackendServer, target: bytes, headers: list[tuple[bytes, bytes]]
    ) -> bytes | None:
        """Sends a request and reads its complete response; returns None for an error status."""
        conn = await self._pool.acquire(server, at_most_once=False)
        complete = False
        try:
            conn.send(b"GET", target, headers, b"")
            head = await conn.read_head(self._dialect, "")
            body = await conn.read_body(MAX_REPORT_BYTES)
            complete = True
            return body if head.status == 200 else None
        finally:
            if complete:
                self._pool.release(server, conn)
            else:
                conn.abort()
