"""Connections, wire structures and helpers of the backend clients."""

from __future__ import annotations

import asyncio
import time
from contextvars import ContextVar
from dataclasses import dataclass
from types import MappingProxyType
from typing import TYPE_CHECKING, Any

import msgspec
from aiosonic.connection import Connection
from aiosonic.exceptions import HttpParsingError

from sapphireledge.backends.break_cause import BreakCause
from sapphireledge.backends.broken import Broken
from sapphireledge.backends.token_piece import FOREIGN_ATTEMPT
from sapphireledge.errors import Ran

if TYPE_CHECKING:
    from collections.abc import Coroutine, Mapping
    from urllib.parse import ParseResult

    from aiosonic import HTTPClient

__all__ = [
    "Chunk",
    "ErrorBody",
    "EventTooLong",
    "HttpReply",
    "ReusableConnection",
    "SendProgress",
    "SingleUseConnection",
    "SseReader",
    "classify_call_error",
    "classify_error_response",
    "parse_attempt_number",
    "read_reply",
    "send_request",
]

MAX_EVENT_BYTES = 1_048_576
"""Longest event that is buffered; a longer one breaks the stream instead of filling the memory."""


class EventTooLong(ValueError):
    """A server-sent event exceeds its limit."""


class SendProgress:
    """Remembers how far a call came."""

    __slots__ = ("_response_timeout", "_timeout", "acquired", "sent")

    current: ContextVar[SendProgress | None] = ContextVar("sapphireledge_send_mark", default=None)
    """The progress of the call that the current task makes."""

    def __init__(self, timeout: asyncio.Timeout, response_timeout: float) -> None:
        self._timeout = timeout
        self._response_timeout = response_timeout

        self.acquired = False
        """Whether the pool gave the call a place."""

        self.sent = False
        """Whether any byte of the call was handed to a connection."""

    def mark_sent(self) -> None:
        """Notes the first byte; the time limit of the answer begins here."""
        if not self.sent:
            self.sent = True
            self._timeout.reschedule(asyncio.get_running_loop().time() + self._response_timeout)


class ReusableConnection(Connection):
    """Keep-alive connection that is reused only while nothing can be left over on it.

    aiosonic puts a reused connection back into its pool when a call on it fails or is cancelled
    before its answer; the next call would then read the answer of the earlier one. It also reuses a
    connection whose end of file has already arrived, which turns a clean restart of the server into
    a call with an unknown outcome.
    """

    invalidated_at: Mapping[str, float] = MappingProxyType({})
    """Monotonic time by address; connections opened before it are not reused."""

    opened = 0.0
    """Monotonic time at which the connection was opened."""

    def reuse(self, urlparsed: ParseResult, verify: bool) -> bool:
        """Reuses the connection unless it was invalidated or the server closed it or sent more."""
        progress = SendProgress.current.get()
        if progress is not None:
            progress.acquired = True
        reader = self.reader
        if self.opened < self.invalidated_at.get(urlparsed.netloc, 0.0):
            return False
        if reader is not None and (reader.at_eof() or reader._buffer):
            return False
        return super().reuse(urlparsed, verify)

    async def _connection_made(self) -> None:
        """Notes the time of opening."""
        self.opened = time.monotonic()
        await super()._connection_made()

    def write(self, data: bytes) -> None:
        """Writes and marks the current call as sent."""
        progress = SendProgress.current.get()
        if progress is not None:
            progress.mark_sent()
        super().write(data)

    def readline(self) -> Coroutine[Any, Any, bytes]:
        """Reads a line; the end of file inside it raises an EOFError.

        This and `readexactly` return the coroutine of the stream without a layer around it, since
        both run for every token.
        """
        return self.reader.readuntil(b"\n")

    def readexactly(self, size: int) -> Coroutine[Any, Any, bytes]:
        """Reads exactly that many bytes."""
        return self.reader.readexactly(size)

    async def __aexit__(self, exc_type: Any, exc: Any, tb: Any) -> None:
        """Closes the connection after a failed call, otherwise returns it to the pool."""
        if exc_type is not None:
            self.keep = False
        await super().__aexit__(exc_type, exc, tb)


