"""Choice of the server of a request whose response is not a stream."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.core.quarantine import IsolateVerdict

if TYPE_CHECKING:
    from sapphireledge.core.quarantine import ClearVerdict
    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.gateway_context import GatewayContext

__all__ = ["HEDGE_SHARE", "MIN_ATTEMPT_TIME", "PlainChoice"]

HEDGE_SHARE = 0.5
"""Share of the latency target after which an unanswered idempotent request is hedged, that is, also
sent to a second server.

The rest of the target is long enough for a complete second execution.
"""

MIN_ATTEMPT_TIME = 0.02
"""Seconds that must remain before the deadline to start an attempt; no server responds sooner."""


class PlainChoice:
    """Chooses the servers of plain requests."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context

    def permits_attempt(self, admitted: AdmittedRequest, tried_servers: set[str]) -> bool:
        """Checks whether the route and the deadline permit another attempt.

        Args:
            admitted: The request.
            tried_servers: Ids of the servers of earlier attempts.

        Returns:
            Whether they do.
        """
        time_left = admitted.deadline - asyncio.get_running_loop().time()
        return len(tried_servers) < admitted.route.max_attempts and time_left >= MIN_ATTEMPT_TIME

    def choose(
        self,
        admitted: AdmittedRequest,
        tried_servers: set[str],
        verdict: ClearVerdict | IsolateVerdict,
    ) -> tuple[BackendServer | None, bool]:
        """Chooses the server of the next attempt.

        Args:
            admitted: The request.
            tried_servers: Ids of the servers of earlier attempts.
            verdict: Whether the request may crash servers.

        Returns:
            The server, None if none takes a request now, and whether no other suspect runs there.
        """
        context = self._context
        now = asyncio.get_running_loop().time()
        service, affinity = admitted.service.name, admitted.request.affinity
        avoided = context.crashes.avoided_servers(verdict)
        excluded = self._exclude_versions(admitted, tried_servers)
        server = context.registry.choose(now, service, affinity, {*excluded, *avoided})
        isolated = server is not None and isinstance(verdict, IsolateVerdict)
        if server is None and avoided:
            server = context.registry.choose(now, service, affinity, excluded)
        return server, isolated

    def reserve(
        self,
        admitted: AdmittedRequest,
        tried_servers: set[str],
        verdict: ClearVerdict | IsolateVerdict,
    ) -> tuple[BackendServer, float] | None:
        """Reserves the next time at which a server takes a request, if none takes one now.

        Args:
            admitted: The request.
            tried_servers: Ids of the servers of earlier attempts.
            verdict: Whether the request may crash servers.

        Returns:
            The server and the event loop time in seconds; None if one takes a request now, or none
            does before the response would be late.
        """
        now = asyncio.get_running_loop().time()
        registry, service = self._context.registry, admitted.service.name
        latest = admitted.request.received_at + admitted.route.target * HEDGE_SHARE
        avoided = self._context.crashes.avoided_servers(verdict)
        excluded = {*self._exclude_versions(admitted, tried_servers), *avoided}
        if registry.next_admission(now, service, excluded) <= now:
            return None
        return registry.reserve(now, latest, service, excluded)

    def _exclude_versions(
        self, admitted: AdmittedRequest, tried_servers: set[str]
    ) -> frozenset[str]:
        """Adds the servers whose version the next attempt may not use."""
        is_retry = bool(tried_servers)
        excluded = self._context.rollouts.excluded(admitted, tried_servers, is_retry=is_retry)
        return excluded.union(tried_servers)
