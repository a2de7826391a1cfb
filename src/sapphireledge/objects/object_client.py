"""HTTP client of the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec

from sapphireledge.errors import ErrorKind, Failure
from sapphireledge.lenient_json import decode_rows
from sapphireledge.objects._private import (
    CallError,
    InstanceListBody,
    ObjectPageBody,
    VersionBody,
    send_request,
)
from sapphireledge.objects.http_client import create_http_client
from sapphireledge.objects.object_page import ObjectPage
from sapphireledge.objects.stored_object import StoredObject
from sapphireledge.objects.write_result import WriteResult, WriteStatus

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge.objects._private import PlatformResponse
    from sapphireledge.objects.instance import Instance
    from sapphireledge.settings import Settings

__all__ = ["ObjectClient"]

MAX_VALUE_BYTES = 1_048_576
"""Largest value of an object, a limit of the platform."""

MAX_CONCURRENT_CALLS = 128
"""Concurrent calls of one instance; further calls wait for a connection."""

MAX_CONCURRENT_WATCHES = 16
"""Concurrent watches of one instance; their separate pool leaves other calls their connections."""

CONNECT_TIMEOUT_SHARE = 0.5
"""Fraction of the call timeout within which the connection must be open."""

REFUSED_STATUS_CODES = frozenset({429, 503})
"""Status codes with which the platform rejects a write without any effect."""


class ObjectClient:
    """Client of the object API (`ObjectStore`) and the instance list (`InstanceSource`).

    Each call is sent once. The code that uses the client decides whether a retry is safe.
    """

    def __init__(
        self, cfg: Settings, on_call: Callable[[str, str], None] = lambda operation, result: None
    ):
        """Creates the client.

        Args:
            cfg: Settings of the instance.
            on_call: Called after each call with its operation ("read", "write" or "watch") and its
                result ("answered" or "failed").
        """
        self._cfg = cfg.platform
        self._on_call = on_call
        self._url = cfg.platform.url.rstrip("/")
        self._headers = {"X-Instance": cfg.instance, "X-Data-Centre": cfg.data_centre}
        self._client = create_http_client(MAX_CONCURRENT_CALLS)
        self._watch_client = create_http_client(MAX_CONCURRENT_WATCHES)

    async def get(self, key: str) -> StoredObject | Failure | None:
        """Reads one object; see `ObjectStore.get`."""
        response = await self._read("GET", self._object_url(key))
        if isinstance(response, CallError):
            return _no_response("get", response)
        if response.status == 404:
            return None
        if response.status != 200 or response.version == 0:
            return _unexpected_response("get", response)
        return StoredObject(key, response.body, response.version)

    async def put(self, key: str, value: bytes, expect_version: int) -> WriteResult:
        """Writes one object; see `ObjectStore.put`."""
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError(
                f"value of {key} is {len(value)} bytes, the limit is {MAX_VALUE_BYTES}"
            )
        return await self._write("PUT", key, expect_version, value)

    async def delete(self, key: str, expect_version: int) -> WriteResult:
        """Deletes one object; see `ObjectStore.delete`."""
        return await self._write("DELETE", key, expect_version, None)

    async def list(self, prefix: str, after: str = "", limit: int = 500) -> ObjectPage | Failure:
        """Lists objects; see `ObjectStore.list`."""
        params = {"prefix": prefix, "after": after, "limit": str(limit)}
        response = await self._read("GET", f"{self._url}/objects", params)
        page = _parse_page("list", response)
        if isinstance(page, ObjectPage) and page.next_after and page.next_after == after:
            reason = f"list: the listing makes no progress after {after!r}"
            return Failure(ErrorKind.PLATFORM_UNAVAILABLE, reason)
        return page

    async def watch(self, prefix: str, from_version: int, wait: float) -> ObjectPage | Failure:
        """Waits for writes; see `ObjectStore.watch`."""
        params = {"prefix": prefix, "from": str(from_version), "wait": f"{wait:.3f}"}
        response = await send_request(
            self._watch_client,
            "GET",
            f"{self._url}/watch",
            timeout=wait + self._cfg.timeout,
            connect_timeout=self._cfg.timeout * CONNECT_TIMEOUT_SHARE,
            headers=self._headers,
            params=params,
        )
        self._report_call("watch", response)
        if not isinstance(response, CallError) and response.status == 410:
            return Failure(ErrorKind.NOT_FOUND, f"version {from_version} is too old to watch from")
        return _parse_page("watch", response)

    async def instances(self) -> tuple[Instance, ...] | Failure:
        """Reads the instance list; see `InstanceSource.instances`."""
        response = await self._read("GET", f"{self._url}/instances")
        if isinstance(response, CallError):
            return _no_response("instances", response)
        if response.status != 200:
            return _unexpected_response("instances", response)
        try:
            body = decode_rows(response.body, InstanceListBody, "instances")
            return body.decode_instances()
        except (msgspec.DecodeError, RecursionError):
            return _unexpected_response("instances", response)

    async def _read(
        self, method: str, url: str, params: dict[str, str] | None = None
    ) -> PlatformResponse | CallError:
        """Sends a GET request, counted as a read."""
        response = await send_request(
            self._client,
            method,
            url,
            timeout=self._cfg.timeout,
            connect_timeout=self._cfg.timeout * CONNECT_TIMEOUT_SHARE,
            headers=self._headers,
            params=params,
        )
        self._report_call("read", response)
        return response

    def _report_call(self, operation: str, response: PlatformResponse | CallError) -> None:
        """Reports the result of a call to `on_call`."""
        self._on_call(operation, "failed" if isinstance(response, CallError) else "answered")

    async def _write(
        self, method: str, key: str, expect_version: int, value: bytes | None
    ) -> WriteResult:
        """Sends one conditional write."""
        headers = {**self._headers, "X-Expect-Version": str(expect_version)}
        response = await send_request(
            self._client,
            method,
            self._object_url(key),
            timeout=self._cfg.timeout,
            connect_timeout=self._cfg.timeout * CONNECT_TIMEOUT_SHARE,
            headers=headers,
            data=value,
        )
        self._report_call("write", response)
        if response is CallError.NOT_SENT:
            return WriteResult(WriteStatus.UNAVAILABLE)
        if isinstance(response, CallError):
            return WriteResult(WriteStatus.AMBIGUOUS)
        return _parse_write_result(response)

    def _object_url(self, key: str) -> str:
        """Builds the URL of an object; "/" in the key separates path segments."""
        return f"{self._url}/objects/{quote(key, safe='/')}"


def _parse_write_result(response: PlatformResponse) -> WriteResult:
    """Parses the response to a write; an unexpected response makes the write ambiguous."""
    if response.status in REFUSED_STATUS_CODES:
        return WriteResult(WriteStatus.UNAVAILABLE)
    if response.status not in (200, 409):
        return WriteResult(WriteStatus.AMBIGUOUS)
    try:
        version = msgspec.json.decode(response.body, type=VersionBody).version
    except (msgspec.DecodeError, RecursionError):
        return WriteResult(WriteStatus.AMBIGUOUS)
    status = WriteStatus.WRITTEN if response.status == 200 else WriteStatus.CONFLICT
    return WriteResult(status, version)


def _parse_page(operation: str, response: PlatformResponse | CallError) -> ObjectPage | Failure:
    """Parses the response to a listing or a watch."""
    if isinstance(response, CallError):
        return _no_response(operation, response)
    if response.status != 200:
        return _unexpected_response(operation, response)
    try:
        return decode_rows(response.body, ObjectPageBody, "objects").to_page()
    except (msgspec.DecodeError, RecursionError):
        return _unexpected_response(operation, response)


def _no_response(operation: str, error: CallError) -> Failure:
    """Creates the failure for a call without a complete response."""
    problem = "could not be reached" if error is CallError.NOT_SENT else "did not answer in time"
    return Failure(ErrorKind.PLATFORM_UNAVAILABLE, f"{operation}: the platform {problem}")


def _unexpected_response(operation: str, response: PlatformResponse) -> Failure:
    """Creates the failure for a response with an unexpected status or body."""
    reason = f"{operation}: the platform answered with status {response.status}"
    return Failure(ErrorKind.PLATFORM_UNAVAILABLE, reason)
