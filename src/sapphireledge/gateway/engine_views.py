"""Views of the engines that a stream is offered, for the placement rule."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.core.placement import EngineView

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.engine_load import EngineLoad
    from sapphireledge.gateway.engine_look import EngineLook
    from sapphireledge.gateway.gateway_context import GatewayContext

__all__ = ["RECENT_DISPATCH_WINDOW", "EngineViews"]

RECENT_DISPATCH_WINDOW = 0.4
"""Seconds for which a request sent by this instance may be missing from an engine's reports."""


class EngineViews:
    """Combines load reports with what this instance sent to the engines and knows of prompts."""

    def __init__(
        self, context: GatewayContext, recent_dispatches: list[tuple[float, str, int]]
    ) -> None:
        """Creates the views.

        Args:
            context: Components of the instance.
            recent_dispatches: Time, server id and prompt tokens of the latest dispatches; changed
                in place.
        """
        self._context = context
        self._recent_dispatches = recent_dispatches

    def record_dispatch(self, server: BackendServer, admitted: AdmittedRequest) -> None:
        """Remembers a dispatch that the engine's next reports may not include.

        Args:
            server: The engine.
            admitted: The request.
        """
        now = asyncio.get_running_loop().time()
        tokens = admitted.request.prompt_tokens
        self._recent_dispatches.append((now, server.server_id, tokens))

    def build(
        self, admitted: AdmittedRequest, servers: list[BackendServer], look: EngineLook
    ) -> list[EngineView]:
        """Builds the views of the engines that sent a report.

        Args:
            admitted: The request.
            servers: The engines.
            look: Their reports.

        Returns:
            The views, in the order of the engines.
        """
        now = asyncio.get_running_loop().time()
        homes = self._context.prompt_memory(admitted.service.name).list_homes(now, admitted.request)
        self._recent_dispatches[:] = [
            entry for entry in self._recent_dispatches if entry[0] > now - RECENT_DISPATCH_WINDOW
        ]
        return [
            self._build_view(admitted, server, look.reports[server.server_id], homes)
            for server in servers
            if server.server_id in look.reports
        ]

    def _build_view(
        self,
        admitted: AdmittedRequest,
        server: BackendServer,
        load: EngineLoad,
        homes: Mapping[str, float],
    ) -> EngineView:
        """Builds the view of an engine from its report and the recent dispatches."""
        context, service = self._context, admitted.service.name
        free_tokens = load.memory_total - load.memory_used if load.memory_total else None
        sent = [tokens for _, name, tokens in self._recent_dispatches if name == server.server_id]
        typical = context.first_event_estimator(service).typical_tokens
        now = asyncio.get_running_loop().time()
        memory = context.prompt_memory(service)
        unseen = memory.estimate_unseen(now, admitted.request, server, homes)
        tokens_ahead = load.count_tokens_ahead(typical) + unseen * typical
        tokens_ahead += sum(tokens or typical for tokens in sent)
        return EngineView(
            engine=server.server_id,
            is_local=server.data_centre == context.cfg.data_centre,
            waiting=load.waiting,
            prefilling=load.prefilling,
            running=load.running,
            recently_sent=len(sent),
            free_tokens=free_tokens,
            tokens_ahead=tokens_ahead if typical else None,
            kept_tokens=memory.estimate(now, admitted.request, server, homes, free_tokens),
        )
