"""Messages of the platform's HTTP interface, and calls on it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import msgspec
from aiosonic.exceptions import AiosonicError, ConnectionPoolAcquireTimeout, ConnectTimeout
from aiosonic.timeout import Timeouts

from sapphireledge.objects.instance import Instance
from sapphireledge.objects.object_page import ObjectPage
from sapphireledge.objects.stored_object import StoredObject

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


class CallError(Enum):
    """How a call failed."""

    NOT_SENT = "not_sent"
    """Nothing was sent: the connection was refused or could not be opened in time."""

    NO_ANSWER = "no_answer"
    """The request was sent, at least in part, and no complete answer came."""


@dataclass(frozen=True, slots=True)
class PlatformResponse:
    """A complete HTTP answer."""

    status: int
    """Status code."""

    body: bytes
    """Body."""

    version: int
    """Value of the header X-Version, 0 if absent."""


class _ObjectRow(msgspec.Struct, frozen=True):
    """One object in a listing or a watch."""

    key: str
    value: bytes
    version: int
    deleted: bool = False


class ObjectPageBody(msgspec.Struct, frozen=True):
    """Body of a listing or a watch."""

    objects: list[_ObjectRow]
    """The objects."""

    version: int
    """Version of the store that the body covers."""

    next_after: str = ""
    """Key to continue a listing after."""

    def to_page(self) -> ObjectPage:
        """Converts the body.

        Returns:
            The page.
        """
        objects = tuple(
            StoredObject(row.key, row.value, row.version, row.deleted) for row in self.objects
        )
        return ObjectPage(objects, self.version, self.next_after)


class VersionBody(msgspec.Struct, frozen=True):
    """Body of the answer to a write."""

    version: int
    """New version, or the current one on a conflict."""


class InstanceListBody(msgspec.Struct, frozen=True):
    """Body of the instance list."""

    instances: tuple[Instance, ...]
    """All instances."""


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
    """Makes one call, without a retry.

    Args:
        client: Client with one request per connection.
        method: HTTP method.
        url: URL without query.
        timeout: Time limit of the whole call in seconds.
        connect_timeout: Time limit of opening the connection in seconds.
        headers: Headers of the request.
        params: Query parameters.
        data: Body of the request.

    Returns:
        The answer of any status, or how the call failed.
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
            body = await response.content()
    except (ConnectionRefusedError, ConnectTimeout, ConnectionPoolAcquireTimeout):
        return CallError.NOT_SENT
    except (AiosonicError, OSError, EOFError, TimeoutError, ValueError):
        return CallError.NO_ANSWER
    return PlatformResponse(
        response.status_code, body, _parse_version(response.headers.get("x-version", ""))
    )


def _parse_version(text: str) -> int:
    """Reads a number, 0 if the text is none."""
    return int(text) if text.isdecimal() else 0
