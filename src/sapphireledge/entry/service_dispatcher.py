"""Dispatch of requests to the backend servers of plain services."""

from __future__ import annotations

import time
import uuid
from typing import TYPE_CHECKING

from sapphireledge.backends import (
    CallFailure,
    CallFailureCause,
    ServiceClient,
    ServiceResponse,
    decode_signals,
)
from sapphireledge.core.claims import NoResponse, NotSent, ServiceOutcome
from sapphireledge.core.quarantine import IsolateVerdict
from sapphireledge.core.routing import Router, RouteRequest
from sapphireledge.entry.service_call import ServiceCall
from sapphireledge.errors import ErrorKind, Failure, Ran

if TYPE_CHECKING:
    from random import Random

    from sapphireledge.backends import ConnectionPools
    from sapphireledge.core.claims import ServiceReply
    from sapphireledge.core.quarantine import RequestContent
    from sapphireledge.core.routing import BackendView, RouteChoice
    from sapphireledge.entry.claim_request import ClaimRequest
    from sapphireledge.entry.death_checker import DeathChecker
    from sapphireledge.settings import Settings

__all__ = ["ServiceDispatcher"]

DEFAULT_CONTENT_TYPE = "application/octet-stream"
"""Content type of a response that declares none."""


class ServiceDispatcher:
    """Chooses a backend server and sends a request to it once; implements `ServiceSender`."""

    def __init__(
        self,
        cfg: Settings,
        view: BackendView,
        pools: ConnectionPools,
        deaths: DeathChecker,
        rng: Random,
    ) -> None:
        """Creates the dispatcher.

        Args:
            cfg: Settings of the instance.
            view: View of the backend servers.
            pools: Connections to backend servers.
            deaths: Attribution of deaths of backend servers to calls.
            rng: Random number generator for routing.
        """
        self._view = view
        self._pools = pools
        self._deaths = deaths
        self._rng = rng
        self._router = Router(cfg.routing)
        self._clients: dict[str, ServiceClient] = {}

    async def call(
        self, req: ClaimRequest, avoid: frozenset[str], not_after: float
    ) -> ServiceReply:
        """Sends a non-idempotent request once, see `ServiceSender`."""
        headers = {**req.headers, "idempotency-key": req.idempotency_key}
        call = ServiceCall(
            req.service,
            req.method,
            req.path,
            req.body,
            req.timeout,
            req.workspace,
            uuid.uuid4().hex,
            headers,
        )
        return await self.send(call, avoid=tuple(avoid), not_after=not_after)

    async def send(
        self,
        call: ServiceCall,
        *,
        idempotent: bool = False,
        avoid: tuple[str, ...] = (),
        not_after: float | None = None,
    ) -> ServiceReply:
        """Sends one request to one backend server.

        Args:
            call: The request.
            idempotent: Whether the request is idempotent, which allows a pooled connection.
            avoid: Backend servers that failed before, which are not used again.
            not_after: Monotonic time in seconds from which on sending must not start.

        Returns:
            The response, or how the call failed.
        """
        content = call.content
        verdict = await self._deaths.judge(content, call.call_id)
        if isinstance(verdict, Failure):
            return verdict
        now = time.monotonic()
        is_isolated = isinstance(verdict, IsolateVerdict)
        request = RouteRequest(
            role=call.service,
            avoid=avoid,
            suspect=is_isolated or verdict.deaths > 0,
            isolate=is_isolated,
        )
        choice = self._router.choose(now, request, self._view, self._rng)
        if isinstance(choice, Failure):
            return choice
        if choice.backend in avoid:
            reason = f"no backend server of {call.service} accepts connections"
            return Failure(ErrorKind.NO_BACKEND, reason, Ran.NO, retry_after=1.0)
        if not_after is not None and now >= not_after:
            return NotSent(choice.backend)
        result = await self._call(call, content, choice, request, idempotent=idempotent)
        if isinstance(result, ServiceResponse):
            self._deaths.on_answered(content)
            signals = decode_signals(result.status, result.headers)
            self._view.on_response(time.monotonic(), choice.backend, signals)
            content_type = result.headers.get("content-type", DEFAULT_CONTENT_TYPE)
            return ServiceOutcome(result.status, content_type, result.body)
        if result.cause is CallFailureCause.NOT_CONNECTED:
            self._view.on_unreachable(time.monotonic(), choice.backend)
        if result.ran is Ran.NO:
            return NotSent(choice.backend)
        return NoResponse(choice.backend, result.detail or str(result.cause))

    async def _call(
        self,
        call: ServiceCall,
        content: RequestContent,
        choice: RouteChoice,
        request: RouteRequest,
        *,
        idempotent: bool,
    ) -> ServiceResponse | CallFailure:
        """Makes the call, during which it counts as running at the chosen server."""
        work_id = uuid.uuid4().hex
        self._view.on_dispatch(
            time.monotonic(),
            choice.backend,
            work_id,
            suspect=request.suspect,
            isolate=request.isolate,
        )
        self._deaths.track(work_id, choice.backend, content, isolated=request.isolate)
        self._deaths.on_begun(work_id)
        try:
            result = await self._get_client(choice.address).call(
                call.method, call.path, call.headers, call.body, call.timeout, idempotent
            )
            if isinstance(result, CallFailure) and result.cause is CallFailureCause.CONNECTION_LOST:
                self._deaths.check_service(choice.backend, choice.address)
        finally:
            self._deaths.untrack(work_id)
            self._view.on_end(time.monotonic(), choice.backend, work_id)
        return result

    def _get_client(self, address: str) -> ServiceClient:
        """Returns the client of a backend server, creating it if necessary."""
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = ServiceClient(address, self._pools)
        return client
