"""A caller's request with everything that is needed to serve it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.gateway.caller_request import CallerRequest
    from sapphireledge.gateway.route import Route
    from sapphireledge.gateway.service_profile import ServiceProfile

__all__ = ["AdmittedRequest"]

RESPONSE_MARGIN = 0.03
"""Seconds before the deadline at which the final answer is sent, for the way to the caller."""


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request that the configuration permits."""

    request: CallerRequest
    """The request."""

    route: Route
    """Its route."""

    service: ServiceProfile
    """Service that runs it."""

    workspace: str
    """Workspace of the caller, empty on anonymous routes."""

    rank: int
    """Urgency, 0 is the most urgent."""

    version: int
    """Version of the configuration that admitted it."""

    @property
    def deadline(self) -> float:
        """Time of the event loop's clock in seconds at which the final answer is due."""
        limit = self.route.time_limit
        if self.request.wait_limit is not None:
            limit = min(limit, self.request.wait_limit)
        return self.request.arrived + limit - RESPONSE_MARGIN

    @property
    def caller_deadline(self) -> float:
        """Time of the event loop's clock in seconds at which the caller leaves."""
        limit = self.request.wait_limit
        return self.request.arrived + (self.route.time_limit if limit is None else limit)
