"""Wire structures of the platform's HTTP API, and the function that sends its requests."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import msgspec
import structlog
from aiosonic.exceptions import AiosonicError, ConnectionPoolAcquireTimeout, ConnectTimeout
from aiosonic.timeout import Timeouts

from sapphireledge.limited_http import read_body
from sapphireledge.objects.instance import Instance
from sapphireledge.objects.object_page import ObjectPage
from sapphireledge.objects.stored_object import StoredObject
from sapphireledge.telemetry import LogEvent

if TYPE_CHECKING:
    from collections.abc import Mapping

    import aiosonic

__all__ = [
    "CallError",
    "InstanceListBody",
    "ObjectPageBody",
    "PlatformResponse",
    "VersionBody",
    "send_request",
]


MAX_BODY_BYTES = 8_388_608
"""Longest body of a response; a page of the platform holds a few megabytes at most."""


class CallError(Enum):
    """Why a call got no complete response."""

    NOT_SENT = "not_sent"
    """Nothing was sent: the connection was refused or could not be opened before the timeout."""

    NO_ANSWER = "no_answer"
    """The request was sent, at least in part, but no complete response arrived."""


@dataclass(frozen=True, slots=True)
class PlatformResponse:
    """A complete HTTP response of the platform, with any status."""

    status: int
    """HTTP status code."""

    body: bytes
    """Response body."""

    version: int
    """Value of the X-Version header, 0 if absent or not a number."""


class _ObjectRow(msgspec.Struct, frozen=True):
    """One object in the response to a listing or a watch."""

    key: str
    value: bytes
    version: int
    deleted: bool = False


class ObjectPageBody(msgspec.Struct, frozen=True):
    """Body of the response to a listing or a watch."""

    objects: list[_ObjectRow]
    """Listed objects, or the writes that a watch returned."""

    version: int
    """Version of the store up to which the body includes every write."""

    next_after: str = ""
    """Key after which the next page of a listing starts, empty on the last page."""

    def to_page(self) -> ObjectPage:
        """Converts the body to the public type.

        Returns:
            The page.
        """
        objects = tuple(
            StoredObject(row.key, row.value, row.version, row.deleted) for row in self.objects
        )
        return ObjectPage(objects, self.version, self.next_after)


class VersionBody(msgspec.Struct, frozen=True):
    """Body of the response to a write."""

    version: int
    """New version of the object, or its current version on a conflict."""


class InstanceListBody(msgspec.Struct, frozen=True):
    """Body of the response with the instance list."""

    instances: tuple[msgspec.Raw, ...]
    """JSON texts of all instances of the fleet, each decoded on its own."""

    def decode_instances(self) -> tuple[Instance, ...]:
        """Decodes the instances.

        Returns:
            The instances; rows that cannot be decoded name none.
        """
        decoded = []
        for row in self.instances:
            try:
                decoded.append(msgspec.json.decode(row, type=Instance))
            except (msgspec.DecodeError, UnicodeError):
                structlog.get_logger().warning(LogEvent.INSTANCE_UNREADABLE, size=len(bytes(row)))
        return tuple(decoded)


async def send_request(
    client: aiosonic.HTTPClient,
    method: str,
    url: str,
    *,
    timeout: float,
    connect_timeout: float,
    headers: Mapping[str, str],
    params: Mapping[str, str] | None = None,
    data: bytes | None = None,
) -> PlatformResponse | CallError:
    """Sends one request and never retries it.

    Args:
        client: Client from `create_http_client`.
        method: HTTP method.
        url: URL without the query.
        timeout: Time limit for the entire call in seconds.
        connect_timeout: Time limit for opening the connection in seconds.
        headers: Request headers.
        params: Query parameters.
        data: Request body.

    Returns:
        The response, whatever its status, or why there is none.
    """
    timeouts = Timeouts(
        sock_connect=connect_timeout,
        sock_read=timeout,
        pool_acquire=connect_timeout,
        request_timeout=None,
    )
    try:
        async with asyncio.timeout(timeout):
            response = await client.request(
                url, method, dict(headers), dict(params or {}), data, timeouts=timeouts
            )
            body = await read_body(response, MAX_BODY_BYTES)
    except (ConnectionRefusedError, ConnectTimeout, ConnectionPoolAcquireTimeout):
        return CallError.NOT_SENT
    except (AiosonicError, OSError, EOFError, TimeoutError, ValueError):
        return CallError.NO_ANSWER
    return PlatformResponse(
        response.status_code, body, _parse_version(response.headers.get("x-version", ""))
    )


def _parse_version(text: str) -> int:
    """Parses an X-Version header; returns 0 if it is not a decimal number."""
    return int(text) if text.isdecimal() else 0
