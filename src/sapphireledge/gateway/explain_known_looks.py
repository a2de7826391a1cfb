"""Load reports that are known without asking the engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.gateway.engine_look import EngineLook

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.engine_load import EngineLoad

__all__ = ["KnownLooks"]


class KnownLooks:
    """Looks at reports that have arrived; implements `LookSource`."""

    def __init__(self, find: Callable[[BackendServer], EngineLoad | None]) -> None:
        """Creates the source.

        Args:
            find: Returns the report of an engine, None if there is none.
        """
        self._find = find
        self.candidates: list[BackendServer] = []
        """Engines of the latest look."""

        self.asked: list[BackendServer] = []
        """Those that a placement would ask for a report."""

        self.missing: list[BackendServer] = []
        """Those of them without one."""

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
        known = {server.server_id: self._find(server) for server in candidates}
        self.missing = [server for server in candidates if known[server.server_id] is None]
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
