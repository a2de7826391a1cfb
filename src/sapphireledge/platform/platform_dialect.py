"""Translates between the platform's headers and the gateway's types."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sapphireledge.core.backpressure import ServerSignals
from sapphireledge.core.placement import PromptPart
from sapphireledge.errors import ErrorKind, Ran
from sapphireledge.gateway import CallerRequest, ResponseHead
from sapphireledge.platform import header_names as names
from sapphireledge.platform.copy_messages import decode_copy, encode_copy, encode_release_path
from sapphireledge.platform.decode_report import decode_cache, decode_report

if TYPE_CHECKING:
    from sapphireledge.errors import Failure
    from sapphireledge.gateway import BackendRequest, BackendServer, EngineLoad, Headers

__all__ = ["PlatformDialect"]

API_KEY_SCHEME = b"token "
"""Authorization scheme of an API key, in lower case."""

EVENT_STREAM = b"text/event-stream"
"""Media type of a series of server-sent events."""

SERVICE_UNAVAILABLE = 503
"""Status with which a backend server may ask for a pause."""

MAX_DIGITS = 18
"""Digits of the largest number accepted in a header."""

MAX_PART_ID_LENGTH = 128
"""Length of the ids of prompt parts up to which engines are chosen by them; each instance remembers
thousands, and callers choose them."""

MAX_PROMPT_PARTS = 32
"""Parts of a prompt by which engines are chosen; a header has room for thousands."""

NOT_RUN_KINDS = frozenset({ErrorKind.REQUEST_CONDEMNED, ErrorKind.VERSION_GONE})
"""Kinds for which the platform has no status. The one that states that nothing has run is used."""

MAX_URGENCY_CLASS = 9
"""Least urgent class of an engine; 0 is the most urgent, as for the gateway's ranks."""


