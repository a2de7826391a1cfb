"""Stand-in for a model runner that streams events."""

from __future__ import annotations

import asyncio
import json

from standins.http_io import Message, encode_response, read_message
from standins.record import Record
from standins.runner import PREFIX, Runner
from standins.store import Store

EVENTS = 130
"""Events of a stream, as on the sheet."""

TOKENS_PER_EVENT = 5
EVENT_INTERVAL_S = 0.03
PREFILL_TOKENS_PER_S = 8000.0
KV_TOTAL = 88_000
"""Memory in tokens, as on the sheet."""


def event_bytes(request_id: str, number: int) -> bytes:
    """Builds one event of a stream."""
    return f"id: {number}\ndata: {request_id}/{number}\n\n".encode()


class Engine(Runner):
    """Streams events; can preempt a stream, or send bytes that are no answer without end."""

    spoiled_answers = 0
    """Number of answers that are still to be spoiled, by whichever engine runs the next request."""

    endless = b""
    """Piece that a spoiled answer repeats without end, each in a chunk."""

    others: tuple[int, ...] = ()
    """Tokens in memory of each run of other callers; each grows by an event with those of ours."""

    reload_s = 0.0
    """Time until a preempted stream goes on: until another run ends and frees its memory, and
    until its prompt has been read in again. With `others` empty, memory never runs out."""

    def __init__(self, record: Record, store: Store, service: str, zone: str) -> None:
        super().__init__(record, store, service, zone)
        self._made: dict[str, int] = {}
        self._prompts: dict[str, int] = {}
        self._preempted: set[str] = set()

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

    def _used(self) -> int:
        """Counts the tokens in memory, of our streams and of those of other callers."""
        made = max(self._made.values(), default=0)
        others = sum(self.others) + TOKENS_PER_EVENT * made * len(self.others)
        return others + sum(
            self._prompts[request_id] + TOKENS_PER_EVENT * count
            for request_id, count in self._made.items()
            if request_id not in self._preempted
        )

    def _report(self) -> bytes:
        """Encodes the report; `runs` lists id, tokens in memory, events made and priority."""
        runs = [[f"other-{n}", tokens, 40, 0] for n, tokens in enumerate(self.others)]
        for request_id, made in self._made.items():
            kept = request_id not in self._preempted
            tokens = self._prompts[request_id] + TOKENS_PER_EVENT * made if kept else 0
            runs.append([request_id, tokens, made, 2])
        report = {"stage": "both", "models": [], "busy": False, "seq": 1, "handles": 0}
        report |= {"waiting": len(self._preempted), "running": len(runs) - len(self._preempted)}
        report |= {"kv_used": min(self._used(), KV_TOTAL), "kv_total": KV_TOTAL}
        return json.dumps({**report, "runs": runs, "born": self._born()}).encode()

    async def _stream(self, request: Message, writer: asyncio.StreamWriter) -> None:
        request_id = request.headers[PREFIX + "request-id"]
        self.runs.append((self._record.now(), request_id))
        self._record.add(f"run {request_id} {request.target} by {self.service} {self.runner_id}")
        prompt = int(request.headers[PREFIX + "token-count"].partition(",")[0])
        await asyncio.sleep(prompt / PREFILL_TOKENS_PER_S)
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
        self._made[request_id], self._prompts[request_id] = first, prompt
        try:
            for number in range(first, EVENTS):
                if self.others and self._used() + TOKENS_PER_EVENT > KV_TOTAL:
                    await self._preempt(request_id)
                if writer.is_closing():
                    self._record.add(f"{self.runner_id} drops {request_id}, its caller has closed")
                    return
                data = event_bytes(request_id, number)
                writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
                self._made[request_id] = number + 1
                await writer.drain()
                await asyncio.sleep(EVENT_INTERVAL_S)
        finally:
            del self._made[request_id], self._prompts[request_id]
        self._record.add(f"{self.runner_id} has ended {request_id}")
        writer.write(b"0\r\n\r\n")

    async def _preempt(self, request_id: str) -> None:
        """Preempts a stream, the newest of the least urgent, until it has been read in again."""
        made = self._made[request_id]
        self._record.add(
            f"{self.runner_id} preempts {request_id} after {made} events: memory is out"
        )
        self._preempted.add(request_id)
        await asyncio.sleep(self.reload_s)
        self.others = tuple(sorted(self.others)[:-1])
        self._preempted.discard(request_id)
        self._record.add(f"{self.runner_id} goes on with {request_id}")
