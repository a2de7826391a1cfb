"""Client of the platform over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec

from sapphireledge.errors import ErrorKind, Failure
from sapphireledge.objects._private import CallError, InstancePart, ObjectPart, VersionPart, call
from sapphireledge.objects.http_client import create_http_client
from sapphireledge.objects.stored_object import StoredObject
from sapphireledge.objects.write_result import WriteResult, WriteStatus

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge.objects._private import Answer
    from sapphireledge.objects.instance import Instance
    from sapphireledge.objects.object_page import ObjectPage
    from sapphireledge.settings import Settings

__all__ = ["ObjectClient"]

MAX_VALUE = 1_048_576
"""Largest value in bytes, a limit of the platform."""

MAX_CALLS = 128
"""Calls of one instance in flight; more of them wait for a connection."""

MAX_WATCHES = 16
"""Waiting watches of one instance; they do not take connections from other calls."""

CONNECT_SHARE = 0.5
"""Share of the time limit after which an unopened connection counts as unreachable."""

REFUSING_STATUS = frozenset({429, 503})
"""Status codes by which the platform says that it did nothing."""


class ObjectClient:
    """Client of the object API and the instance list; implements `ObjectStore`.

    It makes each call once. A retry belongs to the caller, who knows whether it is safe.
    """

    def __init__(
        self, cfg: Settings, on_call: Callable[[str, str], None] = lambda operation, result: None
    ):
        """Creates the client.

        Args:
            cfg: Settings of the instance.
            on_call: Hears of each call: "read", "write" or "watch", and "answered" or "failed".
        """
        self._cfg = cfg.platform
        self._on_call = on_call
        self._url = cfg.platform.url.rstrip("/")
        self._headers = {"X-Instance": cfg.instance, "X-Data-Centre": cfg.data_centre}
        self._client = create_http_client(MAX_CALLS)
        self._watch_client = create_http_client(MAX_WATCHES)

    async def get(self, key: str) -> StoredObject | Failure | None:
        """Reads one object; see `ObjectStore.get`."""
        answer = await self._call("GET", self._object_url(key))
        if isinstance(answer, CallError):
            return _unavailable("get", answer)
        if answer.status == 404:
            return None
        if answer.status != 200 or answer.version == 0:
            return _unexpected("get", answer)
        return StoredObject(key, answer.body, answer.version)

    async def put(self, key: str, value: bytes, expect_version: int) -> WriteResult:
        """Writes one object; see `ObjectStore.put`."""
        if len(value) > MAX_VALUE:
            raise ValueError(f"value of {key} has {len(value)} bytes, at most {MAX_VALUE}")
        return await self._write("PUT", key, expect_version, value)

    async def delete(self, key: str, expect_version: int) -> WriteResult:
        """Deletes one object; see `ObjectStore.delete`."""
        return await self._write("DELETE", key, expect_version, None)

    async def list(self, prefix: str, after: str = "", limit: int = 500) -> ObjectPage | Failure:
        """Lists objects; see `ObjectStore.list`."""
        params = {"prefix": prefix, "after": after, "limit": str(limit)}
        answer = await self._call("GET", f"{self._url}/objects", params)
        return _page("list", answer)

    async def watch(self, prefix: str, from_version: int, wait: float) -> ObjectPage | Failure:
        """Waits for writes; see `ObjectStore.watch`."""
        params = {"prefix": prefix, "from": str(from_version), "wait": f"{wait:.3f}"}
        answer = await call(
            self._watch_client,
            "GET",
            f"{self._url}/watch",
            timeout=wait + self._cfg.timeout,
            connect_timeout=self._cfg.timeout * CONNECT_SHARE,
            headers=self._headers,
            params=params,
        )
        self._count("watch", answer)
        if not isinstance(answer, CallError) and answer.status == 410:
            return Failure(ErrorKind.NOT_FOUND, f"version {from_version} is too old to watch from")
        return _page("watch", answer)

    async def instances(self) -> tuple[Instance, ...] | Failure:
        """Reads the instance list; see `InstanceSource.instances`."""
        answer = await self._call("GET", f"{self._url}/instances")
        if isinstance(answer, CallError):
            return _unavailable("instances", answer)
        if answer.status != 200:
            return _unexpected("instances", answer)
        try:
            return msgspec.json.decode(answer.body, type=InstancePart).instances
        except msgspec.DecodeError:
            return _unexpected("instances", answer)

    async def _call(
        self, method: str, url: str, params: dict[str, str] | None = None
    ) -> Answer | CallError:
        """Makes one reading call."""
        answer = await call(
            self._client,
            method,
            url,
            timeout=self._cfg.timeout,
            connect_timeout=self._cfg.timeout * CONNECT_SHARE,
            headers=self._headers,
            params=params,
        )
        self._count("read", answer)
        return answer

    def _count(self, operation: str, answer: Answer | CallError) -> None:
        """Reports one call."""
        self._on_call(operation, "failed" if isinstance(answer, CallError) else "answered")

    async def _write(
        self, method: str, key: str, expect_version: int, value: bytes | None
    ) -> WriteResult:
        """Makes one conditional write."""
        headers = {**self._headers, "X-Expect-Version": str(expect_version)}
        answer = await call(
            self._client,
            method,
            self._object_url(key),
            timeout=self._cfg.timeout,
            connect_timeout=self._cfg.timeout * CONNECT_SHARE,
            headers=headers,
            data=value,
        )
        self._count("write", answer)
        if answer is CallError.NOT_SENT:
            return WriteResult(WriteStatus.UNAVAILABLE)
        if isinstance(answer, CallError):
            return WriteResult(WriteStatus.AMBIGUOUS)
        return _write_result(answer)

    def _object_url(self, key: str) -> str:
        """Builds the URL of an object."""
        return f"{self._url}/objects/{quote(key, safe='/')}"


def _write_result(answer: Answer) -> WriteResult:
    """Reads the answer to a write; an unknown answer is ambiguous."""
    if answer.status in REFUSING_STATUS:
        return WriteResult(WriteStatus.UNAVAILABLE)
    if answer.status not in (200, 409):
        return WriteResult(WriteStatus.AMBIGUOUS)
    try:
        version = msgspec.json.decode(answer.body, type=VersionPart).version
    except msgspec.DecodeError:
        return WriteResult(WriteStatus.AMBIGUOUS)
    status = WriteStatus.WRITTEN if answer.status == 200 else WriteStatus.CONFLICT
    return WriteResult(status, version)


def _page(operation: str, answer: Answer | CallError) -> ObjectPage | Failure:
    """Reads the answer to a listing or a watch."""
    if isinstance(answer, CallError):
        return _unavailable(operation, answer)
    if answer.status != 200:
        return _unexpected(operation, answer)
    try:
        return msgspec.json.decode(answer.body, type=ObjectPart).to_page()
    except msgspec.DecodeError:
        return _unexpected(operation, answer)


def _unavailable(operation: str, error: CallError) -> Failure:
    """Names the call that got no answer."""
    what = "could not be reached" if error is CallError.NOT_SENT else "did not answer in time"
    return Failure(ErrorKind.PLATFORM_UNAVAILABLE, f"{operation}: the platform {what}")


def _unexpected(operation: str, answer: Answer) -> Failure:
    """Names the call that got an answer without use."""
    reason = f"{operation}: the platform answered with status {answer.status}"
    return Failure(ErrorKind.PLATFORM_UNAVAILABLE, reason)
