"""Callers that use open connections until the process is gone."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING

import h11

from soak.backend import EVENTS, event_bytes
from soak.record import Answer

if TYPE_CHECKING:
    from random import Random

    from soak.entry import Entry
    from soak.record import Record

__all__ = ["Caller"]

PREFIX = "x-sapphireledge-"
DEADLINE = 4.0
"""Seconds that a caller waits."""

HANG_SLACK = 1.0
"""Seconds after the deadline at which an entry that still holds the request has hung."""

_numbers = itertools.count(1)


class Caller:
    """Sends one request after the other to entries."""

    def __init__(self, record: Record, rng: Random, keys: list[str]) -> None:
        self._record = record
        self._rng = rng
        self._keys = keys
        self._entry: Entry | None = None
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def call(self, entry: Entry, path: str, key: str = "") -> Answer:
        """Makes one request.

        Args:
            entry: Entry for a new connection; an open one is used until it is closed.
            path: Path that selects the route.
            key: API key, empty for any valid one.

        Returns:
            What came of it.
        """
        key = key or self._rng.choice(self._keys)
        answer = Answer(f"id{next(_numbers)}", path, key, time.monotonic())
        self._record.answers[answer.request_id] = answer
        try:
            async with asyncio.timeout(DEADLINE + HANG_SLACK):
                await self._exchange(entry, answer)
        except TimeoutError:
            if self._entry is not None and self._entry.was_calm_since(answer.sent):
                answer.broken = f"hung at {self._entry.name}"
            self._close()
        except (OSError, h11.RemoteProtocolError):
            self._close()
        return answer

    async def _exchange(self, entry: Entry, answer: Answer) -> None:
        if self._writer is None or self._reader is None or self._reader.at_eof():
            self._close()
            self._entry = entry
            self._reader, self._writer = await asyncio.open_connection(*entry.address)
        answer.sent = time.monotonic()
        body = answer.request_id.encode()
        parser = h11.Connection(h11.CLIENT)
        head = h11.Request(
            method="POST",
            target=answer.path,
            headers=[
                ("host", "soak.example"),
                (PREFIX + "request-id", answer.request_id),
                (PREFIX + "deadline-ms", str(int(DEADLINE * 1000))),
                ("authorization", f"Token {answer.key}"),
                ("content-length", str(len(body))),
            ],
        )
        data = (parser.send(head) or b"") + (parser.send(h11.Data(data=body)) or b"")
        self._writer.write(data + (parser.send(h11.EndOfMessage()) or b""))
        received = await self._read(parser, answer)
        self._judge(answer, body, received)

    async def _read(self, parser: h11.Connection, answer: Answer) -> bytes:
        assert self._reader is not None
        received = bytearray()
        closing = False
        signed = False
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await self._reader.read(65536))
            elif isinstance(event, h11.Response):
                answer.status = event.status_code
                headers = {name.decode(): value.decode() for name, value in event.headers}
                signed = PREFIX + "server-seal" in headers
                closing = headers.get("connection") == "close"
                named = headers.get(PREFIX + "request-id")
                if signed and named != answer.request_id:
                    answer.broken = "answer to another request"
            elif isinstance(event, h11.Data):
                received += event.data
                self._check_order(answer, received)
            elif isinstance(event, h11.EndOfMessage):
                answer.complete = True
                break
            else:
                break
        if answer.status == 200 and not signed:
            answer.broken = "unsigned success"
        if closing or not answer.complete:
            self._close()
        return bytes(received)

    def _check_order(self, answer: Answer, received: bytearray) -> None:
        if answer.path != "/stream/" or answer.status != 200:
            return
        body = answer.request_id.encode()
        wanted = b"".join(event_bytes(body, number) for number in range(EVENTS))
        if not wanted.startswith(bytes(received)):
            answer.broken = "order"

    def _judge(self, answer: Answer, body: bytes, received: bytes) -> None:
        if not answer.complete or answer.status != 200:
            return
        if answer.path == "/stream/":
            wanted = b"".join(event_bytes(body, number) for number in range(EVENTS))
        else:
            wanted = b"answer to " + body
        if received != wanted:
            answer.broken = "success without the whole body"

    def _close(self) -> None:
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None
