"""Load reports that are fetched from the engines."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.gateway.engine_look import EngineLook

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.engine_load import EngineLoad
    from sapphireledge.gateway.gateway_context import GatewayContext

__all__ = ["REPORT_TIMEOUT", "FetchedLooks"]

REPORT_TIMEOUT = 0.15
"""Seconds to wait for reports and cache listings: two round trips between regions and a margin."""


class FetchedLooks:
    """Fetches load reports and cache listings; implements `LookSource`."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context

    async def take(self, candidates: list[BackendServer]) -> EngineLook:
        """Fetches the reports of the candidates; those that send none are suspended.

        A single candidate is used without a report.

        Args:
            candidates: The engines, in order of preference.

        Returns:
            The reports that arrived in time.
        """
        context = self._context
        if len(candidates) < 2:
            return EngineLook(candidates, {})
        reports = await context.report_client.fetch_reports(candidates, REPORT_TIMEOUT)
        now = asyncio.get_running_loop().time()
        context.telemetry.record_look(len(candidates), len(reports))
        for server in candidates:
            report = reports.get(server.server_id)
            if report is None:
                context.registry.on_unreachable(now, server)
            elif self._remove_if_replaced(server, report):
                del reports[server.server_id]
        return EngineLook(candidates, reports)

    async def find_prompt_holders(
        self, admitted: AdmittedRequest, servers: Sequence[BackendServer]
    ) -> frozenset[str]:
        """Asks engines whether they have the prompt of a stream in their cache.

        Args:
            admitted: The request.
            servers: The engines.

        Returns:
            Ids of those that have it.
        """
        holders = await self._context.report_client.find_prompt_holders(
            servers, admitted.request.affinity, REPORT_TIMEOUT
        )
        self._context.telemetry.record_prompt_holders(admitted, holders, len(servers))
        return holders

    def _remove_if_replaced(self, server: BackendServer, report: EngineLoad) -> bool:
        """Removes an engine and returns True if another incarnation reports at its address."""
        if report.is_from(server):
            return False
        self._context.registry.remove(server.server_id)
        self._context.pool.drop(server.server_id)
        return True
