"""Choice of the engine that holds a copy of a running generation."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.gateway_context import GatewayContext
    from sapphireledge.gateway.stream_progress import StreamProgress

__all__ = ["choose_standby"]


def choose_standby(
    context: GatewayContext,
    admitted: AdmittedRequest,
    progress: StreamProgress,
    server: BackendServer,
    excluded: frozenset[str] = frozenset(),
    avoided_centres: frozenset[str] = frozenset(),
) -> BackendServer | None:
    """Chooses the engine to replicate to, in another data centre if possible.

    Only an engine of the same version can go on with the stream.

    Args:
        context: Shared components.
        admitted: The request.
        progress: Progress of the stream so far.
        server: Engine that runs the stream.
        excluded: Ids of further engines that must not be chosen.
        avoided_centres: Further data centres that are used only if no other has an engine.

    Returns:
        The engine, or None if there is none, or streams of the route are not replicated.
    """
    if not (admitted.service.can_replicate and admitted.route.resumable):
        return None
    ranked = context.registry.rank_servers(
        asyncio.get_running_loop().time(),
        admitted.service.name,
        admitted.request.affinity,
        {*progress.failed_engines, server.server_id}
        | excluded
        | context.rollouts.excluded_copies(server),
        {*progress.lost_centres, server.data_centre} | avoided_centres,
    )
    return next((engine for engine in ranked if context.is_running(engine)), None)
