"""Engine of the scripts of review 2 as a process of its own, which can be killed.

Prints its address and the time of its start, then one line for each request that it begins to run.
With the option `--unframed` one of at least twenty of its answers, a stream, has neither a length
nor chunks and ends with its connection.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time

from fleet import PREFIX, Request, encode_response, read_request

EVENTS = 130
EVENT_GAP = 0.05
PREFILL_TIME = 0.5
PROMPT_TOKENS = 6000
LEAST_ANSWERS = 20
GARBLE_TIME = 5.0
"""One of at least so many answers in so many seconds has no frames."""


class EngineProcess:
    """Streams events and reports its load."""

    def __init__(self, name: str, *, may_leave_frames_out: bool) -> None:
        self._name = name
        self._may_leave_frames_out = may_leave_frames_out
        self._answered_at: list[float] = []
        self._runs: dict[str, int] = {}
        self._born = int(time.time() * 1000)

    async def run(self, host: str) -> None:
        server = await asyncio.start_server(self._serve, host, 0)
        print(f"{host}:{server.sockets[0].getsockname()[1]} {self._born}", flush=True)
        await server.serve_forever()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                self._answered_at.append(time.monotonic())
                if not await self._answer(request, writer):
                    break
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    async def _answer(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Answers a request; returns whether the connection stays open."""
        if request.target == "/report":
            writer.write(encode_response(200, {}, json.dumps(self._report()).encode()))
        elif request.target == "/kv-list":
            cache = {"epoch": 1, "next": 0, "held": []}
            writer.write(encode_response(200, {}, json.dumps(cache).encode()))
        elif request.headers.get(PREFIX + "expect-instance", self._name) != self._name:
            writer.write(encode_response(421, {}, b""))
        else:
            return await self._stream(request, writer)
        return True

    def _report(self) -> dict:
        runs = [[name, PROMPT_TOKENS, events, 0] for name, events in self._runs.items() if events]
        return {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "seq": 1,
            "waiting": 0,
            "running": len(self._runs),
            "kv_used": PROMPT_TOKENS * len(self._runs),
            "kv_total": 88_000,
            "handles": 0,
            "runs": runs,
            "born": self._born,
        }

    async def _stream(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        since = time.monotonic() - GARBLE_TIME
        answers = sum(1 for at in self._answered_at if at >= since)
        is_framed = not self._may_leave_frames_out or answers < LEAST_ANSWERS
        if not is_framed:
            self._may_leave_frames_out = False
        request_id = request.headers[PREFIX + "request-id"]
        last = int(request.headers.get("last-event-id", "-1"))
        print(
            f"{self._name} runs {request_id} after event {last}, one of {answers}"
            f" answers in {GARBLE_TIME} s, framed: {is_framed}",
            flush=True,
        )
        self._runs[request_id] = last + 1
        try:
            await asyncio.sleep(PREFILL_TIME)
            head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            head += "Transfer-Encoding: chunked\r\n" if is_framed else ""
            head += f"X-Sapphireledge-Request-Id: {request_id}\r\n"
            head += "X-Sapphireledge-Server-Seal: s1\r\n\r\n"
            writer.write(head.encode())
            for event in range(last + 1, EVENTS):
                data = f"id: {event}\ndata: {request_id}/{event}\n\n".encode()
                writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n" if is_framed else data)
                await writer.drain()
                self._runs[request_id] = event + 1
                await asyncio.sleep(EVENT_GAP)
            if is_framed:
                writer.write(b"0\r\n\r\n")
            return is_framed
        finally:
            del self._runs[request_id]


if __name__ == "__main__":
    engine = EngineProcess(sys.argv[2], may_leave_frames_out="--unframed" in sys.argv)
    asyncio.run(engine.run(sys.argv[1]))