class PlatformDialect:
    """Implements `sapphireledge.gateway.Dialect`."""

    def decode_request(
        self, method: bytes, target: bytes, headers: Headers, body: bytes, received_at: float
    ) -> CallerRequest:
        """Decodes a caller's request; see `Dialect.decode_request`."""
        values = dict(headers)
        wait_ms = _parse_int(values.get(names.TIME_LEFT))
        prompt_tokens, _, output_tokens = values.get(names.TOKEN_COUNTS, b"").partition(b",")
        parts = _split_prompt_parts(values.get(names.PREFIX_PARTS, b""))
        dropped = names.NOT_FORWARDED | names.HOP_BY_HOP | _connection_options(values)
        return CallerRequest(
            method=method,
            target=target,
            host=values.get(b"host", b"").decode("latin-1").partition(":")[0].lower(),
            headers=tuple((name, value) for name, value in headers if name not in dropped),
            body=body,
            received_at=received_at,
            request_id=values.get(names.REQUEST_ID, b"").decode("latin-1"),
            key=_parse_api_key(values.get(b"authorization", b"")),
            wait_limit=None if wait_ms is None else wait_ms / 1000.0,
            last_event=_parse_int(values.get(names.LAST_EVENT)),
            resumes=values.get(names.RESUMES, b"").decode("latin-1"),
            prompt_tokens=_parse_int(prompt_tokens) or 0,
            output_tokens=_parse_int(output_tokens) or 0,
            affinity=parts[-1].part_id or values.get(names.REQUEST_ID, b"").decode("latin-1"),
            shared_parts=tuple(part.part_id for part in parts[:-1]),
            parts=tuple(parts[:MAX_PROMPT_PARTS]) if _has_usable_ids(parts) else (),
        )

    def encode_backend_request(self, backend_request: BackendRequest) -> list[tuple[bytes, bytes]]:
        """Builds the headers for a backend server; see `Dialect.encode_backend_request`."""
        request = backend_request.request
        time_left = max(1, int(backend_request.time_left * 1000))
        headers = [
            *request.headers,
            (names.TIME_LEFT, str(time_left).encode()),
            (names.EXPECTED_SERVER, backend_request.server.server_id.encode()),
        ]
        if backend_request.workspace:
            headers.append((names.WORKSPACE, backend_request.workspace.encode()))
        if backend_request.rank is not None:
            headers.append(
                (names.URGENCY, str(min(backend_request.rank, MAX_URGENCY_CLASS)).encode())
            )
        if backend_request.resume_after is not None:
            headers.append((names.LAST_EVENT, str(backend_request.resume_after).encode()))
        if backend_request.standby is not None:
            headers.append((names.REPLICA_TARGET, backend_request.standby.address.encode()))
        if backend_request.resume_from is not None:
            replica = backend_request.resume_from
            source = replica.holder if replica.source is None else replica.source
            replica_source = f"{source.address}/{replica.handle or request.request_id}"
            headers.append((names.REPLICA_SOURCE, replica_source.encode()))
        return headers

    def encode_forwarded_request(
        self, request: CallerRequest, time_left: float
    ) -> list[tuple[bytes, bytes]]:
        """Builds the headers for another instance; see `Dialect.encode_forwarded_request`."""
        headers = list(request.headers)
        headers.append((names.TIME_LEFT, str(max(1, int(time_left * 1000))).encode()))
        if request.key:
            headers.append((b"authorization", API_KEY_SCHEME + request.key.encode("latin-1")))
        if request.last_event is not None:
            headers.append((names.LAST_EVENT, str(request.last_event).encode()))
        return headers

    def decode_response(self, status: int, headers: Headers) -> ResponseHead:
        """Decodes the head of a response; see `Dialect.decode_response`."""
        values = dict(headers)
        request_id = values.get(names.REQUEST_ID)
        tokens = _split_tokens(values.get(b"connection", b""))
        return ResponseHead(
            status=status,
            headers=tuple(pair for pair in headers if pair[0] not in names.HOP_BY_HOP),
            request_id=None if request_id is None else request_id.decode("latin-1"),
            not_executed=names.NOT_EXECUTED in values,
            signed=names.SIGNATURE in values,
            encoded=b"content-encoding" in values,
            idle_timeout=_parse_keep_alive(values.get(b"keep-alive", b"")),
            closes_connection=b"close" in tokens,
            is_event_stream=values.get(b"content-type", b"").lower().startswith(EVENT_STREAM),
            signals=_decode_signals(status, values),
        )

    def encode_report_request(
        self, server: BackendServer
    ) -> tuple[bytes, list[tuple[bytes, bytes]]]:
        """Builds the request for a report; see `Dialect.encode_report_request`."""
        return b"/report", [(b"host", server.address.encode())]

    def encode_cache_request(
        self, server: BackendServer
    ) -> tuple[bytes, list[tuple[bytes, bytes]]]:
        """Builds the request for cached prompt parts; see `Dialect.encode_cache_request`."""
        return b"/kv-list", [(b"host", server.address.encode())]

    def encode_copy_request(
        self, source: BackendServer, request_id: str, holder: BackendServer
    ) -> tuple[bytes, bytes, list[tuple[bytes, bytes]], bytes]:
        """Builds the request for a copy; see `Dialect.encode_copy_request`."""
        body = encode_copy(request_id, holder.address)
        headers = [(b"host", source.address.encode()), (b"content-type", b"application/json")]
        return b"POST", b"/kv-move", headers, body

    def decode_copy(self, body: bytes) -> str:
        """Decodes the id of a copy; see `Dialect.decode_copy`."""
        return decode_copy(body)

    def encode_release_request(
        self, source: BackendServer, handle: str
    ) -> tuple[bytes, bytes, list[tuple[bytes, bytes]], bytes]:
        """Builds the request to give a copy up; see `Dialect.encode_release_request`."""
        headers = [(b"host", source.address.encode())]
        return b"DELETE", encode_release_path(handle), headers, b""

    def decode_cache(self, body: bytes) -> frozenset[str]:
        """Decodes the list of cached prompt parts; see `Dialect.decode_cache`."""
        return decode_cache(body)

    def decode_report(self, body: bytes) -> EngineLoad | None:
        """Decodes an engine's report; see `Dialect.decode_report`."""
        return decode_report(body)

    def refusal_status(self, failure: Failure) -> int:
        """Chooses the status of an error response; see `Dialect.refusal_status`."""
        if failure.kind in NOT_RUN_KINDS and failure.ran is Ran.NO:
            return 503
        return failure.answer.http_status

    def encode_refusal(
        self, request_id: str, retry_after: float | None
    ) -> list[tuple[bytes, bytes]]:
        """Builds the headers of an error response; see `Dialect.encode_refusal`."""
        headers = []
        if request_id:
            headers.append((names.REQUEST_ID, request_id.encode("latin-1")))
        if retry_after is not None:
            headers.append((b"retry-after", f"{retry_after:.1f}".encode()))
        return headers


