"""Client of one model engine."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing
from dataclasses import replace
from typing import TYPE_CHECKING, Any, TypeVar
from urllib.parse import quote

import msgspec

from sapphireledge.backends._private import (
    Chunk,
    ErrorBody,
    HttpReply,
    classify_error_response,
    parse_attempt_number,
    read_reply,
    send_request,
)
from sapphireledge.backends.attempt_finished import AttemptFinished
from sapphireledge.backends.attempt_started import AttemptStarted
from sapphireledge.backends.cache_page import CachePage
from sapphireledge.backends.call_failure import CallFailure
from sapphireledge.backends.call_failure_cause import CallFailureCause
from sapphireledge.backends.decode_signals import decode_signals
from sapphireledge.backends.engine_order import OrderResult, OrderStatus
from sapphireledge.backends.event_too_long import EventTooLong
from sapphireledge.backends.load_report import LoadReport
from sapphireledge.backends.probe_result import ProbeResult
from sapphireledge.backends.software_version import SOFTWARE_VERSION, normalize_software
from sapphireledge.backends.sse_reader import SseReader
from sapphireledge.backends.stream_token import StreamToken
from sapphireledge.errors import Ran
from sapphireledge.limits import TimeSlice

if TYPE_CHECKING:
    from aiosonic import HTTPClient, HttpResponse

    from sapphireledge.backends.connection_pools import ConnectionPools
    from sapphireledge.backends.engine_order import EngineOrder
    from sapphireledge.backends.generation_call import GenerationCall
    from sapphireledge.backends.stream_event import StreamEvent

__all__ = ["EngineClient"]

END_OF_STREAM = b"[DONE]"
"""Data of the last event of every stream."""

BODY_TIMEOUT = 2.0
"""Seconds to read the body of an error response to a generation."""

DRAIN_TIMEOUT = 0.25
"""Seconds to read the rest of a stream after its finish chunk, needed to reuse the connection."""

MAX_REPORT_BYTES = 1_048_576
"""Longest body of a short response, which is decoded in one step."""

ACTIVE_STATES = frozenset({"queued", "running"})
"""States of an attempt on which an engine is still working."""

JSON_HEADERS = {"Content-Type": "application/json"}
"""Headers of a request with a body."""

BodyT = TypeVar("BodyT")


class _AttemptState(msgspec.Struct):
    """Response body of `/v1/attempts/{id}`."""

    state: str = ""
    next_offset: int = 0
    boot_id: str = ""


class _AcceptedOrder(msgspec.Struct):
    """Response body of an accepted order."""

    changed: bool = False


class EngineClient:
    """Client of one model engine that supports concurrent calls.

    No method raises an exception for a failure of the engine or the network; failures are returned
    as typed results. The protocol is described in docs/engine-protocol.md. Server-sent events are
    parsed by `SseReader`, which explains why the SSE client of aiosonic is not used.
    """

    def __init__(
        self,
        address: str,
        pools: ConnectionPools,
        accept_timeout: float = 2.0,
        call_timeout: float = 1.0,
    ) -> None:
        """Creates a client.

        Args:
            address: "host:port" of the engine.
            pools: Connections shared by the clients of the instance.
            accept_timeout: Seconds within which the engine must accept or refuse a generation.
            call_timeout: Timeout of a cancellation, load report or page of cache events in seconds.
        """
        self.address = address
        """"host:port" of the engine."""

        self._base = f"http://{address}"
        self._pools = pools
        self._accept_timeout = accept_timeout
        self._call_timeout = call_timeout
        self._decode_chunk = msgspec.json.Decoder(Chunk).decode

    async def stream(self, call: GenerationCall) -> AsyncIterator[StreamEvent]:
        """Runs one attempt of a generation.

        The iterator must be exhausted or closed (`contextlib.aclosing`); closing it early closes
        the connection, which cancels the attempt. There is no timeout between tokens; the code that
        iterates has to detect a stalled stream. Later and resumed attempts use a new connection.
        After AttemptFinished the iterator can take up to DRAIN_TIMEOUT to end. A finish chunk of
        another attempt is ignored.

        Args:
            call: The attempt.

        Yields:
            AttemptStarted, a StreamToken for each token as sent by the engine, and finally
            AttemptFinished or CallFailure; only CallFailure if the attempt was not accepted.
            CallFailure with ran NO means that nothing was generated.
        """
        response = await self._start_attempt(call)
        if isinstance(response, CallFailure):
            yield response
            return
        chunks = response.read_chunks()
        try:
            yield AttemptStarted(
                call.attempt,
                decode_signals(response.status_code, response.headers),
                normalize_software(response.headers.get(SOFTWARE_VERSION, "")),
            )
            async for event in self._read_events(call, chunks):
                yield event
                if type(event) is AttemptFinished:
                    await _drain_response(chunks)
        finally:
            await chunks.aclose()
            await response.aclose()

    async def cancel(self, attempt_id: str) -> bool:
        """Cancels an attempt on a new connection.

        Args:
            attempt_id: Id of the attempt.

        Returns:
            Whether the engine acknowledged the cancellation, even if it has no such attempt.
        """
        path = f"/v1/attempts/{quote(attempt_id, safe='')}"
        reply = await self._send_short_call(self._pools.single_use, "DELETE", path)
        return isinstance(reply, HttpReply) and reply.status in (200, 404)

    async def probe(self, attempt_id: str, timeout: float = 0.3) -> ProbeResult:
        """Checks on a new connection whether the engine responds and is working on an attempt.

        Args:
            attempt_id: Id of the attempt.
            timeout: Seconds for the entire probe, including the connection.

        Returns:
            The state of the attempt; not alive if the engine did not respond in time.
        """
        path = f"/v1/attempts/{quote(attempt_id, safe='')}"
        try:
            async with asyncio.timeout(timeout):
                reply = await self._send_short_call(
                    self._pools.single_use, "GET", path, timeout=timeout
                )
        except TimeoutError:
            return ProbeResult(alive=False)
        if isinstance(reply, CallFailure):
            return ProbeResult(alive=False)
        if reply.status == 404:
            body = _decode(reply, ErrorBody)
            boot_id = "" if isinstance(body, CallFailure) else body.boot_id
            return ProbeResult(alive=True, boot_id=boot_id)
        state = _decode(reply, _AttemptState)
        if isinstance(state, CallFailure):
            return ProbeResult(alive=reply.status < 500)
        active = state.state in ACTIVE_STATES
        return ProbeResult(True, active, state.next_offset, state.boot_id)

    async def load(self) -> LoadReport | CallFailure:
        """Reads the load report.

        Returns:
            The report, or the failure.
        """
        return _decode(
            await self._send_short_call(self._pools.calls, "GET", "/v1/load"), LoadReport
        )

    async def cache_events(self, after: int) -> CachePage | CallFailure:
        """Reads the cache events after a sequence number.

        Args:
            after: Highest sequence number already received, 0 for all events.

        Returns:
            One page of events, or the failure.
        """
        path = f"/v1/cache-events?after={after}"
        return _decode(await self._send_short_call(self._pools.calls, "GET", path), CachePage)

    async def order(self, order: EngineOrder, timeout: float = 2.0) -> OrderResult:
        """Sends an idempotent order without a retry.

        Args:
            order: The order.
            timeout: Seconds from the first byte sent to the response header; the body gets as long.

        Returns:
            The outcome of the order.
        """
        pool, body = self._pools.single_use, msgspec.json.encode(order)
        reply = await self._send_short_call(pool, "POST", "/v1/orders", body, timeout)
        if isinstance(reply, CallFailure):
            status = OrderStatus.REFUSED if reply.ran is Ran.NO else OrderStatus.UNKNOWN
            return OrderResult(status, detail=reply.detail)
        if reply.status == 200:
            done = _decode(reply, _AcceptedOrder)
            if isinstance(done, CallFailure):
                return OrderResult(OrderStatus.UNKNOWN, detail=done.detail)
            return OrderResult(OrderStatus.DONE, changed=done.changed)
        rejection = classify_error_response(reply.status, reply.body, "")
        error = _decode(HttpReply(200, reply.body, {}), ErrorBody)
        if isinstance(error, ErrorBody) and error.error.code == "old_fencing":
            return OrderResult(
                OrderStatus.OLD_FENCING, highest_fencing=error.fencing, detail=rejection.detail
            )
        status = OrderStatus.REFUSED if rejection.ran is Ran.NO else OrderStatus.UNKNOWN
        return OrderResult(status, detail=rejection.detail)

    async def _read_events(
        self, call: GenerationCall, chunks: AsyncIterator[bytes]
    ) -> AsyncIterator[StreamEvent]:
        """Reads the events of an accepted attempt; a single loop, as it runs for every token."""
        decode = self._decode_chunk
        attempt, attempt_id = call.attempt, call.attempt_id
        ran = Ran.UNKNOWN
        try:
            async with aclosing(_read_payloads(chunks)) as payloads:
                async for payload in payloads:
                    if payload == END_OF_STREAM:
                        continue
                    chunk = decode(payload)
                    extension = chunk.sapphireledge
                    if extension is None or not chunk.choices:
                        if chunk.error is None:
                            continue
                        yield CallFailure(
                            CallFailureCause.SERVER_ERROR, ran, "error event in the stream"
                        )
                        return
                    choice = chunk.choices[0]
                    number = attempt
                    if extension.attempt_id != attempt_id:
                        number = parse_attempt_number(call.owner_id, extension.attempt_id)
                    delta = choice.delta
                    text = choice.text if delta is None else delta.content
                    if choice.finish_reason is None:
                        ran = Ran.YES
                        yield StreamToken(number, extension.offset, text or "")
                    elif number == attempt:
                        total = extension.total_tokens
                        total = extension.offset if total is None else total
                        # Text in a finish chunk would be a token without an offset, and be lost.
                        if text:
                            yield CallFailure(
                                CallFailureCause.MALFORMED, ran, "finish chunk contains text"
                            )
                        else:
                            yield AttemptFinished(total, choice.finish_reason)
                        return
            yield CallFailure(
                CallFailureCause.TRUNCATED, ran, "stream ended without a finish chunk"
            )
        except (msgspec.MsgspecError, UnicodeError, EventTooLong) as exc:
            yield CallFailure(CallFailureCause.MALFORMED, ran, type(exc).__name__)
        except Exception as exc:
            yield CallFailure(CallFailureCause.CONNECTION_LOST, ran, type(exc).__name__)

    async def _start_attempt(self, call: GenerationCall) -> HttpResponse | CallFailure:
        """Sends an attempt and waits until the engine accepts or refuses it."""
        extension: dict[str, Any] = {
            "attempt_id": call.attempt_id,
            "request_id": call.request_id,
            "priority": call.priority,
            "model_version": call.model_version,
        }
        if call.offset:
            extension["resume"] = {"offset": call.offset, "text": call.text}
        body = {**call.body, "stream": True, "sapphireledge": extension}
        headers = {**JSON_HEADERS, "Accept": "text/event-stream", "X-Request-Id": call.request_id}
        if call.traceparent:
            headers["traceparent"] = call.traceparent
        is_first_attempt = call.attempt == 1 and call.offset == 0
        client = self._pools.streams if is_first_attempt else self._pools.resumes
        response = await send_request(
            client,
            "POST",
            self._base + call.path,
            self._pools.connect_timeout,
            self._accept_timeout,
            data=msgspec.json.encode(body),
            headers=headers,
            stream=True,
        )
        if isinstance(response, CallFailure):
            self._invalidate_if_unanswered(response)
            return response
        if response.status_code != 200:
            reply = await read_reply(response, BODY_TIMEOUT)
            text = reply.body if isinstance(reply, HttpReply) else b""
            failure = classify_error_response(
                response.status_code, text, response.headers.get("retry-after", "")
            )
            return replace(failure, signals=decode_signals(response.status_code, response.headers))
        # Unless the response is chunked, aiosonic has already returned its connection to the pool,
        # so the response must not be read.
        chunked = response.headers.get("transfer-encoding", "").lower() == "chunked"
        if not chunked or "text/event-stream" not in response.headers.get("content-type", ""):
            await response.aclose()
            return CallFailure(
                CallFailureCause.MALFORMED, Ran.UNKNOWN, "response is not a chunked event stream"
            )
        return response

    async def _send_short_call(
        self,
        client: HTTPClient,
        method: str,
        path: str,
        body: bytes = b"",
        timeout: float | None = None,
    ) -> HttpReply | CallFailure:
        """Makes one call with a short response."""
        limit = self._call_timeout if timeout is None else timeout
        response = await send_request(
            client,
            method,
            self._base + path,
            self._pools.connect_timeout,
            limit,
            data=body,
            headers=JSON_HEADERS if body else None,
        )
        reply = response
        if not isinstance(response, CallFailure):
            reply = await read_reply(response, limit, MAX_REPORT_BYTES)
        self._invalidate_if_unanswered(reply)
        return reply

    def _invalidate_if_unanswered(self, reply: HttpReply | CallFailure) -> None:
        """Invalidates the keep-alive connections to the engine after a call without a response."""
        if isinstance(reply, CallFailure) and reply.cause is CallFailureCause.NO_ANSWER:
            self._pools.invalidate(self.address)


async def _read_payloads(chunks: AsyncIterator[bytes]) -> AsyncIterator[bytes]:
    """Reads the data of the events of a stream."""
    time_slice = TimeSlice()
    with SseReader() as reader:
        async for data in chunks:
            time_slice.restart()
            for payload in reader.feed(data):
                yield payload
                await time_slice.checkpoint()


async def _drain_response(chunks: AsyncIterator[bytes]) -> None:
    """Reads the rest of a response, so that its connection can be reused."""

    async def read_rest() -> None:
        async for _ in chunks:
            pass

    try:
        await asyncio.wait_for(read_rest(), DRAIN_TIMEOUT)
    except Exception:
        # The answer is complete; only the connection cannot be reused, and aclose() closes it.
        return


def _decode(reply: HttpReply | CallFailure, body_type: type[BodyT]) -> BodyT | CallFailure:
    """Decodes the body of a 200 response, or of an error response if ErrorBody is requested."""
    if isinstance(reply, CallFailure):
        return reply
    if reply.status != 200 and body_type is not ErrorBody:
        return classify_error_response(reply.status, reply.body, "")
    try:
        return msgspec.json.decode(reply.body, type=body_type)
    except (msgspec.MsgspecError, UnicodeError) as exc:
        return CallFailure(CallFailureCause.MALFORMED, Ran.UNKNOWN, type(exc).__name__)
