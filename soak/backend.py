"""Stand-in for a backend server: a plain service or an engine."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import msgspec

from soak.http import Request, count_lost_connection, encode_response, read_request
from soak.link import Link

if TYPE_CHECKING:
    from random import Random

    from soak.record import Record
    from soak.store import Store

__all__ = ["STREAM_EVENTS", "Backend", "event_bytes"]

PREFIX = "x-sapphireledge-"
STREAM_EVENTS = 25
"""Number of events in a stream."""

EVENT_INTERVAL = 0.03
"""Seconds between two events of a stream."""

PREFILL_TIME = 0.2
"""Seconds of prompt processing before the first event."""

SERVICE_TIME = 0.1
"""Seconds that a plain request takes."""


def event_bytes(body: bytes, number: int) -> bytes:
    """Builds one event; its text depends only on the request, so that any engine can resume it."""
    return f"id: {number}\ndata: {body.decode()}/{number}\n\n".encode()


class Backend:
    """One backend server behind a link; each start gets a new identity."""

    kv_copies: dict[str, set[str]] = {}  # noqa: RUF012
    """Request ids whose KV cache an engine holds, by engine address; shared by all engines."""

    def __init__(
        self, service: str, data_centre: str, store: Store, record: Record, rng: Random
    ) -> None:
        self.service = service
        self.data_centre = data_centre
        self.identity = ""
        self.shed_probability = 0.0
        """Probability of a 503 that reports the request as not executed."""
        self.error_probability = 0.0
        """Probability of a 500 after the request ran."""
        self.repeat_probability = 0.0
        """Probability that a plain answer is sent again before the connection's next answer."""
        self.stalled_until = 0.0
        """Time until which plain requests run but are not answered."""
        self.draining_since: float | None = None
        """Time at which the store acknowledged the draining state."""
        self.link = Link("127.0.0.1", ("127.0.0.1", 0))
        self._store = store
        self._record = record
        self._rng = rng
        self._starts = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts a new incarnation and registers it in the store."""
        if not self.link.port:
            await self.link.start()
        self._starts += 1
        self.draining_since = None
        self.identity = f"{self.service}-{self.link.port}-{self._starts}"
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.link.target = ("127.0.0.1", self._server.sockets[0].getsockname()[1])
        self.kv_copies[self.link.address] = set()
        self.publish_state("ready")

    def publish_state(self, state: str) -> None:
        """Writes the backend server's object with the given state to the store."""
        spec = {
            "service": self.service,
            "address": self.link.address,
            "zone": self.data_centre,
            "slots": 64,
            "state": state,
            "born": int(time.time() * 1000),
        }
        acknowledged = self._store.put("servers", self.identity, spec)
        if state == "draining":
            self.draining_since = acknowledged

    def crash(self) -> None:
        """Drops the incarnation with all its connections; its store object is removed later."""
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()
        self.link.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        identity = self.identity
        duplicate = b""
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                if identity != self.identity:
                    return
                writer.write(duplicate)
                duplicate = await self._answer(request, writer)
                await writer.drain()
        except OSError as exc:
            count_lost_connection("backend", exc)
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, request: Request, writer: asyncio.StreamWriter) -> bytes:
        """Answers a request; returns bytes to send before the next answer, as a duplicate."""
        if request.target == "/report":
            writer.write(encode_response(200, {}, msgspec.json.encode({"running": 0})))
            return b""
        if request.target == "/kv-list":
            writer.write(encode_response(200, {}, msgspec.json.encode({"held": []})))
            return b""
        headers = request.headers
        request_id = headers[PREFIX + "request-id"]
        if headers.get(PREFIX + "expect-instance") != self.identity:
            writer.write(encode_response(421, {}, b""))
            return b""
        self._record.on_arrival(request_id, self)
        source = headers.get("kv-from")
        lacks_copy = source is not None and request_id not in self.kv_copies[self.link.address]
        if lacks_copy or self._rng.random() < self.shed_probability:
            writer.write(encode_response(503, {PREFIX + "not-executed": "1"}, b""))
            return b""
        self._record.on_run(request_id, headers.get(PREFIX + "tenant", ""))
        if request.target.startswith("/stream/"):
            await self._stream(request, request_id, source is None, writer)
            return b""
        await asyncio.sleep(max(SERVICE_TIME, self.stalled_until - time.monotonic()))
        status = 500 if self._rng.random() < self.error_probability else 200
        seal = {PREFIX + "request-id": request_id, PREFIX + "server-seal": "s"}
        answer = encode_response(status, seal, b"answer to " + request_id.encode())
        writer.write(answer)
        return answer if self._rng.random() < self.repeat_probability else b""

    async def _stream(
        self, request: Request, request_id: str, needs_prefill: bool, writer: asyncio.StreamWriter
    ) -> None:
        if needs_prefill:
            await asyncio.sleep(PREFILL_TIME)
        head = (
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n"
            f"{PREFIX}request-id: {request_id}\r\n{PREFIX}server-seal: s\r\n\r\n"
        )
        writer.write(head.encode())
        backup = request.headers.get(PREFIX + "kv-backup")
        first = int(request.headers.get("last-event-id", "-1")) + 1
        for number in range(first, STREAM_EVENTS):
            data = event_bytes(request.body, number)
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            await writer.drain()
            if backup in self.kv_copies:
                self.kv_copies[backup].add(request_id)
            await asyncio.sleep(EVENT_INTERVAL)
        writer.write(b"0\r\n\r\n")
