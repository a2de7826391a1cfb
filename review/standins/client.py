"""Stand-in for a client that keeps its connection open."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass

from standins.entry import FRONT_PORT, Entry
from standins.http_io import Message, encode_request, read_message
from standins.record import Record

HOST = "court.example"
_numbers = itertools.count(1)


@dataclass
class Call:
    """One request and its answer."""

    request_id: str
    path: str
    sent: float
    status: int | None = None
    body: bytes = b""
    answered: float | None = None
    ended: float = 0.0


class Client:
    """Sends one request at a time to one machine, on one connection while it lasts."""

    def __init__(self, record: Record, entry: Entry) -> None:
        self._record = record
        self.entry = entry
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self.calls: list[Call] = []

    async def call(
        self, path: str, *, method: str = "GET", key: str = "", deadline_ms: int = 2500
    ) -> Call:
        """Sends a request and waits for its answer, at most until the deadline."""
        headers = {
            "Host": HOST,
            "X-Sapphireledge-Request-Id": f"{next(_numbers):016x}",
            "X-Sapphireledge-Deadline-Ms": str(deadline_ms),
        }
        if key:
            headers["Authorization"] = f"Token {key}"
        request_id = headers["X-Sapphireledge-Request-Id"]
        call = Call(request_id, path, self._record.now())
        self.calls.append(call)
        answer: Message | None = None
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                if self._writer is None or self._reader is None or self._reader.at_eof():
                    self.close()
                    self._reader, self._writer = await asyncio.open_connection(
                        self.entry.host, FRONT_PORT
                    )
                call.sent = self._record.now()
                self._writer.write(encode_request(method, path, headers))
                answer = await read_message(self._reader)
        except (OSError, TimeoutError):
            answer = None
        if answer is None or answer.headers.get("connection", "").lower() == "close":
            self.close()
        if answer is not None:
            call.status, call.body, call.answered = answer.status, answer.body, self._record.now()
        self._record.add(
            f"call {request_id} {method} {path} to {self.entry.name} sent {call.sent:.3f} "
            f"answer {call.status} {call.body.decode('latin-1')}"
        )
        return call

    async def call_stream(
        self, path: str, *, key: str, deadline_ms: int, prompt_tokens: int = 8200
    ) -> Call:
        """Sends a request for a stream, and reads the answer to its end or the deadline."""
        request_id = f"{next(_numbers):016x}"
        call = Call(request_id, path, self._record.now())
        self.calls.append(call)
        headers = {
            "Host": HOST,
            "X-Sapphireledge-Request-Id": request_id,
            "X-Sapphireledge-Deadline-Ms": str(deadline_ms),
            "X-Sapphireledge-Model": "m",
            "X-Sapphireledge-Token-Count": f"{prompt_tokens},650",
            "X-Sapphireledge-Prefix-Hash": f"5c1e07a2:200,{request_id}:{prompt_tokens - 200}",
            "Authorization": f"Token {key}",
        }
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                reader, writer = await asyncio.open_connection(self.entry.host, FRONT_PORT)
                writer.write(encode_request("POST", path, headers, b"{}"))
                head = await reader.readuntil(b"\r\n\r\n")
                call.status = int(head.split(b" ")[1])
                while not call.body.endswith(b"0\r\n\r\n") and call.status == 200:
                    piece = await reader.read(65536)
                    if not piece:
                        break
                    call.body += piece
                call.answered = self._record.now()
                writer.transport.abort()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            call.answered = None
        call.ended = self._record.now()
        self._record.add(
            f"stream {request_id} {path} to {self.entry.name} sent {call.sent:.3f} answer "
            f"{call.status}, {len(call.body)} bytes, ended {call.ended:.3f}"
        )
        return call

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None
