"""Checks of request heads before and after the parser."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.gateway.malformed_request import MalformedRequest
from sapphireledge.limits import find_head_end

if TYPE_CHECKING:
    import h11

__all__ = ["check_head", "find_head"]

MAX_CONTROL = 0x20
"""Largest first byte that no request line can have; the parser rejects it without waiting."""


def find_head(received: bytearray, searched: int, max_bytes: int) -> int:
    """Finds the end of a head that the parser can take.

    Args:
        received: Bytes from the beginning of the request.
        searched: Bytes that an earlier search has passed.
        max_bytes: Largest head in bytes.

    Returns:
        Size of the head in bytes, or of the bytes that the parser will reject; 0 if the head is
        incomplete.

    Raises:
        MalformedRequest: The head is too large.
    """
    end = find_head_end(received, searched)
    size = end or len(received)
    if size > max_bytes:
        raise MalformedRequest(431, "the request head is too large")
    if not end and not (received and received[0] <= MAX_CONTROL):
        return 0
    return size


def check_head(head: h11.Request, max_body_bytes: int) -> None:
    """Rejects a request with a body that is too large, or with ambiguous framing or host.

    Ambiguity allows request smuggling.

    Args:
        head: Parsed head.
        max_body_bytes: Largest body in bytes.

    Raises:
        MalformedRequest: The request is rejected.
    """
    names = [name for name, _ in head.headers]
    if b"content-length" in names and int(dict(head.headers)[b"content-length"]) > max_body_bytes:
        raise MalformedRequest(413, "the request body is too large")
    if b"transfer-encoding" in names and b"content-length" in names:
        raise MalformedRequest(400, "both Content-Length and Transfer-Encoding are set")
    if names.count(b"host") != 1:
        raise MalformedRequest(400, "the request must have exactly one Host header")
