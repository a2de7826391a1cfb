"""Prompts that the engines of one service probably keep, as this instance knows it."""

from __future__ import annotations

from copy import deepcopy
from random import Random
from typing import TYPE_CHECKING

from sapphireledge.core.placement import FleetSize, KeptPromptLimits, KeptPrompts

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence

    from sapphireledge.core.placement import EngineView
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.caller_request import CallerRequest
    from sapphireledge.gateway.engine_selection import EngineSelection
    from sapphireledge.gateway.gateway_context import GatewayContext

__all__ = ["PromptMemory"]

LIMITS = KeptPromptLimits()
"""Limits and weights of the knowledge of kept prompts."""

IDLE_WORK = 0.1
"""Largest work ahead of a stream, in typical prompts, at which the time to its first event tells
what the engine kept."""


class PromptMemory:
    """Offers engines that keep a prompt to the placement, and learns from the first events.

    Without the setting `uses_kept_prompts`, no engine keeps anything.
    """

    def __init__(self, context: GatewayContext, service: str) -> None:
        """Creates the memory of a service.

        Args:
            context: Components of the instance.
            service: Name of the service.
        """
        self._context = context
        self._service = service
        self._kept = KeptPrompts(LIMITS)
        self._rng = Random()

    def copy_for(self, context: GatewayContext, request: CallerRequest) -> PromptMemory:
        """Copies what is known about the prompt of one request.

        Args:
            context: Copy of the components of the instance.
            request: The request.

        Returns:
            A memory that can change without effect on this one.
        """
        copied = PromptMemory(context, self._service)
        copied._kept = self._kept.copy_for(request.parts)
        copied._rng = deepcopy(self._rng)
        return copied

    def on_request(self, now: float, request: CallerRequest) -> None:
        """Counts a request before its first attempt.

        Args:
            now: Event loop time in seconds.
            request: The request.
        """
        self._context.first_event_estimator(self._service).observe_length(request.prompt_tokens)
        if self._context.cfg.uses_kept_prompts and request.parts:
            self._kept.on_request(now, request.parts)

    def list_homes(self, now: float, request: CallerRequest) -> dict[str, float]:
        """Lists the homes of a prompt among all engines that are not leaving.

        Engines that are suspended or hold requests back at this instance only are counted, so that
        instances agree.

        Args:
            now: Event loop time in seconds.
            request: The request.

        Returns:
            Weights by incarnation, see `KeptPrompts.list_homes`.
        """
        if not self._context.cfg.uses_kept_prompts or all(
            part.tokens < LIMITS.min_tokens for part in request.parts[:-1]
        ):
            return {}
        engines = self._context.registry.list_preferred(now, self._service)
        names = [_incarnation(server) for server in engines]
        return self._kept.list_homes(now, request.parts, names, self._measure_fleet())

    def list_candidates(
        self, now: float, request: CallerRequest, excluded: Collection[str]
    ) -> list[BackendServer]:
        """Lists a few engines that take requests now and probably keep the prompt.

        Args:
            now: Event loop time in seconds.
            request: The request.
            excluded: Ids of engines to leave out.

        Returns:
            The engines, the one first that this instance itself used for the prompt.
        """
        if not (self._context.cfg.uses_kept_prompts and request.parts):
            return []
        keepers = self._kept.list_keepers(request.parts)
        homes = list(self.list_homes(now, request))
        if not keepers and not homes:
            return []
        sound = {
            _incarnation(server): server
            for server in self._context.registry.list_sound(now, self._service, excluded)
        }
        keepers = [name for name in keepers if name in sound][:1]
        homes = [name for name in homes if name in sound and name not in keepers]
        room = LIMITS.candidates - len(keepers)
        if len(homes) > LIMITS.candidates:
            homes = self._rng.sample(homes, room)
        return [sound[name] for name in (*keepers, *homes[:room])]

    def estimate(
        self,
        now: float,
        request: CallerRequest,
        server: BackendServer,
        homes: Mapping[str, float],
        free_tokens: int | None,
    ) -> int:
        """Estimates how many tokens of a prompt an engine keeps.

        Args:
            now: Event loop time in seconds.
            request: The request.
            server: The engine.
            homes: Homes of the prompt, from `list_homes`.
            free_tokens: Memory of the engine for kept parts in tokens, None if unknown.

        Returns:
            The expected number.
        """
        if not (self._context.cfg.uses_kept_prompts and request.parts):
            return 0
        name = _incarnation(server)
        fleet, weight = self._measure_fleet(), homes.get(name, 0.0)
        return self._kept.estimate(now, request.parts, name, fleet, weight, free_tokens)

    def estimate_unseen(
        self, now: float, request: CallerRequest, server: BackendServer, homes: Mapping[str, float]
    ) -> float:
        """Estimates the requests that other instances send to an engine because it is a home.

        Args:
            now: Event loop time in seconds.
            request: The request.
            server: The engine.
            homes: Homes of the prompt, from `list_homes`.

        Returns:
            Requests that the reports of the engine lack.
        """
        weight = homes.get(_incarnation(server), 0.0)
        if not weight:
            return 0.0
        return weight * self._kept.estimate_unseen(now, request.parts, self._measure_fleet())

    def on_placed(
        self, now: float, request: CallerRequest, chosen: EngineView, views: Sequence[EngineView]
    ) -> None:
        """Records where a stream starts.

        Args:
            now: Event loop time in seconds.
            request: The request.
            chosen: Engine on which it starts.
            views: All engines that it was chosen from.
        """
        most = max(view.kept_tokens for view in views)
        if most >= LIMITS.min_tokens and chosen.kept_tokens < most / 2:
            self._kept.on_crowded(now, request.parts)

    def on_first_event(
        self, now: float, request: CallerRequest, selection: EngineSelection, delay: float
    ) -> None:
        """Records that an engine has processed a prompt.

        Args:
            now: Event loop time in seconds.
            request: The request.
            selection: The engine and what was expected of it.
            delay: Time from sending the stream to its first event in seconds.
        """
        if not (self._context.cfg.uses_kept_prompts and request.parts):
            return
        name = _incarnation(selection.server)
        ahead = selection.prompts_ahead
        if selection.kept_tokens and ahead is not None and ahead <= IDLE_WORK:
            estimator = self._context.first_event_estimator(self._service)
            processed = delay / estimator.estimate(0.0) * estimator.typical_tokens
            self._kept.on_checked(request.parts, name, request.prompt_tokens - processed)
        self._kept.on_processed(now, request.parts, name)

    def _measure_fleet(self) -> FleetSize:
        """Measures the fleet that shares the prompts of the service."""
        context = self._context
        prompt_time = context.first_event_estimator(self._service).estimate(0.0)
        engines = max(1, context.registry.count(self._service))
        return FleetSize(max(1, context.count_instances()), engines, prompt_time)


def _incarnation(server: BackendServer) -> str:
    """Names an incarnation of an engine; a restarted one keeps nothing."""
    return f"{server.server_id}@{server.started_at_ms}"
