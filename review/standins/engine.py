"""Stand-in for a model runner that streams events."""

from __future__ import annotations

import asyncio
import json

from standins.http_io import Message, encode_response, read_message
from standins.record import Record
from standins.runner import PREFIX, Runner
from standins.store import Store

EVENTS = 20
"""Events of a stream."""

EVENT_INTERVAL_S = 0.03
PREFILL_S = 0.2


def event_bytes(request_id: str, number: int) -> bytes:
    """Builds one event of a stream."""
    return f"id: {number}\ndata: {request_id}/{number}\n\n".encode()


class Engine(Runner):
    """Streams events; can preempt a stream, or send bytes that are no answer without end."""

    spoiled_answers = 0
    """Number of answers that are still to be spoiled, by whichever engine runs the next request."""

    endless = b""
    """Piece that a spoiled answer repeats without end, each in a chunk."""

    preempt_after = 0
    """Event after which a stream is preempted once; 0 for never."""

    preempted_s = 0.0
    """Time until a preempted stream has been read in again and goes on."""

    def __init__(self, record: Record, store: Store, service: str, zone: str) -> None:
        super().__init__(record, store, service, zone)
        self._made: dict[str, int] = {}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                if request.target == "/report":
                    writer.write(encode_response(200, {}, self._report()))
                elif request.target == "/kv-list":
                    data = json.dumps({"epoch": 1, "next": 1, "held": []})
                    writer.write(encode_response(200, {}, data.encode()))
                elif request.headers.get(PREFIX + "expect-instance") != self.runner_id:
                    writer.write(encode_response(421, {PREFIX + "instance-id": self.runner_id}))
                else:
                    await self._stream(request, writer)
                await writer.drain()
        except OSError:
            return
        finally:
            writer.transport.abort()

    def _report(self) -> bytes:
        """Encodes the report; `runs` lists id, tokens in memory, events made and priority."""
        runs = [[request_id, 400, made, 0] for request_id, made in self._made.items()]
        report = {"stage": "both", "models": [], "busy": False, "seq": 1, "waiting": 0}
        used = {"running": len(runs), "kv_used": 400 * len(runs), "kv_total": 88000, "handles": 0}
        return json.dumps({**report, **used, "runs": runs, "born": self._born()}).encode()

    async def _stream(self, request: Message, writer: asyncio.StreamWriter) -> None:
        request_id = request.headers[PREFIX + "request-id"]
        self.runs.append((self._record.now(), request_id))
        self._record.add(f"run {request_id} {request.target} by {self.service} {self.runner_id}")
        await asyncio.sleep(PREFILL_S)
        head = (
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            f"{PREFIX}request-id: {request_id}\r\n{PREFIX}server-seal: s.{request_id}\r\n\r\n"
        )
        writer.write(head.encode())
        if Engine.spoiled_answers:
            Engine.spoiled_answers -= 1
            self._record.add(f"{self.runner_id} sends bytes without end")
            chunk = f"{len(self.endless):x}\r\n".encode() + self.endless + b"\r\n"
            sent = 0
            try:
                while True:
                    writer.write(chunk * 4096)
                    sent += 4096
                    await writer.drain()
            finally:
                self._record.add(f"{self.runner_id} has sent {sent} chunks until the caller closed")
        first = int(request.headers.get("last-event-id", "-1")) + 1
        self._made[request_id] = first
        try:
            for number in range(first, EVENTS):
                data = event_bytes(request_id, number)
                writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
                self._made[request_id] = number + 1
                await writer.drain()
                await asyncio.sleep(EVENT_INTERVAL_S)
                if self.preempt_after and number + 1 == self.preempt_after:
                    self._record.add(f"{self.runner_id} preempts {request_id}")
                    await asyncio.sleep(self.preempted_s)
                if writer.is_closing():
                    self._record.add(f"{self.runner_id} drops {request_id}, its caller has closed")
                    return
        finally:
            del self._made[request_id]
        self._record.add(f"{self.runner_id} has ended {request_id}")
        writer.write(b"0\r\n\r\n")
