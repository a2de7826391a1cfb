"""Test case with entry instances and engine stand-ins of several software versions."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field

from standin_case import Engine, StandinCase
from starlette.datastructures import Headers
from starlette.responses import StreamingResponse
from test_explain_own import create_config
from test_peers import make_settings

from sapphireledge.entry.entry_server import EntryServer
from sapphireledge.entry.generation_session import GenerationSession
from sapphireledge.entry.parse_request import parse_request
from sapphireledge.objects import Instance, InstanceKind
from sapphireledge_standins.chained_answer import check_chained_answer

PROMPT = "draft a summary"
TOKENS = 60
WAIT = 5.0


@dataclass
class Received:
    """What a caller has received over all its connections."""

    text: str = ""
    position: str = ""
    kind: str = ""
    """Kind of the refusal."""
    ran: str = ""
    ended: bool = False
    positions: list[str] = field(default_factory=list)

    @property
    def problem(self) -> str:
        """Why the text is not of one generation; empty if it is."""
        return check_chained_answer(self.text, PROMPT).problem

    @property
    def attempts(self) -> set[str]:
        """Nonces of the attempts that generated the text."""
        return set(check_chained_answer(self.text, PROMPT).nonces)

    @property
    def boots(self) -> set[str]:
        """Starts of the boot ids of the engines that generated the text."""
        return {nonce.split("-")[0] for nonce in self.attempts}


class SoftwareFleetCase(StandinCase):
    """Runs entry instances in the test process, without a platform."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.engines: dict[str, Engine] = {}
        self.entries: dict[str, EntryServer] = {}
        self.addresses: dict[str, str] = {}

    async def add_engine(self, name: str, software: str, **options) -> Engine:
        options = {"token_rate": 60.0, "software_version": software, **options}
        self.engines[name] = engine = await self.start_engine(name=name, **options)
        return engine

    async def stop_engine(self, name: str) -> None:
        """Ends an engine at once; it disappears from the instance list."""
        engine = self.engines.pop(name)
        engine.server.abort()
        self.list_instances()

    async def add_entry(self, name: str) -> EntryServer:
        server = EntryServer(make_settings(name))
        self.entries[name] = server
        for stored in create_config().objects_since(0):
            server._config.apply(stored)
        await server._start_servers()
        self.addresses[name] = f"127.0.0.1:{server._peer_server.port}"
        server._mesh.start(self.addresses[name])
        server._copies.start()
        server._spawn(server._pool.run())
        server.lifecycle.mark_ready()
        self.addAsyncCleanup(self.stop_entry, name)
        return server

    async def stop_entry(self, name: str) -> None:
        """Ends an instance; its callers' connections are not closed."""
        server = self.entries.pop(name, None)
        if server is not None:
            for runner in server._registry._runners.values():
                runner._end_tasks()
            await server._close()

    def list_instances(self) -> None:
        """Publishes the instance list to all entries."""
        rows = [
            Instance(name, InstanceKind.ENGINE, engine.server.address, "a", "r", role="drafting")
            for name, engine in self.engines.items()
        ]
        rows += [
            Instance(name, InstanceKind.ENTRY, address, "a", "r")
            for name, address in self.addresses.items()
        ]
        for server in self.entries.values():
            server._on_instances(tuple(rows))

    async def wait_for(self, condition) -> None:
        async with asyncio.timeout(WAIT):
            while not condition():
                await asyncio.sleep(0.01)

    async def start_fleet(self, *entries: str) -> None:
        """Starts entries and waits until they know each other and all engines."""
        for name in entries:
            await self.add_entry(name)
        self.list_instances()
        await self.wait_for(lambda: all(map(self.is_complete, self.entries.values())))

    def is_complete(self, server: EntryServer) -> bool:
        states = server._view.states()
        return (
            len(states) == len(self.engines)
            and all(state.report is not None for state in states)
            and len(server._mesh.live) == len(self.entries)
            and (len(self.entries) == 1 or server._copies.partner is not None)
        )

    def connect(self, entry: str, request_id: str, received: Received, text: str = ""):
        """Starts to read an answer; the task ends with the connection."""
        return asyncio.create_task(self.read(entry, request_id, received, text))

    async def read(
        self, entry: str, request_id: str, received: Received, text: str = ""
    ) -> Received:
        """Reads an answer to its end, or until the task is cancelled; `text` is handed back."""
        parts = self.entries[entry]._parts
        headers = {"x-request-id": request_id, "x-rank": "standard"}
        if received.position:
            headers["last-event-id"] = received.position
        body = {"model": "drafter", "prompt": PROMPT, "max_tokens": TOKENS, "stream": True}
        if text:
            body["sapphireledge"] = {"received": text}
        data = json.dumps(body).encode()
        req = parse_request(Headers(headers), data, False, "default", parts.cfg.callers)
        response = await GenerationSession(parts, req, True).respond()
        if not isinstance(response, StreamingResponse):
            self.add_error(received, json.loads(response.body))
            return received
        async for data in response.body_iterator:
            for event in data.decode().strip().split("\n\n"):
                self.add_event(received, event)
        return received

    def add_event(self, received: Received, event: str) -> None:
        fields = dict(line.split(": ", 1) for line in event.split("\n"))
        if fields["data"] == "[DONE]":
            received.ended = True
            return
        data = json.loads(fields["data"])
        if "error" in data:
            self.add_error(received, data)
        elif "id" in fields:
            received.position = fields["id"]
            received.positions.append(fields["id"])
            received.text += data["choices"][0]["text"]

    def add_error(self, received: Received, data: dict) -> None:
        received.kind, received.ran = data["error"]["type"], data["error"]["ran"]

    async def read_part(self, entry: str, request_id: str, received: Received) -> None:
        """Reads some tokens and closes the connection."""
        count = len(received.positions)
        task = self.connect(entry, request_id, received)
        await self.wait_for(lambda: len(received.positions) >= count + 5 or task.done())
        await self.cut(task)

    async def cut(self, task) -> None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    def find_generating(self) -> str:
        """Name of the engine that generates now."""
        (name,) = [name for name, engine in self.engines.items() if engine.state.running]
        return name
