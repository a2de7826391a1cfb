"""One caller request to a plain service."""

from __future__ import annotations

import time
import uuid
from typing import TYPE_CHECKING

from starlette.responses import Response

from sapphireledge.core.claims import ServiceOutcome
from sapphireledge.entry.answer_format import build_failure_headers, encode_failure
from sapphireledge.entry.claim_request import ClaimRequest
from sapphireledge.entry.service_call import ServiceCall
from sapphireledge.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from starlette.requests import Request

    from sapphireledge.core.declarations import Service, Workspace
    from sapphireledge.entry.entry_parts import EntryParts

__all__ = ["ServiceSession"]

FORWARDED_HEADERS = ("accept", "accept-language", "content-type", "traceparent", "tracestate")
"""Request headers that are forwarded to the service."""

MAX_DEADLINE = 86_400.0
"""Largest accepted deadline in seconds (one day)."""


class ServiceSession:
    """Serves one caller request to a plain service."""

    def __init__(self, parts: EntryParts, workspace: Workspace) -> None:
        """Creates the session.

        Args:
            parts: Components of the instance.
            workspace: Workspace of the caller.
        """
        self._parts = parts
        self._workspace = workspace

    async def respond(self, request: Request, body: bytes) -> Response:
        """Forwards the request to the service.

        Args:
            request: The HTTP request.
            body: Request body.

        Returns:
            The service's response or an error response.
        """
        name = request.path_params["service"]
        service = self._parts.config.services.get(name)
        if service is None:
            return _create_error_response(
                Failure(ErrorKind.NOT_FOUND, f"service: {name!r} is not declared")
            )
        deadline = _read_deadline(request, service)
        if isinstance(deadline, Failure):
            return _create_error_response(deadline)
        tracing = self._parts.ctx.tracing
        span = tracing.start("service", tracing.extract(request.headers), service=name)
        try:
            headers = {h: request.headers[h] for h in FORWARDED_HEADERS if h in request.headers}
            headers |= tracing.headers(span)
            result = await self._call(request, service, headers, body, deadline)
        finally:
            span.end()
        if isinstance(result, Failure):
            return _create_error_response(result)
        return _to_response(result)

    async def _call(
        self,
        request: Request,
        service: Service,
        headers: dict[str, str],
        body: bytes,
        deadline: float,
    ) -> ServiceOutcome | Failure:
        """Runs the call with retries if its method is idempotent, otherwise at most once."""
        path = "/" + request.path_params.get("path", "")
        if request.url.query:
            path += "?" + request.url.query
        if request.method in service.idempotent_methods:
            return await self._parts.services.call_idempotent(
                ServiceCall(
                    service.name,
                    request.method,
                    path,
                    body,
                    service.timeout,
                    self._workspace.name,
                    uuid.uuid4().hex,
                    headers,
                )
            )
        key = request.headers.get("idempotency-key")
        if key is None:
            reason = f"Idempotency-Key: is required for {request.method}"
            return Failure(ErrorKind.INVALID_REQUEST, reason)
        return await self._parts.services.call_once(
            ClaimRequest(
                workspace=self._workspace.name,
                service=service.name,
                idempotency_key=key,
                method=request.method,
                path=path,
                body=body,
                deadline=deadline,
                timeout=service.timeout,
                headers=headers,
            )
        )


def _read_deadline(request: Request, service: Service) -> float | Failure:
    """Reads the caller's deadline as monotonic time; the service's timeout is the default."""
    text = request.headers.get("x-deadline-ms")
    if text is None:
        return time.monotonic() + service.timeout
    limit = int(MAX_DEADLINE * 1000)
    if not text.isdecimal() or not 1 <= int(text) <= limit:
        reason = f"X-Deadline-Ms: must be from 1 to {limit} ms"
        return Failure(ErrorKind.INVALID_REQUEST, reason)
    return time.monotonic() + int(text) / 1000.0


def _to_response(outcome: ServiceOutcome) -> Response:
    """Converts the service's response into an HTTP response."""
    headers = {"x-answer": "repeated" if outcome.repeated else "new"}
    if outcome.body_omitted:
        headers["x-body-omitted"] = "true"
    return Response(outcome.body, outcome.status, headers, media_type=outcome.content_type)


def _create_error_response(failure: Failure) -> Response:
    """Converts a failure into an HTTP response."""
    return Response(
        encode_failure(failure),
        failure.answer.http_status,
        build_failure_headers(failure),
        media_type="application/json",
    )
