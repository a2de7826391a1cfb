"""Simple blocking caller for the demo, the tests and the benchmarks."""

from __future__ import annotations

import http.client
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

__all__ = ["Booking", "Generation", "book", "generate"]

READ_LIMIT = 30.0
"""Read timeout of a connection in seconds."""


@dataclass
class Generation:
    """Part of an answer that one connection received; times are in seconds."""

    status: int = 0
    text: str = ""
    tokens: int = 0
    event_id: str = ""
    """Id of the last event, which is the position for a reconnect."""
    done: bool = False
    answer: str = ""
    """Value of the X-Answer header."""
    error: dict[str, Any] | None = None
    connection_error: str = ""
    """Error that broke the connection, or an empty string."""
    first_token: float = 0.0
    longest_gap: float = 0.0
    event_ids: list[str] = field(default_factory=list)


@dataclass(frozen=True)
class Booking:
    """Response to one booking request."""

    status: int
    answer: str
    body: Any
    seconds: float


def generate(
    url: str,
    *,
    request_id: str = "",
    last_event_id: str = "",
    received: str | None = None,
    rank: str = "",
    workspace: str = "",
    prompt: str = "hello",
    max_tokens: int = 100,
    headers: dict[str, str] | None = None,
    on_token: Callable[[int], bool] | None = None,
) -> Generation:
    """Streams one chat completion over one connection.

    Args:
        url: Base URL of the caller interface.
        request_id: Request id; empty lets the instance choose one.
        last_event_id: Id of the last received event, for a reconnect.
        received: Text received so far, sent back on a reconnect.
        rank: Rank; empty selects the default.
        workspace: Workspace; empty selects the default.
        prompt: Content of the single user message.
        max_tokens: Maximum length of the answer.
        headers: Additional headers.
        on_token: Called with the token count after each token; True closes the connection.

    Returns:
        The received part of the answer.
    """
    body: dict[str, Any] = {
        "model": "drafter",
        "messages": [{"role": "user", "content": prompt}],
        "stream": True,
        "max_tokens": max_tokens,
    }
    if received is not None:
        body["sapphireledge"] = {"received": received}
    request = urllib.request.Request(
        url + "/v1/chat/completions", data=msgspec.json.encode(body), method="POST"
    )
    request_headers = {"X-Request-Id": request_id, "Last-Event-ID": last_event_id}
    request_headers |= {"X-Rank": rank, "X-Workspace": workspace, **(headers or {})}
    for name, value in request_headers.items():
        if value:
            request.add_header(name, value)
    result = Generation(event_id=last_event_id)
    sent_at = time.monotonic()
    try:
        with urllib.request.urlopen(request, timeout=READ_LIMIT) as response:
            result.status = response.status
            result.answer = response.headers.get("x-answer", "")
            _read_events(response, result, sent_at, on_token)
    except urllib.error.HTTPError as exc:
        result.status = exc.code
        result.error = msgspec.json.decode(exc.read())["error"]
    except (OSError, http.client.HTTPException) as exc:
        result.connection_error = repr(exc)
    return result


def _read_events(
    response: Any, result: Generation, sent_at: float, on_token: Callable[[int], bool] | None
) -> None:
    """Reads the server-sent events of one connection."""
    last_token_at = sent_at
    for raw in response:
        line = raw.decode().rstrip("\r\n")
        if line.startswith("id: "):
            result.event_id = line[4:]
            result.event_ids.append(result.event_id)
        if line == "data: [DONE]":
            result.done = True
        elif line.startswith("data: "):
            chunk = msgspec.json.decode(line[6:])
            if "error" in chunk:
                result.error = chunk["error"]
                return
            text = chunk["choices"][0]["delta"].get("content") or ""
            if not text:
                continue
            now = time.monotonic()
            if not result.tokens:
                result.first_token = now - sent_at
            else:
                result.longest_gap = max(result.longest_gap, now - last_token_at)
            last_token_at = now
            result.text += text
            result.tokens += 1
            if on_token is not None and on_token(result.tokens):
                return


def book(
    url: str, key: str, *, body: Any = None, deadline_ms: int = 0, service: str = "booking"
) -> Booking:
    """Sends one booking request.

    Args:
        url: Base URL of the caller interface.
        key: Idempotency key.
        body: Value sent as JSON; None sends a default.
        deadline_ms: Deadline in milliseconds; 0 sends none.
        service: Name of the service.

    Returns:
        The response.
    """
    data = msgspec.json.encode(body if body is not None else {"hearing": 1})
    request = urllib.request.Request(
        f"{url}/v1/services/{service}/bookings", data=data, method="POST"
    )
    request.add_header("Idempotency-Key", key)
    request.add_header("Content-Type", "application/json")
    if deadline_ms:
        request.add_header("X-Deadline-Ms", str(deadline_ms))
    sent_at = time.monotonic()
    try:
        with urllib.request.urlopen(request, timeout=READ_LIMIT) as response:
            status, answer = response.status, response.headers.get("x-answer", "")
            content = response.read()
    except urllib.error.HTTPError as exc:
        status, answer, content = exc.code, "", exc.read()
    return Booking(status, answer, msgspec.json.decode(content), time.monotonic() - sent_at)
