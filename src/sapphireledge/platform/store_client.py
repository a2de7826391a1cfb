"""Client of the platform's store."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

import h11
import msgspec
import structlog

from sapphireledge.feed import (
    ObjectRecord,
    Peer,
    SourceError,
    StoredEntry,
    StoredVersion,
    StorePage,
)
from sapphireledge.gateway import EventReader, GatewayEvent, UnreadReader, open_unread_connection
from sapphireledge.platform.decode_objects import decode_answer, decode_spec, find_last_name
from sapphireledge.platform.split_address import split_address

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge.feed import StoreEpoch
    from sapphireledge.platform.store_settings import StoreSettings

__all__ = ["StoreClient"]

MAX_BODY_BYTES = 8_388_608
"""Largest response body; the store's pages hold about one megabyte."""

MAX_LISTING_BYTES = 33_554_432
"""Largest sum of the pages of one listing, a quarter of the smallest machine's memory."""

MAX_INTERIM_RESPONSES = 4
"""Interim responses that may precede a response."""

CONNECT_ATTEMPTS = 2
"""Attempts to open a connection within the timeout of a call. The kernel repeats a lost packet only
after a second."""

GONE = 410
"""Status of a watch whose revision the store's history no longer covers."""

CONFLICT = 409
"""Status for an object that already exists or has changed; the body holds that object."""

NOT_FOUND = 404
"""Status of a replacement of an object that does not exist."""

EXPECTED_STATUSES = frozenset({"200", "201", str(NOT_FOUND), str(CONFLICT), str(GONE)})
"""Statuses of regular responses; any other status is a failed call."""

MAX_NUMBER = 2**63 - 1
"""Largest revision of an object."""

EPOCH = b"store-era"
"""Header with the number of times that the store came back from an older copy."""

MAX_EPOCH_DIGITS = 18
"""Digits of the largest number accepted in that header."""

LEAST_NAME = "\0"
"""Name after which a listing is continued from an empty one, which would begin it anew."""

INSTANCE_KIND = "entry-instances"
"""Kind of the objects that describe the entry instances."""


@dataclass(frozen=True, slots=True)
class _Answer:
    """Response of the store; `epoch` rises when it comes back from an older copy."""

    status: int
    body: bytes
    epoch: int


class _Metadata(msgspec.Struct):
    name: str
    revision: Any = 0
    created: Any = 0


class _Object(msgspec.Struct):
    """A stored object; `spec` is decoded on its own, as other writers may store anything."""

    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"")
    status: msgspec.Raw = msgspec.Raw(b"")

    def decode_spec(self) -> Any:
        """Decodes the content."""
        return decode_spec(self.metadata.name, self.spec)

    def decode_record(self) -> ObjectRecord:
        """Decodes the status and the versions."""
        return ObjectRecord(
            decode_spec(self.metadata.name, self.status),
            _to_number(self.metadata.revision),
            _to_number(self.metadata.created),
        )


class _Instance(msgspec.Struct):
    """Stored description of an entry instance."""

    address: str
    data_centre: str
    link_mbps: float


class _Event(msgspec.Struct):
    object: _Object
    removed: bool = False


class _Listing(msgspec.Struct):
    """A page of objects; `more` is set if another page follows."""

    items: list[_Object]
    store_revision: int
    more: bool = False


class _Changes(msgspec.Struct):
    events: list[_Event]
    store_revision: int


