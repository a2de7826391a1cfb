"""Stand-in for the platform's object store."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from typing import TYPE_CHECKING
from urllib.parse import unquote_plus

import msgspec

from soak.http import Request, count_lost_connection, encode_response, read_request
from soak.request_target import RequestTarget

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["Store"]


class Store:
    """Objects by kind with revisions, lists and watches; can be down, slow or lose its answers."""

    def __init__(self) -> None:
        self.port = 0
        self.revision = 1
        self.down = False
        self.response_delay = 0.0
        """Seconds by which each request is delayed before it is executed."""
        self.lose_answers = False
        """Whether requests are executed, but their answers are held back for 60 s."""
        self.outage_changed_at = time.monotonic()
        """Time at which the last outage started or ended."""
        self.page_size = 500
        """Objects in one page of a listing."""
        self.decode_query: Callable[[str], str] = unquote_plus
        """Decodes a value of a query."""
        self.calls: Counter[str] = Counter()
        """Calls by method and kind."""
        self.lost_status_answers = 0
        """Writes of a status that are executed next and not answered."""
        self.status_writes: list[tuple[str, object]] = []
        """Statuses that instances wrote, with the names of their objects."""
        self._objects: dict[str, dict[str, dict]] = {}
        self._changes: list[tuple[int, str, dict, bool]] = []
        self._oldest = 0
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts listening."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def put(self, kind: str, name: str, spec: object) -> float:
        """Writes an object on behalf of an operator or a backend server.

        Returns:
            Time of the acknowledgement.
        """
        known = self._objects.get(kind, {}).get(name)
        self._replace(kind, name, spec, None if known is None else known["status"])
        return time.monotonic()

    def set_status(self, kind: str, name: str, status: object) -> None:
        """Writes a status on behalf of another instance."""
        self._replace(kind, name, self._objects[kind][name]["spec"], status)

    def get(self, kind: str, name: str) -> dict | None:
        """Returns an object as the store answers with it, None if it does not exist."""
        return self._objects.get(kind, {}).get(name)

    def names(self, kind: str) -> list[str]:
        """Returns the names of the objects of a kind."""
        return list(self._objects.get(kind, {}))

    def _replace(self, kind: str, name: str, spec: object, status: object) -> None:
        """Writes an object with a new revision."""
        self.revision += 1
        objects = self._objects.setdefault(kind, {})
        created = objects[name]["metadata"]["created"] if name in objects else self.revision
        metadata = {"name": name, "revision": self.revision, "created": created}
        objects[name] = {"metadata": metadata, "spec": spec, "status": status}
        self._record_change(kind, objects[name], removed=False)

    def remove(self, kind: str, name: str) -> float:
        """Removes an object.

        Returns:
            Time of the acknowledgement.
        """
        item = self._objects.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self._record_change(kind, item, removed=True)
        return time.monotonic()

    def drop_history(self) -> None:
        """Drops the change history, so that watches must list the objects again."""
        self._oldest = self.revision
        self._changes.clear()

    def set_down(self, down: bool) -> None:
        """Starts or ends an outage; aborts open connections."""
        self.down = down
        self.outage_changed_at = time.monotonic()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def _record_change(self, kind: str, item: dict, *, removed: bool) -> None:
        self._changes.append((self.revision, kind, item, removed))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None and not self.down:
                if self.response_delay:
                    await asyncio.sleep(self.response_delay)
                status, body = await self._answer(request)
                if status == 0:
                    break
                if self.lose_answers:
                    await asyncio.sleep(60)
                writer.write(encode_response(status, {}, msgspec.json.encode(body)))
                await writer.drain()
        except OSError as exc:
            count_lost_connection("store", exc)
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, request: Request) -> tuple[int, object]:
        target = RequestTarget.parse(request.target, self.decode_query)
        if target is None:
            self.calls["invalid target"] += 1
            return 400, {}
        query = target.query
        _, kind, name, part = (*target.segments, "", "")[:4]
        self.calls[f"{request.method} {'/'.join(target.segments[1:])}"] += 1
        if request.method in ("POST", "PUT"):
            document = msgspec.json.decode(request.body)
            name = name or document["metadata"]["name"]
            existing = self._objects.get(kind, {}).get(name)
            if existing is not None and request.method == "POST":
                return 409, existing
            if existing is None and request.method == "PUT":
                return 404, {}
            expected = document["metadata"].get("revision")
            if existing is not None and expected not in (None, existing["metadata"]["revision"]):
                return 409, existing
            if part == "status":
                assert existing is not None
                self._replace(kind, name, existing["spec"], document["status"])
                self.status_writes.append((name, document["status"]))
                if self.lost_status_answers:
                    self.lost_status_answers -= 1
                    return 0, {}
            else:
                self.put(kind, name, document["spec"])
            return 200, self._objects[kind][name]
        if name:
            found = self.get(kind, name)
            return (404, {}) if found is None else (200, found)
        if "watch" not in query:
            return 200, self._list(kind, query.get("after_rev", ""))
        return await self._watch(kind, int(query["watch"]), int(query["wait_ms"]) / 1000)

    def _list(self, kind: str, after: str) -> dict[str, object]:
        """Returns a page of the objects of a kind, in the order of their names."""
        objects = self._objects.get(kind, {})
        names = sorted(name for name in objects if not after or name > after)
        items = [objects[name] for name in names[: self.page_size]]
        more = len(names) > self.page_size
        return {"items": items, "more": more, "store_revision": self.revision}

    async def _watch(self, kind: str, since: int, wait: float) -> tuple[int, object]:
        deadline = time.monotonic() + wait
        while True:
            if since < self._oldest:
                return 410, {}
            events = [
                {"object": item, "removed": removed}
                for revision, item_kind, item, removed in self._changes
                if revision > since and item_kind == kind
            ]
            remaining = deadline - time.monotonic()
            if events or remaining <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), remaining)
            except TimeoutError:
                continue
