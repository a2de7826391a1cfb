"""Stand-in for a runner of a plain service."""

from __future__ import annotations

import asyncio
import time

from standins.http_io import Message, encode_response, read_message
from standins.record import Record
from standins.store import Store

PREFIX = "x-sapphireledge-"


class Runner:
    """Runs plain requests in `work_s` seconds and records each run with its service."""

    def __init__(
        self, record: Record, store: Store, service: str, zone: str, work_s: float = 0.005
    ) -> None:
        self._record = record
        self._store = store
        self._work_s = work_s
        self.service = service
        self.zone = zone
        self.address = ""
        self.runner_id = ""
        self.runs: list[tuple[float, str]] = []
        """Time and request id of each run."""

    async def start(self) -> None:
        """Listens on a free port and registers."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.runner_id = f"i-{self.service}-{port}"
        self.register("ready")

    def register(self, state: str) -> float:
        """Writes the entry of the runner; returns the time of the ack."""
        spec = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 6,
            "state": state,
            "cold_left_ms": 0,
            "born": self._born(),
            "seq": 1,
        }
        return self._store.put("servers", self.runner_id, spec)

    def _born(self) -> int:
        if not hasattr(self, "_born_ms"):
            self._born_ms = int(time.time() * 1000)
        return self._born_ms

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                writer.write(await self._answer(request))
                await writer.drain()
        except OSError:
            return
        finally:
            writer.transport.abort()

    async def _answer(self, request: Message) -> bytes:
        if request.target == "/health":
            return encode_response(200, {PREFIX + "instance-id": self.runner_id})
        request_id = request.headers.get(PREFIX + "request-id")
        if request_id is None:
            return encode_response(400, {PREFIX + "not-executed": "1"})
        if request.headers.get(PREFIX + "expect-instance", self.runner_id) != self.runner_id:
            return encode_response(421, {PREFIX + "instance-id": self.runner_id})
        self.runs.append((self._record.now(), request_id))
        self._record.add(f"run {request_id} {request.target} by {self.service} {self.runner_id}")
        await asyncio.sleep(self._work_s)
        headers = {PREFIX + "request-id": request_id, PREFIX + "server-seal": f"s.{request_id}"}
        return encode_response(200, headers, f"{self.service} {request_id}".encode())
