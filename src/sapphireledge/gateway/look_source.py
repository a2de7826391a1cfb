"""Source of the load reports that streams are placed by."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.engine_look import EngineLook

__all__ = ["LookSource"]


class LookSource(Protocol):
    """Source of the load reports that streams are placed by."""

    async def take(self, candidates: list[BackendServer]) -> EngineLook:
        """Takes a look at a few engines.

        Args:
            candidates: The engines, in order of preference.

        Returns:
            Their reports.
        """
        ...

    async def find_prompt_holders(
        self, admitted: AdmittedRequest, servers: Sequence[BackendServer]
    ) -> frozenset[str]:
        """Finds the engines that have the prompt of a stream in their cache.

        Args:
            admitted: The request.
            servers: The engines.

        Returns:
            Ids of those that have it.
        """
        ...
