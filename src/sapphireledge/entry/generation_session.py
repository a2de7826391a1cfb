"""One caller connection that reads an answer."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from starlette.responses import Response, StreamingResponse

from sapphireledge.core.answer import AnswerDigest
from sapphireledge.entry.answer_format import AnswerFormat, build_failure_headers, encode_failure
from sapphireledge.entry.answer_locator import RemoteAnswer
from sapphireledge.entry.local_reader import LocalReader
from sapphireledge.entry.remote_reader import RemoteReader
from sapphireledge.errors import Failure
from sapphireledge.telemetry import MetricName

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from opentelemetry.trace import Span

    from sapphireledge.entry.answer_locator import LocatedAnswer
    from sapphireledge.entry.answer_reader import AnswerReader
    from sapphireledge.entry.caller_request import CallerRequest
    from sapphireledge.entry.entry_parts import EntryParts

__all__ = ["GenerationSession"]

BYTES_PER_TOKEN = 4
"""Assumed bytes of prompt text per token, for the usage in an answer."""


class GenerationSession:
    """Serves the answer to one caller connection."""

    def __init__(self, parts: EntryParts, req: CallerRequest, caller_chose_id: bool) -> None:
        """Creates the session.

        Args:
            parts: Components of the instance.
            req: The caller's request.
            caller_chose_id: Whether the caller chose the request id.
        """
        self._parts = parts
        self._req = req
        self._caller_chose_id = caller_chose_id
        self._format = AnswerFormat(req, time.time())
        self._offset = req.resume.offset if req.resume is not None else 0
        self._digest: AnswerDigest | None = None
        self._largest_gap = 0.0

    async def respond(self) -> Response:
        """Locates the answer and responds with it or with a failure.

        Returns:
            The HTTP response; a streaming one once the first token is available.
        """
        tracing = self._parts.ctx.tracing
        parent = tracing.extract(dict(self._req.trace_headers))
        span = tracing.start("caller", parent, request_id=self._req.request_id, rank=self._req.rank)
        trace = tracing.child_context(span)
        located = await self._parts.locator.locate(self._req, self._caller_chose_id, trace)
        if isinstance(located, Failure):
            return self._refuse(located, span)
        reader = self._create_reader(located)
        is_open = False
        try:
            failure = await reader.open(self._req, self._offset)
            is_open = failure is None
            if failure is not None:
                return self._refuse(failure, span)
            headers = {
                "x-request-id": self._req.request_id,
                "x-answer": "new" if located.is_new else "continued",
            }
            if not self._req.stream:
                return await self._respond_with_body(reader, headers, span)
            return await self._respond_with_stream(reader, headers, span)
        except BaseException:
            if is_open:
                reader.close()
            span.end()
            raise

    def _create_reader(self, located: LocatedAnswer) -> AnswerReader:
        """Creates the reader for the answer's location."""
        source = located.source
        if isinstance(source, RemoteAnswer):
            return RemoteReader(self._parts, source.instance)
        return LocalReader(self._parts, source)

    async def _respond_with_stream(
        self, reader: AnswerReader, headers: dict[str, str], span: Span
    ) -> Response:
        """Waits for the first token, then creates the streaming response."""
        await reader.wait(self._offset)
        failure = reader.failure
        if failure is not None and reader.available <= self._offset:
            reader.close()
            return self._refuse(failure, span, headers)
        return StreamingResponse(
            self._generate_events(reader, span), headers=headers, media_type="text/event-stream"
        )

    async def _generate_events(self, reader: AnswerReader, span: Span) -> AsyncIterator[bytes]:
        """Yields the server-sent events of the answer."""
        metrics = self._parts.ctx.metrics
        secret, answer_id = self._parts.cfg.fleet_secret, self._req.answer_id
        digest = AnswerDigest(secret, answer_id, reader.version, reader.software or "")
        for piece in reader.pieces(0, self._offset):
            digest.update(piece)
        delivered = self._offset
        last_sent = time.monotonic()
        try:
            while True:
                await reader.wait(delivered)
                pieces = reader.pieces(delivered, None)
                events = []
                for piece in pieces:
                    digest.update(piece)
                    events.append(self._format.encode_piece(str(digest.event_id()), piece))
                delivered += len(pieces)
                if events:
                    now = time.monotonic()
                    self._largest_gap = max(self._largest_gap, now - last_sent)
                    last_sent = now
                    yield b"".join(events)
                    metrics.count(MetricName.TOKENS_DELIVERED, len(pieces), self._req.rank)
                    metrics.count(MetricName.WORKSPACE_TOKENS, len(pieces), self._req.workspace)
                if not reader.is_drained or delivered < reader.available:
                    continue
                failure = reader.failure
                if failure is None:
                    yield self._format.encode_finish(reader.finish_reason)
                else:
                    yield self._format.encode_error(failure, delivered)
                return
        finally:
            metrics.time(MetricName.TOKEN_GAP, self._largest_gap, self._req.rank)
            span.set_attribute("delivered", delivered)
            span.end()
            reader.close()

    async def _respond_with_body(
        self, reader: AnswerReader, headers: dict[str, str], span: Span
    ) -> Response:
        """Waits for the end of the answer, then creates the response with its full text."""
        while not reader.is_drained:
            await reader.wait(reader.available)
        failure = reader.failure
        count = reader.available
        text = "".join(reader.pieces(0, None))
        finish_reason = reader.finish_reason
        reader.close()
        if failure is not None:
            return self._refuse(failure, span, headers, count)
        span.set_attribute("delivered", count)
        span.end()
        self._parts.ctx.metrics.count(MetricName.TOKENS_DELIVERED, count, self._req.rank)
        prompt_tokens = max(1, len(self._req.prompt) // BYTES_PER_TOKEN)
        body = self._format.encode_body(text, finish_reason, prompt_tokens, count)
        return Response(body, 200, headers, media_type="application/json")

    def _refuse(
        self,
        failure: Failure,
        span: Span,
        headers: dict[str, str] | None = None,
        delivered: int | None = None,
    ) -> Response:
        """Ends the span and creates the response for a failure."""
        span.set_attribute("error", str(failure.kind))
        span.end()
        body = encode_failure(failure, self._offset if delivered is None else delivered)
        all_headers = {
            "x-request-id": self._req.request_id,
            **(headers or {}),
            **build_failure_headers(failure),
        }
        status = failure.answer.http_status
        return Response(body, status, all_headers, media_type="application/json")
