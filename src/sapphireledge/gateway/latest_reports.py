"""Load reports of engines that arrived last at this instance."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.engine_load import EngineLoad

__all__ = ["LatestReports"]

MAX_REPORTS = 512
"""Engines of which a report is kept; the oldest report is dropped first."""


class LatestReports:
    """Keeps the latest report of each engine, for operators; no request is placed by it."""

    def __init__(self) -> None:
        self.is_enabled = False
        """Whether reports are kept; only operators need them."""

        self._reports: OrderedDict[tuple[str, int], tuple[float, EngineLoad]] = OrderedDict()

    def put(self, now: float, server: BackendServer, report: EngineLoad) -> None:
        """Keeps a report, unless nobody asks for it or another incarnation sent it.

        Args:
            now: Event loop time in seconds.
            server: Engine that sent it.
            report: The report.
        """
        if not self.is_enabled or not report.is_from(server):
            return
        incarnation = (server.server_id, server.started_at_ms)
        self._reports[incarnation] = (now, report)
        self._reports.move_to_end(incarnation)
        if len(self._reports) > MAX_REPORTS:
            self._reports.popitem(last=False)

    def forget(self, server: BackendServer) -> None:
        """Drops the report of an engine.

        Args:
            server: An engine that was removed.
        """
        self._reports.pop((server.server_id, server.started_at_ms), None)

    def get(self, server: BackendServer) -> EngineLoad | None:
        """Looks up the latest report of an engine.

        Args:
            server: The engine.

        Returns:
            The report, None if there is none of this incarnation.
        """
        known = self._reports.get((server.server_id, server.started_at_ms))
        return None if known is None else known[1]

    def age(self, now: float, server: BackendServer) -> float | None:
        """Computes the age of the latest report of an engine.

        Args:
            now: Event loop time in seconds.
            server: The engine.

        Returns:
            Seconds since it arrived, None if there is none.
        """
        known = self._reports.get((server.server_id, server.started_at_ms))
        return None if known is None else now - known[0]
