"""Routes, services and API keys of one version of the configuration."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from sapphireledge.gateway.caller_limits import CallerLimits
from sapphireledge.gateway.replay_rule import ReplayRule

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sapphireledge.gateway.route import Route
    from sapphireledge.gateway.service_profile import ServiceProfile
    from sapphireledge.gateway.workspace_key import WorkspaceKey

__all__ = ["RoutingTable"]


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """One version of the configuration."""

    version: int
    """Version number; a higher one replaces a lower one."""

    routes: Mapping[str, tuple[Route, ...]]
    """Routes by host, with the longest path prefix first."""

    services: Mapping[str, ServiceProfile]
    """Services by name."""

    keys: Mapping[str, WorkspaceKey] = field(default_factory=dict)
    """Workspaces by API key."""

    keys_required: bool = False
    """Whether routes that are not anonymous require an API key."""

    limits: CallerLimits = field(default_factory=CallerLimits)
    """Limits for callers' requests."""

    def longest_answer(self, service: str) -> float | None:
        """Finds out how long answers of a service may take.

        Args:
            service: Name of the service.

        Returns:
            Seconds, None if no route leads to it.
        """
        limits = [
            route.time_limit
            for routes in self.routes.values()
            for route in routes
            if any(name == service for name, _ in route.services)
        ]
        return max(limits, default=None)

    def resumable_limits(self) -> dict[str, float]:
        """Finds out how long streams that callers may take up last.

        Returns:
            Longest time limit in seconds of such streams, by service.
        """
        limits: dict[str, float] = {}
        for routes in self.routes.values():
            for route in routes:
                if route.replay is ReplayRule.EVENT_STREAM and route.resumable:
                    for name, _ in route.services:
                        limits[name] = max(route.time_limit, limits.get(name, 0.0))
        return limits

    def match(self, host: str, path: str) -> Route | None:
        """Finds the route of a request.

        Args:
            host: Host of the request, without port.
            path: Path of the request, without query.

        Returns:
            The route with the longest matching prefix, or None.
        """
        for route in self.routes.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
