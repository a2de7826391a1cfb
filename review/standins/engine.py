"""Stand-in for a model runner that streams events."""

from __future__ import annotations

import asyncio
import json

from standins.http_io import Message, encode_response, read_message
from standins.runner import PREFIX, Runner

EVENTS = 20
"""Events of a stream."""

EVENT_INTERVAL_S = 0.03
PREFILL_S = 0.2


def event_bytes(request_id: str, number: int) -> bytes:
    """Builds one event of a stream."""
    return f"id: {number}\ndata: {request_id}/{number}\n\n".encode()


class Engine(Runner):
    """Streams events; in trouble, it sends bytes that are no answer until the caller closes."""

    spoiled_answers = 0
    """Number of answers that are still to be spoiled, by whichever engine runs the next request."""

    endless = b""
    """Piece that a spoiled answer repeats without end, each in a chunk."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                if request.target == "/report":
                    report = {"stage": "both", "models": [], "waiting": 0, "running": 0}
                    data = json.dumps({**report, "kv_used": 0, "kv_total": 88000, "runs": []})
                    writer.write(encode_response(200, {}, data.encode()))
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
        for number in range(first, EVENTS):
            data = event_bytes(request_id, number)
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(b"0\r\n\r\n")