def _parse_int(value: bytes | None) -> int | None:
    """Parses a non-negative integer; returns None for anything else."""
    if value is None or not value.isdigit() or len(value) > MAX_DIGITS:
        return None
    return int(value)


def _parse_decimal(value: bytes | None) -> float | None:
    """Parses a non-negative decimal number; returns None for anything else."""
    if value is None or len(value) > MAX_DIGITS:
        return None
    try:
        number = float(value)
    except ValueError:
        return None
    return number if math.isfinite(number) and number >= 0.0 else None


def _decode_signals(status: int, values: dict[bytes, bytes]) -> ServerSignals:
    """Decodes what a backend server asks of its callers; only a rejection asks for a pause."""
    pause = _parse_decimal(values.get(b"retry-after")) if status == SERVICE_UNAVAILABLE else None
    return ServerSignals(
        rate_limit=_parse_decimal(values.get(names.RATE_LIMIT)),
        rejection_limit=_parse_decimal(values.get(names.REJECTION_LIMIT)),
        has_rejected=status == SERVICE_UNAVAILABLE and names.NOT_EXECUTED in values,
        pause=pause,
        is_leaving=values.get(names.LEAVING, b"").strip() == b"1",
    )


def _split_prompt_parts(value: bytes) -> list[PromptPart]:
    """Extracts a prompt's parts; at least one, whose id is empty if there are none."""
    parts = []
    for entry in value.split(b","):
        part_id, _, tokens = entry.partition(b":")
        length = _parse_int(tokens.strip()) or 0
        parts.append(PromptPart(part_id.strip().decode("latin-1"), length))
    return parts


def _has_usable_ids(parts: list[PromptPart]) -> bool:
    """Whether the parts of a prompt are known by ids that are worth remembering."""
    longest = max(len(part.part_id) for part in parts)
    return bool(parts[-1].part_id) and longest <= MAX_PART_ID_LENGTH


def _parse_api_key(value: bytes) -> str:
    """Extracts the API key from the authorization header, empty if there is none."""
    if value[: len(API_KEY_SCHEME)].lower() != API_KEY_SCHEME:
        return ""
    return value[len(API_KEY_SCHEME) :].strip().decode("latin-1")


def _split_tokens(value: bytes) -> frozenset[bytes]:
    """Splits a comma-separated list into tokens in lower case."""
    return frozenset(part.strip().lower() for part in value.split(b",") if part.strip())


def _connection_options(values: dict[bytes, bytes]) -> frozenset[bytes]:
    """Returns the headers that the connection header declares as hop-by-hop.

    The request id and the host are forwarded even if it names them.
    """
    return _split_tokens(values.get(b"connection", b"")) - {names.REQUEST_ID, b"host"}


def _parse_keep_alive(value: bytes) -> float | None:
    """Extracts the idle timeout in seconds from the keep-alive header."""
    for part in value.split(b","):
        name, _, number = part.partition(b"=")
        if name.strip().lower() == b"timeout" and (timeout := _parse_int(number.strip())):
            return float(timeout)
    return None
