"""Load reports that are known without asking the engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.gateway.engine_look import EngineLook

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.latest_reports import LatestReports

__all__ = ["KnownLooks"]


class KnownLooks:
    """Looks at the latest reports that arrived; implements `LookSource`."""

    def __init__(self, latest: LatestReports) -> None:
        """Creates the source.

        Args:
            latest: Reports that arrived last.
        """
        self._latest = latest
        self.candidates: list[BackendServer] = []
        """Engines of the latest look."""

        self.asked: list[BackendServer] = []
        """Those that a placement would ask for a report."""

    async def take(self, candidates: list[BackendServer]) -> EngineLook:
        """Looks up the known reports; a single candidate is used without a report.

        Args:
            candidates: The engines, in order of preference.

        Returns:
            The known reports.
        """
        self.candidates = candidates
        self.asked = candidates if len(candidates) > 1 else []
        if not self.asked:
            return EngineLook(candidates, {})
        known = {server.server_id: self._latest.get(server) for server in candidates}
        return EngineLook(candidates, {name: load for name, load in known.items() if load})

    async def find_prompt_holders(
        self, admitted: AdmittedRequest, servers: Sequence[BackendServer]
    ) -> frozenset[str]:
        """Finds no holder: only the engines know.

        Args:
            admitted: The request.
            servers: The engines.

        Returns:
            An empty set.
        """
        return frozenset()
