"""Connections, wire structures and helper functions of the backend clients."""

from __future__ import annotations

import asyncio
import itertools
import os
import time
from contextvars import ContextVar
from dataclasses import dataclass
from types import MappingProxyType
from typing import TYPE_CHECKING, Any

import msgspec
from aiosonic.exceptions import HttpParsingError

from sapphireledge.backends.call_failure import CallFailure
from sapphireledge.backends.call_failure_cause import CallFailureCause
from sapphireledge.backends.stream_token import FOREIGN_ATTEMPT
from sapphireledge.errors import Ran
from sapphireledge.limited_http import MAX_BODY_BYTES, LimitedConnection, ResponseTooLong, read_body

if TYPE_CHECKING:
    from collections.abc import Mapping
    from urllib.parse import ParseResult

    from aiosonic import HTTPClient

__all__ = [
    "CALL_ID",
    "Chunk",
    "ErrorBody",
    "HttpReply",
    "ReusableConnection",
    "SendProgress",
    "SingleUseConnection",
    "classify_call_error",
    "classify_error_response",
    "parse_attempt_number",
    "read_reply",
    "send_request",
]


CALL_ID = "X-Call-Id"
"""Header with the id of a call, which servers repeat in the response."""

_process_id = os.urandom(6).hex()
_call_numbers = itertools.count(1)


class SendProgress:
    """Progress of sending one call; it shows whether a failed call can have reached the server."""

    __slots__ = ("_response_timeout", "_timeout", "acquired", "call_id", "sent")

    current: ContextVar[SendProgress | None] = ContextVar("sapphireledge_send_mark", default=None)
    """Progress of the call that the current task is making."""

    def __init__(self, timeout: asyncio.Timeout, response_timeout: float) -> None:
        self._timeout = timeout
        self._response_timeout = response_timeout

        self.call_id = f"{_process_id}.{next(_call_numbers)}"
        """Id of the call, unique among the calls of all instances."""

        self.acquired = False
        """Whether the pool assigned a connection to the call."""

        self.sent = False
        """Whether any byte of the call was written to a connection."""

    def mark_sent(self) -> None:
        """Records that the first byte was written; the response timeout starts here."""
        if not self.sent:
            self.sent = True
            self._timeout.reschedule(asyncio.get_running_loop().time() + self._response_timeout)


class ReusableConnection(LimitedConnection):
    """Keep-alive connection that is reused only if no earlier call can have left data on it.

    aiosonic returns a reused connection to its pool when a call on it fails or is cancelled before
    its response arrives; the next call would then read the response to the earlier one. It also
    reuses a connection that the server has already closed, so that a clean restart of the server
    would lead to a call with an unknown outcome.

    A server may repeat a response where the next one is expected. So a response must have the id of
    its call, except for the first one on a connection, which is not reused after it.
    """

    invalidated_at: Mapping[str, float] = MappingProxyType({})
    """Monotonic time per address; connections opened earlier are not reused."""

    opened = 0.0
    """Monotonic time at which the connection was opened."""

    _call_id = ""
    _response_id: str | None = None
    _is_reading_head = False
    _has_unnamed_response = False

    def reuse(self, urlparsed: ParseResult, verify: bool) -> bool:
        """Allows reuse unless the connection was invalidated, closed or has unread data."""
        progress = SendProgress.current.get()
        if progress is not None:
            progress.acquired = True
        reader = self.reader
        if self.opened < self.invalidated_at.get(urlparsed.netloc, 0.0):
            return False
        if reader is not None and (reader.at_eof() or reader._buffer):
            return False
        return not self._has_unnamed_response and super().reuse(urlparsed, verify)

    async def _connection_made(self) -> None:
        """Records the time of opening."""
        self.opened = time.monotonic()
        self._has_unnamed_response = False
        await super()._connection_made()

    def write(self, data: bytes) -> None:
        """Writes data and marks the current call as sent."""
        progress = SendProgress.current.get()
        if progress is not None:
            progress.mark_sent()
            self._call_id = progress.call_id
        super().write(data)

    async def readuntil(self, separator: bytes = b"\r\n") -> bytes:
        """Reads the first line of a response."""
        self._is_reading_head = True
        self._response_id = None
        return await super().readuntil(separator)

    async def readline(self) -> bytes:
        """Reads a line, and checks the id of the response at the end of its head."""
        line = await super().readline()
        if self._is_reading_head:
            name, separator, value = line.decode("latin-1").partition(":")
            if not separator:
                self._is_reading_head = False
                self._check_response_id()
            elif name.strip().lower() == CALL_ID.lower():
                self._response_id = value.strip()
        return line

    def _check_response_id(self) -> None:
        """Raises HttpParsingError for a response that may be the one to another call."""
        if self._response_id is None and not self.reused:
            self._has_unnamed_response = True
        elif self._response_id != self._call_id:
            raise HttpParsingError("the response may belong to another call")

    async def __aexit__(self, exc_type: Any, exc: Any, tb: Any) -> None:
        """Closes the connection after a failed call, otherwise returns it to the pool."""
        if exc_type is not None:
            self.keep = False
        await super().__aexit__(exc_type, exc, tb)


