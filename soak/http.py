"""HTTP of the stand-ins: whole requests in, bytes out."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass

__all__ = [
    "Request",
    "count_lost_connection",
    "encode_response",
    "lost_connections",
    "read_request",
]

lost_connections: Counter[str] = Counter()
"""Connections of stand-ins that broke, by stand-in and kind of error."""


def count_lost_connection(where: str, exc: OSError) -> None:
    """Counts a connection that broke; faults break many, so each is counted and not logged.

    Args:
        where: Stand-in that lost it.
        exc: The error.
    """
    lost_connections[f"{where} {type(exc).__name__}"] += 1


@dataclass(frozen=True)
class Request:
    """A whole request; header names in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Reads one request, or returns None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        method, target, _ = first.split(" ")
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines)
        }
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (OSError, asyncio.IncompleteReadError):
        return None
    return Request(method, target, headers, body)


def encode_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Builds the bytes of a whole answer."""
    lines = [f"HTTP/1.1 {status} X", f"content-length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