class StoreClient:
    """Makes one call at a time, each on a connection of its own.

    The connection of the call after a watch is opened during the watch, so that changes and
    confirmations do not wait for it.

    The store numbers no responses, so that on a connection of an earlier call a late copy of that
    call's response could not be told from the response to the next one.
    """

    def __init__(
        self,
        cfg: StoreSettings,
        epoch: StoreEpoch,
        on_call: Callable[[str, str], None] = lambda kind, result: None,
        *,
        has_records: bool = False,
    ) -> None:
        """Creates a client without a connection.

        Args:
            cfg: Settings.
            epoch: Notices that the store came back from an older copy.
            on_call: Called after each call with its name, such as "list", and status or "failed".
            has_records: Whether status and versions of objects are read, too.
        """
        self._cfg = cfg
        self._on_call = on_call
        self._has_records = has_records
        self._writer: asyncio.StreamWriter | None = None
        self._next: asyncio.Task[tuple[UnreadReader, asyncio.StreamWriter]] | None = None
        self._epoch = epoch

    async def list(self, kind: str) -> StorePage:
        """Reads all objects of a kind; see `ObjectSource.list`."""
        return await self._list_pages(kind, "")

    async def _list_pages(self, kind: str, query: str) -> StorePage:
        """Reads all pages of a listing."""
        entries: list[StoredEntry] = []
        revision: int | None = None
        epoch: int | None = None
        size = 0
        continued: set[str] = set()
        path = f"/objects/{kind}{query}"
        while True:
            answer = await self._call("list", "GET", path, self._cfg.call_timeout)
            if epoch is not None and answer.epoch != epoch:
                raise SourceError("the store came back from an older copy during the listing")
            epoch = answer.epoch
            size += len(answer.body)
            if size > MAX_LISTING_BYTES:
                raise SourceError(f"the listing is larger than {MAX_LISTING_BYTES} bytes")
            page = decode_answer(answer.body, _Listing)
            # Watching from the revision of the first page also returns changes during the listing.
            revision = page.store_revision if revision is None else revision
            entries += [self._build_entry(item) for item in page.items]
            if not page.more:
                return StorePage(tuple(entries), revision)
            last = page.items[-1].metadata.name if page.items else find_last_name(answer.body)
            if last is None or last in continued:
                raise SourceError(f"the listing makes no progress after {last!a}")
            continued.add(last)
            # Despite its name, `after_rev` takes the name of the last object.
            separator = "&" if query else "?"
            after = _encode_name(last or LEAST_NAME)
            path = f"/objects/{kind}{query}{separator}after_rev={after}"

    async def watch(self, kind: str, revision: int, wait: float) -> StorePage | None:
        """Waits for changes of a kind; see `ObjectSource.watch`."""
        path = f"/objects/{kind}?watch={revision}&wait_ms={int(wait * 1000)}"
        is_held = wait > self._cfg.call_timeout
        slack = self._cfg.watch_slack if is_held else self._cfg.call_timeout
        answer = await self._call("watch", "GET", path, wait + slack)
        if answer.status == GONE:
            return None
        changes = decode_answer(answer.body, _Changes)
        entries = tuple(
            self._build_entry(event.object, removed=event.removed) for event in changes.events
        )
        return StorePage(entries, changes.store_revision)

    def _build_entry(self, stored: _Object, *, removed: bool = False) -> StoredEntry:
        """Builds an entry, with the record of the object if records are read."""
        record = stored.decode_record() if self._has_records and not removed else None
        return StoredEntry(stored.metadata.name, stored.decode_spec(), removed, record)

    def close(self) -> None:
        """Ends the call that is being made, without waiting for pending data."""
        if self._writer is not None:
            self._writer.transport.abort()
        self._drop_next()

    async def announce(self, peer: Peer) -> None:
        """Stores the description of this instance; see `PeerDirectory.announce`."""
        spec = _Instance(f"{peer.host}:{peer.port}", peer.data_centre, peer.link_mbps)
        timeout = self._cfg.call_timeout
        payload = msgspec.json.encode({"metadata": {"name": peer.name}, "spec": spec})
        answer = await self._call("create", "POST", f"/objects/{INSTANCE_KIND}", timeout, payload)
        if answer.status != CONFLICT:
            return
        if _decode_version(answer).spec != msgspec.to_builtins(spec):
            path = _object_path(INSTANCE_KIND, peer.name)
            answer = await self._call("replace", "PUT", path, timeout, payload)
            if answer.status == NOT_FOUND:
                raise SourceError("the description of this instance was removed meanwhile")

    async def write(self, kind: str, name: str, spec: Any, revision: int | None) -> StoredVersion:
        """Creates an object, or replaces the version of it that the caller knows.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            spec: Content, as builtin types.
            revision: Revision that is replaced, None to create the object.

        Returns:
            The object as the store holds it after the call.

        Raises:
            SourceError: The store did not answer, or refused the call; the write may have taken
                effect.
        """
        timeout = self._cfg.call_timeout
        if revision is not None:
            metadata = {"name": name, "revision": revision}
            payload = msgspec.json.encode({"metadata": metadata, "spec": spec})
            path = _object_path(kind, name)
            answer = await self._call("replace", "PUT", path, timeout, payload)
            if answer.status != NOT_FOUND:
                return _decode_version(answer)
        payload = msgspec.json.encode({"metadata": {"name": name}, "spec": spec})
        answer = await self._call("create", "POST", f"/objects/{kind}", timeout, payload)
        return _decode_version(answer)

    async def read(self, kind: str, name: str) -> StoredVersion | None:
        """Reads one object.

        Args:
            kind: Kind of the object.
            name: Name of the object.

        Returns:
            The object, or None if it does not exist.

        Raises:
            SourceError: The store did not answer, or refused the call.
        """
        path = _object_path(kind, name)
        answer = await self._call("read", "GET", path, self._cfg.call_timeout)
        return None if answer.status == NOT_FOUND else _decode_version(answer)

    async def write_status(
        self, kind: str, name: str, status: Any, revision: int
    ) -> StoredVersion | None:
        """Replaces the status of the version of an object that the caller knows.

        Args:
            kind: Kind of the object.
            name: Name of the object.
            status: Status, as builtin types.
            revision: Revision of the object to which the status belongs.

        Returns:
            The object as the store holds it after the call, or None if it does not exist.

        Raises:
            SourceError: The store did not answer, or refused the call; the write may have taken
                effect.
        """
        metadata = {"name": name, "revision": revision}
        payload = msgspec.json.encode({"metadata": metadata, "status": status})
        path = f"{_object_path(kind, name)}/status"
        answer = await self._call("status", "PUT", path, self._cfg.call_timeout, payload)
        return None if answer.status == NOT_FOUND else _decode_version(answer)

    async def list_peers(self) -> list[Peer]:
        """Lists the instances; see `PeerDirectory.list_peers`.

        A stale listing costs a tenth of a fresh one; a missing instance only causes extra calls.
        """
        page = await self._list_pages(INSTANCE_KIND, "?allow_stale=1")
        peers = [_decode_peer(entry) for entry in page.entries]
        return [peer for peer in peers if peer is not None]

    async def _call(
        self, operation: str, method: str, path: str, timeout: float, body: bytes = b""
    ) -> _Answer:
        """Makes one call; raises `SourceError` for an unexpected status or an earlier epoch."""
        result = "failed"
        try:
            reader, self._writer = self._take_next() or await self._connect()
            if operation == "watch":
                self._next = asyncio.create_task(self._connect())
            async with asyncio.timeout(timeout):
                answer = await self._exchange(reader, self._writer, method, path, body)
            result = str(answer.status)
        except (OSError, TimeoutError, h11.ProtocolError) as exc:
            raise SourceError(f"{operation} failed: {exc!r}") from exc
        finally:
            self._on_call(operation, result)
            if self._writer is not None:
                self._writer.transport.abort()
            if result not in EXPECTED_STATUSES:
                self._drop_next()
        if result not in EXPECTED_STATUSES:
            raise SourceError(f"{operation} failed: status {answer.status}")
        if not self._epoch.observe(answer.epoch):
            raise SourceError(f"{operation} failed: the response precedes a restore of the store")
        return answer

    async def _exchange(
        self,
        reader: UnreadReader,
        writer: asyncio.StreamWriter,
        method: str,
        path: str,
        body: bytes,
    ) -> _Answer:
        """Sends a request and reads the complete response."""
        headers = [("host", f"{self._cfg.host}:{self._cfg.port}"), ("connection", "close")]
        if body:
            headers += [("content-type", "application/json"), ("content-length", str(len(body)))]
        parser = h11.Connection(h11.CLIENT)
        data = parser.send(h11.Request(method=method, target=path, headers=headers)) or b""
        if body:
            data += parser.send(h11.Data(data=body)) or b""
        writer.write(data + (parser.send(h11.EndOfMessage()) or b""))
        events = EventReader(reader)
        status = epoch = interim_responses = 0
        response_body = bytearray()
        while True:
            event = await events.next_event(parser)
            if isinstance(event, h11.Response):
                status = event.status_code
                epoch = _decode_epoch(dict(event.headers).get(EPOCH))
            elif isinstance(event, h11.Data):
                response_body += event.data
                if len(response_body) > MAX_BODY_BYTES:
                    raise ConnectionResetError("the response of the store is too large")
            elif event is h11.PAUSED:
                raise ConnectionResetError("the store sent bytes after its response")
            elif isinstance(event, h11.EndOfMessage):
                return _Answer(status, bytes(response_body), epoch)
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionResetError("connection closed by the store")
            elif isinstance(event, h11.InformationalResponse):
                interim_responses += 1
                if interim_responses > MAX_INTERIM_RESPONSES:
                    raise ConnectionResetError("the store sends interim responses without end")

    def _take_next(self) -> tuple[UnreadReader, asyncio.StreamWriter] | None:
        """Takes the connection that was opened during a watch, None without a usable one."""
        task = self._next
        if task is None or not task.done() or task.exception() is not None:
            self._drop_next()
            return None
        self._next = None
        reader, writer = task.result()
        if reader.at_eof() or reader.unread or writer.is_closing():
            writer.transport.abort()
            return None
        return reader, writer

    def _drop_next(self) -> None:
        """Closes the connection that was opened during a watch, or stops opening it."""
        task, self._next = self._next, None
        if task is not None:
            task.cancel()
            task.add_done_callback(_close_unused)

    async def _connect(self) -> tuple[UnreadReader, asyncio.StreamWriter]:
        """Opens a connection; one whose opening packet was lost is opened again."""
        for _ in range(CONNECT_ATTEMPTS - 1):
            with contextlib.suppress(TimeoutError):
                return await self._connect_once()
        return await self._connect_once()

    async def _connect_once(self) -> tuple[UnreadReader, asyncio.StreamWriter]:
        """Makes one attempt to open a connection."""
        async with asyncio.timeout(self._cfg.call_timeout / CONNECT_ATTEMPTS):
            return await open_unread_connection(self._cfg.host, self._cfg.port)


