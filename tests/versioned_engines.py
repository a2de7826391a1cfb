"""Test case with a gateway in front of engines of several software versions."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from gateway_case import HOST, GatewayCase, chunk, event, stream_head

from sapphireledge.gateway import BackendServer

EVENTS = 6
END = b"0\r\n\r\n"
STANDBY = "x-sapphireledge-kv-backup"


@dataclass(frozen=True)
class Visit:
    """A stream that reached an engine."""

    version: str
    """Version of the engine."""

    first: int
    """Number of the first event that was asked for."""

    request_id: str
    """Id of the request."""

    standby: str
    """Version of the engine that receives a copy, empty without one."""


class VersionedCase(GatewayCase):
    """Starts engines of several versions that note the streams that reach them."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.visits: list[Visit] = []

    async def add_engine(
        self,
        version: str,
        breaks_after: int = EVENTS,
        *,
        data_centre: str = "dc-a",
        leaves: bool = False,
        until: asyncio.Event | None = None,
    ):
        """Starts an engine.

        Args:
            version: Its version.
            breaks_after: Number of events after which it breaks a stream.
            data_centre: Its data centre.
            leaves: Whether its entry is removed before it breaks a stream.
            until: Event for which it waits before it breaks or ends a stream.

        Returns:
            The scripted server.
        """

        async def stream(request, writer):
            first = int(request.headers.get("last-event-id", -1)) + 1
            self.note(version, first, request)
            writer.write(stream_head(request))
            for number in range(first, min(EVENTS, first + breaks_after)):
                writer.write(chunk(event(number)))
            await writer.drain()
            if until is not None:
                await until.wait()
            if first + breaks_after >= EVENTS:
                writer.write(END)
                return
            await asyncio.sleep(0.02)
            if leaves:
                self.registry.remove(server.server_id)
            writer.close()

        server = await self.add("llm", stream, data_centre)
        self.put(server, version=version, data_centre=data_centre)
        return server

    def register(self, server, service, data_centre="dc-a", draining=False) -> None:
        """Leaves it to `put` to register a server, so that no other version of it is ever seen."""

    @property
    def registry(self):
        return self.gateway.context.registry

    def put(self, server, **fields):
        """Describes an engine in the registry."""
        self.registry.put(
            BackendServer(
                server.server_id, "llm", HOST, server.port, **{"data_centre": "dc-a"} | fields
            )
        )

    def note(self, version, first, request):
        address = request.headers.get(STANDBY, "")
        versions = {server.address: server.version for server in self.registry.list_servers("llm")}
        request_id = request.headers["x-sapphireledge-request-id"]
        self.visits.append(Visit(version, first, request_id, versions.get(address, "")))

    def places(self):
        """Lists version and first event of the streams that reached engines."""
        return [(visit.version, visit.first) for visit in self.visits]

    def assert_whole(self, response, first=0):
        self.assertEqual(response.status, 200)
        self.assertTrue(response.complete)
        self.assertEqual(response.body, b"".join(event(n) for n in range(first, EVENTS)))