class SingleUseConnection(ReusableConnection):
    """Connection that serves a single call."""

    def reuse(self, urlparsed: ParseResult, verify: bool) -> bool:
        """Never reuses the connection."""
        progress = SendProgress.current.get()
        if progress is not None:
            progress.acquired = True
        return False

    def keep_alive(self) -> None:
        """Leaves the connection marked to be closed after its call."""


class Delta(msgspec.Struct, gc=False):
    """Change of a chat answer."""

    content: str | None = None


class Choice(msgspec.Struct, gc=False):
    """First choice of a chunk."""

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
    """One chunk of a generation."""

    choices: list[Choice] = []
    sapphireledge: Extension | None = None
    error: dict[str, Any] | None = None


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A complete short answer."""

    status: int
    """Status code."""

    body: bytes
    """Whole body."""

    headers: dict[str, str]
    """Header fields; the last one wins where a name is repeated."""


class ErrorDetail(msgspec.Struct):
    """The `error` object of an error answer."""

    code: str = ""
    message: str = ""


class ErrorBody(msgspec.Struct):
    """Body of an error answer."""

    error: ErrorDetail = msgspec.field(default_factory=ErrorDetail)
    boot_id: str = ""
    fencing: int = 0


class SseReader:
    """Splits a byte stream into the data of server-sent events.

    aiosonic's own SSE client can send POST bodies but is not used: it splits the decoded text of an
    event at U+0085, U+2028 and U+2029, which may stand unescaped in JSON strings and so in model
    output, it drops an event that equals the one before, it knows no CRLF, and it hides the body of
    an error answer.
    """

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Takes the next bytes of the stream.

        Args:
            data: Bytes as received, cut anywhere.

        Returns:
            The data of the events that are now complete; events without data are left out.

        Raises:
            EventTooLong: An event is longer than 1 MiB.
        """
        if self._buffer:
            data = self._buffer + data
        elif (
            data.startswith(b"data: ")
            and data.endswith(b"\n\n")
            and data.find(b"\n") == len(data) - 2
            and b"\r" not in data
        ):
            # One whole event of one line, as nearly every packet of an engine.
            return [data[6:-2]]
        if b"\r" in data:
            # A trailing CR may be the first half of a CRLF.
            trailing_cr = data[-1:] if data.endswith(b"\r") else b""
            data = data.removesuffix(b"\r").replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        else:
            trailing_cr = b""
        events = data.split(b"\n\n")
        remainder = events.pop()
        self._buffer = remainder + trailing_cr if trailing_cr else remainder
        if len(remainder) > MAX_EVENT_BYTES:
            raise EventTooLong
        return [payload for event in events if (payload := _parse_event_data(event)) is not None]


def _parse_event_data(event: bytes) -> bytes | None:
    """Joins the data lines of one event, None when it has none."""
    if event.startswith(b"data: ") and b"\n" not in event:
        return event[6:]
    lines = [
        line[5:].removeprefix(b" ") for line in event.split(b"\n") if line.startswith(b"data:")
    ]
    return b"\n".join(lines) if lines else None


def classify_call_error(exc: BaseException, progress: SendProgress) -> Broken:
    """Classifies a call that failed before the head of its answer.

    Args:
        exc: What aiosonic raised.
        progress: Mark of the call.

    Returns:
        Broken with ran NO if nothing was sent, otherwise UNKNOWN.
    """
    name = type(exc).__name__
    if not progress.sent and isinstance(exc, ValueError):
        return Broken(BreakCause.INVALID, Ran.NO, "a header value is not allowed")
    if not progress.sent:
        cause = BreakCause.NOT_CONNECTED if progress.acquired else BreakCause.NO_CONNECTION_FREE
        return Broken(cause, Ran.NO, name)
    if isinstance(exc, HttpParsingError):
        return Broken(BreakCause.MALFORMED, Ran.UNKNOWN, name)
    timed_out = isinstance(exc, TimeoutError) or name.endswith("Timeout")
    cause = BreakCause.NO_ANSWER if timed_out else BreakCause.CONNECTION_LOST
    return Broken(cause, Ran.UNKNOWN, name)