def _close_unused(task: asyncio.Task[tuple[UnreadReader, asyncio.StreamWriter]]) -> None:
    """Closes a connection that is not used, if it was opened at all."""
    if not task.cancelled() and task.exception() is None:
        task.result()[1].transport.abort()


def _to_number(value: object) -> int:
    """Returns a number of the store, 0 for anything that is none or that no message holds."""
    return value if type(value) is int and 0 <= value <= MAX_NUMBER else 0


def _encode_name(name: str) -> str:
    """Encodes the name of an object for the target of a request; other writers choose any."""
    return quote(name, safe="", errors="surrogatepass")


def _object_path(kind: str, name: str) -> str:
    """Builds the path of an object."""
    return f"/objects/{kind}/{_encode_name(name)}"


def _decode_epoch(value: bytes | None) -> int:
    """Decodes the epoch of the store, 0 if the header is missing or no number."""
    if value is None or not value.isdigit() or len(value) > MAX_EPOCH_DIGITS:
        return 0
    return int(value)


def _decode_version(answer: _Answer) -> StoredVersion:
    """Decodes the response to a write."""
    stored = decode_answer(answer.body, _Object)
    record = stored.decode_record()
    return StoredVersion(
        stored.decode_spec(),
        record.revision,
        answer.status != CONFLICT,
        record.status,
        record.created,
    )


def _decode_peer(entry: StoredEntry) -> Peer | None:
    """Decodes the stored description of an instance; an odd one names none."""
    try:
        description = msgspec.convert(entry.spec, _Instance)
        host, port = split_address(description.address)
    except (msgspec.ValidationError, ValueError) as exc:
        structlog.get_logger().warning(
            GatewayEvent.OBJECT_UNREADABLE, name=entry.name, reason=str(exc)
        )
        return None
    return Peer(entry.name, host, port, description.data_centre, description.link_mbps)
