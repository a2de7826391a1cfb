"""Stand-in for the platform's store, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from standins.http_io import Message, encode_response, read_message
from standins.record import Record

HISTORY_S = 20.0
"""Seconds for which changes are kept, `history_s` of the settings."""


class Store:
    """Objects by kind with one revision counter, listings and watches.

    `refuse_until` is the only disruption: until that time, the store is down. Depending on
    `silent`, it closes connections, or accepts them and answers nothing on them for good.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._changes: list[tuple[int, str, dict[str, Any], bool, float]] = []
        self._oldest = 0
        self._revision = 1
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._down = False
        self._silent = False
        self.address = ""

    async def start(self) -> None:
        """Listens on a free loopback port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def put(self, kind: str, name: str, spec: Any) -> float:
        """Writes an object for the operator or a runner; returns the time of the ack."""
        self._store(kind, name, spec)
        return self._record.now()

    def remove(self, kind: str, name: str) -> float:
        """Removes an object; returns the time of the ack."""
        item = self._objects.get(kind, {}).pop(name, None)
        if item is not None:
            self._revision += 1
            self._add_change(kind, item, removed=True)
        return self._record.now()

    def names(self, kind: str) -> list[str]:
        """Names of the objects of a kind."""
        return sorted(self._objects.get(kind, {}))

    def set_down(self, down: bool, *, silent: bool = False) -> None:
        """Starts or ends an outage; a response that waits on a connection is lost."""
        self._down, self._silent = down, silent
        if down and not silent:
            for writer in tuple(self._writers):
                writer.transport.abort()

    def _store(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        known = self._objects.setdefault(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return known
        self._revision += 1
        created = self._revision if known is None else known["metadata"]["created"]
        metadata = {
            "name": name,
            "revision": self._revision,
            "created": created,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": None}
        self._objects[kind][name] = item
        self._add_change(kind, item, removed=False)
        return item

    def _add_change(self, kind: str, item: dict[str, Any], *, removed: bool) -> None:
        now = self._record.now()
        self._changes.append((self._revision, kind, item, removed, now))
        while self._changes and self._changes[0][4] < now - HISTORY_S:
            self._oldest = self._changes.pop(0)[0]
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        muted = False
        try:
            while (request := await read_message(reader)) is not None:
                if self._down and not self._silent:
                    return
                muted = muted or self._down
                if muted:
                    continue
                status, body = await self._answer(request)
                if self._down:
                    if not self._silent:
                        return
                    muted = True
                    continue
                await asyncio.sleep(0.004)
                data = json.dumps(body).encode()
                writer.write(encode_response(status, {"Content-Type": "application/json"}, data))
                await writer.drain()
        except OSError:
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, request: Message) -> tuple[int, Any]:
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix("/objects/").partition("/")
        objects = self._objects.setdefault(kind, {})
        if request.method in ("POST", "PUT"):
            document = json.loads(request.body)
            name = name or document["metadata"]["name"]
            known = objects.get(name)
            if request.method == "POST" and known is not None:
                return 409, known
            if request.method == "PUT" and known is None:
                return 404, {}
            expected = document["metadata"].get("revision")
            if known is not None and expected not in (None, known["metadata"]["revision"]):
                return 409, known
            return 200, self._store(kind, name, document["spec"])
        if name:
            return (200, objects[name]) if name in objects else (404, {})
        if "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query["wait_ms"]) / 1000)
        items = list(objects.values())
        return 200, {"items": items, "more": False, "store_revision": self._revision}

    async def _watch(self, kind: str, since: int, wait: float) -> tuple[int, Any]:
        deadline = self._record.now() + wait
        while True:
            if since < self._oldest:
                return 410, {}
            events = [
                {"object": item, "removed": removed}
                for revision, of_kind, item, removed, _ in self._changes
                if revision > since and of_kind == kind
            ]
            left = deadline - self._record.now()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self._revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue
