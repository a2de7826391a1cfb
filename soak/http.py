"""Minimal HTTP/1.1 for the stand-ins: reads complete requests and encodes responses."""

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
"""Broken connections of the stand-ins, by stand-in and type of error."""


def count_lost_connection(where: str, exc: OSError) -> None:
    """Counts a broken connection; faults break too many of them to log each one.

    Args:
        where: Stand-in that lost the connection.
        exc: Error that ended it.
    """
    lost_connections[f"{where} {type(exc).__name__}"] += 1


@dataclass(frozen=True)
class Request:
    """A complete request; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Reads one request; returns None when the connection ends or fails."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        # Whether the target may hold blanks is up to the stand-in that decodes it.
        method, _, rest = first.partition(" ")
        target = rest.rpartition(" ")[0]
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines)
        }
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (OSError, asyncio.IncompleteReadError):
        return None
    return Request(method, target, headers, body)


def encode_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Encodes a complete response with its content-length."""
    lines = [f"HTTP/1.1 {status} X", f"content-length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
