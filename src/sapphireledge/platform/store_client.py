"""Client of the platform's store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, TypeVar

import h11
import msgspec

from sapphireledge.platform.store_error import StoreError
from sapphireledge.platform.store_page import StoredEntry, StorePage

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge.platform.store_settings import StoreSettings

__all__ = ["StoreClient"]

Page = TypeVar("Page")

READ_SIZE = 65_536
"""Bytes of one read."""

GONE = 410
"""Status by which the store says that its history does not reach back far enough."""


class _Metadata(msgspec.Struct):
    name: str


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: Any = None


class _Event(msgspec.Struct):
    object: _Object
    removed: bool = False


class _Listing(msgspec.Struct):
    """A page of objects; `more` says that another page follows."""

    items: list[_Object]
    store_revision: int
    more: bool = False


class _Changes(msgspec.Struct):
    events: list[_Event]
    store_revision: int


class StoreClient:
    """Makes one call at a time on one kept connection.

    A call that fails closes the connection, because a connection on which an answer was lost
    returns nothing further.
    """

    def __init__(
        self, cfg: StoreSettings, on_call: Callable[[str, str], None] = lambda kind, result: None
    ) -> None:
        """Creates a client without a connection.

        Args:
            cfg: Settings.
            on_call: Hears of each call: "list" or "watch", and its status or "failed".
        """
        self._cfg = cfg
        self._on_call = on_call
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._parser = h11.Connection(h11.CLIENT)

    async def list(self, kind: str) -> StorePage:
        """Reads all objects of a kind.

        Args:
            kind: Kind of the objects.

        Returns:
            The objects and the revision to watch from.

        Raises:
            StoreError: The store did not answer, or refused.
        """
        entries: list[StoredEntry] = []
        revision: int | None = None
        path = f"/objects/{kind}"
        while True:
            body = await self._call("list", path, self._cfg.call_limit)
            page = _decode(body, _Listing)
            # Changes during the listing are found by watching from its first page.
            revision = page.store_revision if revision is None else revision
            entries += [StoredEntry(item.metadata.name, item.spec) for item in page.items]
            if not page.more or not page.items:
                return StorePage(tuple(entries), revision)
            path = f"/objects/{kind}?after_rev={page.items[-1].metadata.name}"

    async def watch(self, kind: str, revision: int, wait: float) -> StorePage | None:
        """Waits for changes of a kind.

        Args:
            kind: Kind of the objects.
            revision: Revision up to which changes are known.
            wait: Seconds that the store waits for a change.

        Returns:
            Changes, none if there were none in time, or None if the history does not reach back.

        Raises:
            StoreError: The store did not answer, or refused.
        """
        path = f"/objects/{kind}?watch={revision}&wait_ms={int(wait * 1000)}"
        body = await self._call("watch", path, wait + self._cfg.call_limit)
        if body is None:
            return None
        changes = _decode(body, _Changes)
        entries = tuple(
            StoredEntry(event.object.metadata.name, event.object.spec, event.removed)
            for event in changes.events
        )
        return StorePage(entries, changes.store_revision)

    def close(self) -> None:
        """Closes the connection."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None

    async def _call(self, operation: str, path: str, limit: float) -> bytes | None:
        """Makes one reading call; None stands for a lost history."""
        result = "failed"
        try:
            async with asyncio.timeout(limit):
                status, body = await self._exchange(path)
            result = str(status)
        except (OSError, TimeoutError, h11.ProtocolError) as exc:
            raise StoreError(f"{operation}: {exc!r}") from exc
        finally:
            self._on_call(operation, result)
            if result != "200":
                self.close()
        if status == GONE:
            return None
        if status != 200:
            raise StoreError(f"{operation}: status {status}")
        return body

    async def _exchange(self, path: str) -> tuple[int, bytes]:
        """Sends a request and reads its whole answer."""
        reader, writer = await self._connection()
        host = f"{self._cfg.host}:{self._cfg.port}"
        request = h11.Request(method="GET", target=path, headers=[("host", host)])
        parser = self._parser
        writer.write((parser.send(request) or b"") + (parser.send(h11.EndOfMessage()) or b""))
        status = 0
        body = bytearray()
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await reader.read(READ_SIZE))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("closed by the store")
        if parser.our_state is h11.DONE and parser.their_state is h11.DONE:
            parser.start_next_cycle()
        else:
            self.close()
        return status, bytes(body)

    async def _connection(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Gives the kept connection or opens one."""
        if self._reader is None or self._writer is None or self._reader.at_eof():
            self.close()
            async with asyncio.timeout(self._cfg.call_limit):
                self._reader, self._writer = await asyncio.open_connection(
                    self._cfg.host, self._cfg.port
                )
            self._parser = h11.Connection(h11.CLIENT)
        return self._reader, self._writer


def _decode(body: bytes | None, kind: type[Page]) -> Page:
    """Decodes an answer of the store."""
    try:
        return msgspec.json.decode(body or b"", type=kind)
    except msgspec.MsgspecError as exc:
        raise StoreError(f"the answer cannot be read: {exc}") from exc
