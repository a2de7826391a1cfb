"""Reads a response body of limited size."""

from __future__ import annotations

from contextlib import aclosing
from typing import TYPE_CHECKING

from aiosonic.exceptions import HttpParsingError

from sapphireledge.limited_http.limited_connection import MAX_BODY_BYTES
from sapphireledge.limited_http.response_too_long import ResponseTooLong

if TYPE_CHECKING:
    from typing import Any

__all__ = ["read_body"]

BODILESS_STATUSES = (204, 304)
"""Statuses of responses that have neither a body nor a length."""


async def read_body(response: Any, max_bytes: int = MAX_BODY_BYTES) -> bytes:
    """Reads a complete body.

    Unlike `HttpResponse.content`, it does not copy the body for each chunk.

    Args:
        response: Response of aiosonic.
        max_bytes: Largest body in bytes.

    Returns:
        The body.

    Raises:
        ResponseTooLong: The body is too long.
        HttpParsingError: The response has no length, so that its end cannot be told from a break;
            aiosonic takes its body for an empty one.
    """
    if response.chunked:
        body = bytearray()
        async with aclosing(response.read_chunks()) as chunks:
            async for chunk in chunks:
                body += chunk
                if len(body) > max_bytes:
                    raise ResponseTooLong(f"more than {max_bytes} bytes")
        return bytes(body)
    is_bodiless = response.method == "HEAD" or response.status_code in BODILESS_STATUSES
    if not is_bodiless and "content-length" not in response.headers:
        raise HttpParsingError("the response has no length")
    content = await response.content()
    if len(content) > max_bytes:
        raise ResponseTooLong(f"more than {max_bytes} bytes")
    return content
