"""Minimal HTTP/1.1 on asyncio streams, for the stand-ins."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass(frozen=True)
class Message:
    """A request or a response; header names are in lower case."""

    start: tuple[str, str, str]
    headers: dict[str, str]
    body: bytes

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.start[1]

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Reads one message that is framed by its length; None if the connection ends before."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        parts = first.split(" ", 2)
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
        return None
    return Message((parts[0], parts[1], parts[2] if len(parts) > 2 else ""), headers, body)


def encode_response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encodes a response with its length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def encode_request(method: str, target: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encodes a request with its length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
