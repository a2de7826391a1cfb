"""A caller's request together with its route, service and workspace."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.gateway.caller_request import CallerRequest
    from sapphireledge.gateway.route import Route
    from sapphireledge.gateway.service_profile import ServiceProfile

__all__ = ["AdmittedRequest"]

RESPONSE_MARGIN = 0.03
"""Seconds reserved before the deadline for the response to reach the caller."""


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request that passed the checks of the configuration in force."""

    request: CallerRequest
    """Request as the caller sent it."""

    route: Route
    """Route that the request matched."""

    service: ServiceProfile
    """Service that handles the request."""

    workspace: str
    """Workspace of the caller, empty on anonymous routes."""

    rank: int
    """Priority, 0 is the highest."""

    version: int
    """Version of the configuration that admitted the request."""

    @property
    def deadline(self) -> float:
        """Event loop time in seconds by which the response must be sent."""
        limit = self.route.time_limit
        if self.request.wait_limit is not None:
            limit = min(limit, self.request.wait_limit)
        return self.request.received_at + limit - RESPONSE_MARGIN

    @property
    def caller_deadline(self) -> float:
        """Event loop time in seconds at which the caller stops waiting."""
        limit = self.request.wait_limit
        return self.request.received_at + (self.route.time_limit if limit is None else limit)
