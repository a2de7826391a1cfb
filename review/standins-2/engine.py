"""Stand-in of a model engine, for the scripts of review 2."""

from __future__ import annotations

import asyncio
import json
import time

from fleet import PREFIX, Record, Request, Store, encode_response, read_request

EVENTS = 130
EVENT_GAP = 0.15
PREFILL_TIME = 0.8
TOKENS_PER_EVENT = 5
PROMPT_TOKENS = 4000
CACHE_TOKENS = 88_000
REPEAT_TIME = 4.8


class Run:
    """A request that an engine runs."""

    def __init__(self, request_id: str, events: int, number: int) -> None:
        self.request_id = request_id
        self.events = events
        self.number = number
        """Number of its connection in the order of acceptance."""


class Engine:
    """Streams events, copies the memory of its runs to other engines, and reports its load."""

    by_address: dict[str, Engine] = {}  # noqa: RUF012

    def __init__(self, store: Store, record: Record, service: str, name: str, zone: str) -> None:
        self.name, self.service, self.zone = name, service, zone
        self.address = ""
        self.waiting = 0
        """Requests of other instances that wait, as the report tells."""

        self.copies: dict[str, str] = {}
        """Ids of the requests whose memory is held here, by the text of `Kv-From`."""

        self.mixed: list[tuple[str, str]] = []
        """Requests that went on from the memory of another one, with that one."""

        self.answered_at: list[float] = []
        """Times of all answers, reports included."""

        self.extra_answers = 0
        self.may_repeat = False
        """Whether the answer to a copy is sent once more, late."""

        self.least_answers = 0
        """Answers in the last `REPEAT_TIME` seconds from which on one of them is repeated."""

        self._runs: dict[str, Run] = {}
        self._handles: dict[str, str] = {}
        self._seq = 0
        self._connections: list[asyncio.StreamWriter] = []
        self._server: asyncio.Server | None = None
        self._store = store
        self._record = record
        self._born = int(time.time() * 1000)

    async def start(self, host: str) -> None:
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"
        self.by_address[self.address] = self
        self.publish("ready")

    def publish(self, state: str) -> None:
        self._seq += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": 64,
            "state": state,
            "cold_left_ms": 0,
            "seq": self._seq,
            "born": self._born,
        }
        self._store.put("servers", self.name, entry)
        self._record.write(f"{self.name} is {state}")

    def crash(self) -> None:
        """Ends like a killed process: the kernel closes its sockets in the order of acceptance."""
        self._record.write(f"{self.name} crashes; it ran {', '.join(self._runs)}")
        assert self._server is not None
        self._server.close()
        for writer in self._connections:
            writer.transport.abort()

    @property
    def runs(self) -> int:
        return len(self._runs)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._connections.append(writer)
        number = len(self._connections)
        copied: tuple[str, bytes] | None = None
        try:
            while (request := await read_request(reader)) is not None:
                self.answered_at.append(time.monotonic())
                if request.target == "/kv-move":
                    request_id, answer = await self._copy(request)
                    if copied is not None and self._is_repeated(copied[0], request_id):
                        self.extra_answers += 1
                        self._record.write(
                            f"{self.name} repeats its answer to the copy of {copied[0]} before that"
                            f" to the copy of {request_id}: {copied[1][-60:]!r}"
                        )
                        writer.write(copied[1])
                    copied = (request_id, answer)
                    writer.write(answer)
                else:
                    copied = None
                    await self._answer(request, writer, number)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.transport.abort()

    def _is_repeated(self, earlier: str, later: str) -> bool:
        """Whether the earlier answer is sent again: once, and for two runs that go on."""
        first, second = self._runs.get(earlier), self._runs.get(later)
        return (
            self.may_repeat
            and not self.extra_answers
            and first is not None
            and second is not None
            and second.number < first.number
            and self.count_answers(REPEAT_TIME) >= self.least_answers
        )

    def count_answers(self, seconds: float) -> int:
        """Counts the answers of the last seconds."""
        since = time.monotonic() - seconds
        return sum(1 for at in self.answered_at if at >= since)

    async def _copy(self, request: Request) -> tuple[str, bytes]:
        """Copies the memory of a run to another engine, and answers with its handle."""
        body = json.loads(request.body)
        request_id, target = body["id"], body["target"]
        run, holder = self._runs.get(request_id), self.by_address.get(target)
        await asyncio.sleep(0.02)
        if run is None:
            return request_id, encode_response(404, {}, b"")
        if holder is None:
            return request_id, encode_response(503, {}, b"")
        handle = self._handles.setdefault(request_id, f"h{len(self._handles) + 1}")
        holder.copies[f"{self.address}/{handle}"] = request_id
        self._record.write(f"{self.name} copies {request_id} to {holder.name}, handle {handle}")
        answer = json.dumps({"handle": handle, "created": run.events}).encode()
        head = {"Content-Type": "application/json", "Keep-Alive": "timeout=20"}
        return request_id, encode_response(200, head, answer)

    async def _answer(self, request: Request, writer: asyncio.StreamWriter, number: int) -> None:
        if request.target == "/report":
            writer.write(encode_response(200, {}, json.dumps(self._report()).encode()))
        elif request.target == "/kv-list":
            cache = {"epoch": 1, "next": 0, "held": []}
            writer.write(encode_response(200, {}, json.dumps(cache).encode()))
        elif request.target.startswith("/kv-handle/"):
            self._free(request.target.removeprefix("/kv-handle/"))
            writer.write(encode_response(200, {}, b""))
        elif request.headers.get(PREFIX + "expect-instance", self.name) != self.name:
            writer.write(encode_response(421, {}, b""))
        else:
            await self._run(request, writer, number)

    def _free(self, handle: str) -> None:
        self._record.write(f"{self.name} frees the copy {handle}")
        for engine in self.by_address.values():
            engine.copies.pop(f"{self.address}/{handle}", None)

    def _report(self) -> dict:
        tokens = sum(PROMPT_TOKENS + TOKENS_PER_EVENT * run.events for run in self._runs.values())
        return {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "seq": 1,
            "waiting": self.waiting,
            "running": len(self._runs),
            "kv_used": tokens,
            "kv_total": CACHE_TOKENS,
            "handles": len(self.copies),
            "pinned": 0,
            "held": 0,
            "state": "ready",
            "next": PROMPT_TOKENS if self.waiting else 0,
            "runs": [
                [run.request_id, PROMPT_TOKENS, run.events, 0]
                for run in self._runs.values()
                if run.events
            ],
            "born": self._born,
        }

    async def _run(self, request: Request, writer: asyncio.StreamWriter, number: int) -> None:
        request_id = request.headers[PREFIX + "request-id"]
        source = request.headers.get("kv-from")
        if source is not None:
            owner = self.copies.pop(source, None)
            if owner is None:
                self._record.write(f"{self.name} has no copy {source} for {request_id}")
                head = {"X-Sapphireledge-Not-Executed": "1"}
                head["X-Sapphireledge-Request-Id"] = request_id
                writer.write(encode_response(503, head, b""))
                return
            self._record.write(f"{self.name}: {request_id} goes on from the memory of {owner}")
            if owner != request_id:
                self.mixed.append((request_id, owner))
        last = int(request.headers.get("last-event-id", "-1"))
        run = self._runs[request_id] = Run(request_id, last + 1, number)
        self._record.write(f"{self.name} runs {request_id} after event {last}")
        try:
            await asyncio.sleep(0.05 if source is not None else PREFILL_TIME)
            head = (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                "Transfer-Encoding: chunked\r\n"
                f"X-Sapphireledge-Request-Id: {request_id}\r\n"
                "X-Sapphireledge-Server-Seal: s1\r\nX-Sapphireledge-Weight-Versions: 1\r\n\r\n"
            )
            writer.write(head.encode())
            backup = self.by_address.get(request.headers.get(PREFIX + "kv-backup", ""))
            for event in range(last + 1, EVENTS):
                data = f"id: {event}\ndata: {request_id}/{event}\n\n".encode()
                writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
                await writer.drain()
                run.events = event + 1
                if backup is not None:
                    backup.copies[f"{backup.address}/{request_id}"] = request_id
                await asyncio.sleep(EVENT_GAP)
            writer.write(b"0\r\n\r\n")
        finally:
            del self._runs[request_id]