class SingleUseConnection(ReusableConnection):
    """Connection that is closed after one call."""

    def reuse(self, urlparsed: ParseResult, verify: bool) -> bool:
        """Never allows reuse."""
        progress = SendProgress.current.get()
        if progress is not None:
            progress.acquired = True
        return False

    def keep_alive(self) -> None:
        """Does nothing, so that the connection is closed after its call."""


class Delta(msgspec.Struct, gc=False):
    """Text added to a chat completion by a chunk."""

    content: str | None = None


class Choice(msgspec.Struct, gc=False):
    """Choice of a chunk; only the first one is read."""

    delta: Delta | None = None
    text: str | None = None
    finish_reason: str | None = None


class Extension(msgspec.Struct, gc=False):
    """The `sapphireledge` object of a chunk."""

    attempt_id: str
    offset: int
    model_version: str = ""
    total_tokens: int | None = None


class Chunk(msgspec.Struct, gc=False):
    """One chunk of a generation stream."""

    choices: list[Choice] = []
    sapphireledge: Extension | None = None
    error: dict[str, Any] | None = None


@dataclass(frozen=True, slots=True)
class HttpReply:
    """HTTP response whose body was read completely."""

    status: int
    """HTTP status code."""

    body: bytes
    """Complete body."""

    headers: dict[str, str]
    """Header fields; the last value of a repeated name."""


class ErrorDetail(msgspec.Struct):
    """The `error` object of an error response."""

    code: str = ""
    message: str = ""


class ErrorBody(msgspec.Struct):
    """Body of an error response."""

    error: ErrorDetail = msgspec.field(default_factory=ErrorDetail)
    boot_id: str = ""
    fencing: int = 0


def classify_call_error(exc: BaseException, progress: SendProgress) -> CallFailure:
    """Classifies a call that failed before the header of its response was read.

    Args:
        exc: Exception raised by aiosonic.
        progress: Progress of the call.

    Returns:
        CallFailure with ran NO if nothing was sent, otherwise UNKNOWN.
    """
    name = type(exc).__name__
    if not progress.sent and isinstance(exc, ValueError):
        return CallFailure(CallFailureCause.INVALID, Ran.NO, "invalid header value")
    if not progress.sent:
        cause = (
            CallFailureCause.NOT_CONNECTED
            if progress.acquired
            else CallFailureCause.NO_CONNECTION_FREE
        )
        return CallFailure(cause, Ran.NO, name)
    if isinstance(exc, HttpParsingError | ResponseTooLong):
        return CallFailure(CallFailureCause.MALFORMED, Ran.UNKNOWN, name)
    timed_out = isinstance(exc, TimeoutError) or name.endswith("Timeout")
    cause = CallFailureCause.NO_ANSWER if timed_out else CallFailureCause.CONNECTION_LOST
    return CallFailure(cause, Ran.UNKNOWN, name)


