"""Interface for sending non-idempotent requests to plain services."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from sapphireledge.core.claims import ServiceReply
    from sapphireledge.entry.claim_request import ClaimRequest

__all__ = ["ServiceSender"]


class ServiceSender(Protocol):
    """Sends a request to one backend server, without retries."""

    async def call(
        self, req: ClaimRequest, avoid: frozenset[str], not_after: float
    ) -> ServiceReply:
        """Chooses a backend server of the service and sends the request once.

        It must not send the request a second time for any reason, and must not begin to send it
        after `not_after`.

        Args:
            req: The request.
            avoid: Backend servers that refused the connection.
            not_after: Monotonic time in seconds.

        Returns:
            The response, of any status; `NotSent` only if no byte of the request was sent;
            `NoResponse` if any byte may have been sent; a failure with `Ran.NO` if no backend
            server is available.
        """
        ...