async def send_request(
    client: HTTPClient,
    method: str,
    url: str,
    connect_timeout: float,
    response_timeout: float,
    **options: Any,
) -> Any:
    """Sends a request once and waits for the head of its answer.

    Args:
        client: Client with the pool to use.
        method: HTTP method; aiosonic repeats GET and DELETE on a stale connection, never POST.
        url: Full address.
        connect_timeout: Seconds for a place in the pool and the connection.
        response_timeout: Seconds from the first byte sent to the head of the answer.
        **options: Other arguments of `HTTPClient.request`.

    Returns:
        The response of aiosonic, or Broken.
    """
    call_timeout = asyncio.timeout(connect_timeout)
    progress = SendProgress(call_timeout, response_timeout)
    token = SendProgress.current.set(progress)
    try:
        async with call_timeout:
            return await client.request(url, method, **options)
    except Exception as exc:
        return classify_call_error(exc, progress)
    finally:
        SendProgress.current.reset(token)


async def read_reply(response: Any, timeout: float) -> HttpReply | Broken:
    """Reads the body of a short answer.

    Args:
        response: Response of aiosonic.
        timeout: Seconds for the body.

    Returns:
        The whole answer, or Broken with ran UNKNOWN.
    """
    try:
        async with asyncio.timeout(timeout):
            body = await response.content()
        return HttpReply(response.status_code, body, dict(response.raw_headers))
    except TimeoutError:
        return Broken(BreakCause.NO_ANSWER, Ran.UNKNOWN, "the body did not end in time")
    except Exception as exc:
        return Broken(BreakCause.CONNECTION_LOST, Ran.UNKNOWN, type(exc).__name__)
    finally:
        await response.aclose()


def parse_attempt_number(request_id: str, attempt_id: str) -> int:
    """Reads the number out of an attempt id.

    Args:
        request_id: Request that the stream belongs to.
        attempt_id: Id named in a chunk.

    Returns:
        The number, or FOREIGN_ATTEMPT if the attempt is of another request.
    """
    head, _, number = attempt_id.rpartition(".")
    if head != request_id or not (number.isascii() and number.isdigit()) or len(number) > 9:
        return FOREIGN_ATTEMPT
    return int(number)


def classify_error_response(status: int, body: bytes, retry_after: str) -> Broken:
    """Classifies an error answer of an engine.

    Args:
        status: Status code, not 200.
        body: Body of the answer.
        retry_after: Value of the Retry-After header, empty for none.

    Returns:
        Broken with ran NO for the answers that promise that nothing was generated.
    """
    try:
        error = msgspec.json.decode(body, type=ErrorBody).error
    except (msgspec.MsgspecError, UnicodeDecodeError):
        error = ErrorDetail()
    detail = f"status {status} {error.code}".strip()
    delay = float(retry_after) if retry_after.isascii() and retry_after.isdigit() else None
    if status == 503 and error.code == "leaving":
        return Broken(BreakCause.LEAVING, Ran.NO, detail, delay)
    if status == 429:
        return Broken(BreakCause.BUSY, Ran.NO, detail, delay)
    if status == 404:
        return Broken(BreakCause.UNKNOWN_MODEL, Ran.NO, detail)
    if 400 <= status < 500:
        return Broken(BreakCause.INVALID, Ran.NO, detail)
    return Broken(BreakCause.SERVER_ERROR, Ran.UNKNOWN, detail, delay)