async def send_request(
    client: HTTPClient,
    method: str,
    url: str,
    connect_timeout: float,
    response_timeout: float,
    **options: Any,
) -> Any:
    """Sends a request and waits for the header of its response.

    Args:
        client: Client with the connection pool to use.
        method: HTTP method; aiosonic retries GET and DELETE on a stale connection, never POST.
        url: Full URL.
        connect_timeout: Seconds to get a place in the pool and an open connection.
        response_timeout: Seconds from the first byte sent to the header of the response.
        **options: Other arguments of `HTTPClient.request`.

    Returns:
        The response of aiosonic, or CallFailure.
    """
    call_timeout = asyncio.timeout(connect_timeout)
    progress = SendProgress(call_timeout, response_timeout)
    token = SendProgress.current.set(progress)
    headers = options.get("headers") or {}
    others = {name: value for name, value in headers.items() if name.lower() != CALL_ID.lower()}
    options["headers"] = {**others, CALL_ID: progress.call_id}
    try:
        async with call_timeout:
            return await client.request(url, method, **options)
    except Exception as exc:
        return classify_call_error(exc, progress)
    finally:
        SendProgress.current.reset(token)


async def read_reply(
    response: Any, timeout: float, max_bytes: int = MAX_BODY_BYTES
) -> HttpReply | CallFailure:
    """Reads the body of a short response.

    Args:
        response: Response of aiosonic.
        timeout: Seconds to read the body.
        max_bytes: Largest body in bytes.

    Returns:
        The complete response, or CallFailure with ran UNKNOWN.
    """
    try:
        async with asyncio.timeout(timeout):
            body = await read_body(response, max_bytes)
        return HttpReply(response.status_code, body, dict(response.raw_headers))
    except TimeoutError:
        return CallFailure(CallFailureCause.NO_ANSWER, Ran.UNKNOWN, "response body timed out")
    except (HttpParsingError, ResponseTooLong) as exc:
        return CallFailure(CallFailureCause.MALFORMED, Ran.UNKNOWN, str(exc))
    except Exception as exc:
        return CallFailure(CallFailureCause.CONNECTION_LOST, Ran.UNKNOWN, type(exc).__name__)
    finally:
        await response.aclose()


def parse_attempt_number(owner_id: str, attempt_id: str) -> int:
    """Extracts the attempt number from an attempt id.

    Args:
        owner_id: Expected part of the id before its last dot, see `GenerationCall.owner_id`.
        attempt_id: Id sent in a chunk.

    Returns:
        The number, or FOREIGN_ATTEMPT if the id belongs to another owner or request.
    """
    head, _, number = attempt_id.rpartition(".")
    if head != owner_id or not (number.isascii() and number.isdigit()) or len(number) > 9:
        return FOREIGN_ATTEMPT
    return int(number)


def classify_error_response(status: int, body: bytes, retry_after: str) -> CallFailure:
    """Classifies an error response of an engine.

    Args:
        status: HTTP status code, not 200.
        body: Body of the response.
        retry_after: Value of the Retry-After header, empty if absent.

    Returns:
        CallFailure, with ran NO if the status guarantees that nothing was generated.
    """
    try:
        error = msgspec.json.decode(body, type=ErrorBody).error
    except (msgspec.MsgspecError, UnicodeDecodeError):
        error = ErrorDetail()
    detail = f"status {status} {error.code}".strip()
    delay = float(retry_after) if retry_after.isascii() and retry_after.isdigit() else None
    if status == 503 and error.code == "leaving":
        return CallFailure(CallFailureCause.LEAVING, Ran.NO, detail, delay)
    if status == 429:
        return CallFailure(CallFailureCause.BUSY, Ran.NO, detail, delay)
    if status == 404:
        return CallFailure(CallFailureCause.UNKNOWN_MODEL, Ran.NO, detail)
    if 400 <= status < 500:
        return CallFailure(CallFailureCause.INVALID, Ran.NO, detail)
    return CallFailure(CallFailureCause.SERVER_ERROR, Ran.UNKNOWN, detail, delay)
