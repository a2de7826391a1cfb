"""Caller that reuses its connection until the entry process closes it."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING

import h11

from soak.backend import STREAM_EVENTS, event_bytes
from soak.record import CallRecord

if TYPE_CHECKING:
    from random import Random

    from soak.entry import Entry
    from soak.record import Record

__all__ = ["Caller"]

PREFIX = "x-sapphireledge-"
DEADLINE = 4.0
"""Deadline that callers send with each request, in seconds."""

HANG_SLACK = 1.0
"""Seconds past the deadline after which an unanswered request counts as hung."""

_request_numbers = itertools.count(1)


class Caller:
    """Sends requests to entries one after another and checks the answers."""

    def __init__(self, record: Record, rng: Random, keys: list[str]) -> None:
        self._record = record
        self._rng = rng
        self._keys = keys
        self._entry: Entry | None = None
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def call(self, entry: Entry, path: str, key: str = "") -> CallRecord:
        """Sends one request and checks its answer.

        Args:
            entry: Entry to connect to; an open connection is reused until it is closed.
            path: Request path, which selects the route.
            key: API key; empty picks a random valid one.

        Returns:
            The record of the call, including any violation.
        """
        key = key or self._rng.choice(self._keys)
        call = CallRecord(f"id{next(_request_numbers)}", path, key, time.monotonic())
        self._record.calls[call.request_id] = call
        try:
            async with asyncio.timeout(DEADLINE + HANG_SLACK):
                await self._exchange(entry, call)
        except TimeoutError:
            if self._entry is not None and self._entry.was_undisturbed_since(call.sent):
                call.violation = f"hung at {self._entry.name}"
            self._close()
        except (OSError, h11.RemoteProtocolError):
            self._close()
        return call

    async def _exchange(self, entry: Entry, call: CallRecord) -> None:
        if self._writer is None or self._reader is None or self._reader.at_eof():
            self._close()
            self._entry = entry
            self._reader, self._writer = await asyncio.open_connection(*entry.address)
        call.sent = time.monotonic()
        body = call.request_id.encode()
        parser = h11.Connection(h11.CLIENT)
        head = h11.Request(
            method="POST",
            target=call.path,
            headers=[
                ("host", "soak.example"),
                (PREFIX + "request-id", call.request_id),
                (PREFIX + "deadline-ms", str(int(DEADLINE * 1000))),
                ("authorization", f"Token {call.key}"),
                ("content-length", str(len(body))),
            ],
        )
        data = (parser.send(head) or b"") + (parser.send(h11.Data(data=body)) or b"")
        self._writer.write(data + (parser.send(h11.EndOfMessage()) or b""))
        received = await self._read(parser, call)
        self._check_body(call, body, received)

    async def _read(self, parser: h11.Connection, call: CallRecord) -> bytes:
        assert self._reader is not None
        received = bytearray()
        closing = False
        sealed = False
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await self._reader.read(65536))
            elif isinstance(event, h11.Response):
                call.status = event.status_code
                headers = {name.decode(): value.decode() for name, value in event.headers}
                sealed = PREFIX + "server-seal" in headers
                closing = headers.get("connection") == "close"
                answered_id = headers.get(PREFIX + "request-id")
                if sealed and answered_id != call.request_id:
                    call.violation = "answer to another request"
            elif isinstance(event, h11.Data):
                received += event.data
                self._check_prefix(call, received)
            elif isinstance(event, h11.EndOfMessage):
                call.complete = True
                break
            else:
                break
        if call.status == 200 and not sealed:
            call.violation = "success without a server seal"
        if closing or not call.complete:
            self._close()
        return bytes(received)

    def _check_prefix(self, call: CallRecord, received: bytearray) -> None:
        if call.path != "/stream/" or call.status != 200:
            return
        body = call.request_id.encode()
        expected = b"".join(event_bytes(body, number) for number in range(STREAM_EVENTS))
        if not expected.startswith(bytes(received)):
            call.violation = "unexpected stream content"

    def _check_body(self, call: CallRecord, body: bytes, received: bytes) -> None:
        if not call.complete or call.status != 200:
            return
        if call.path == "/stream/":
            expected = b"".join(event_bytes(body, number) for number in range(STREAM_EVENTS))
        else:
            expected = b"answer to " + body
        if received != expected:
            call.violation = "success with an incomplete or wrong body"

    def _close(self) -> None:
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None
