"""Validation of a caller's generation request."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, Any

import msgspec
import uuid6

from sapphireledge.core.quarantine import fingerprint_parts, fingerprint_request
from sapphireledge.entry.caller_request import CallerRequest, ResumePoint
from sapphireledge.entry.json_memory import estimate_json_memory
from sapphireledge.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sapphireledge.settings import CallerSettings

__all__ = ["parse_request"]

DEFAULT_MAX_TOKENS = 512
"""Assumed answer limit in tokens of a request that sets none."""

MAX_TOKENS_LIMIT = 1_000_000
"""Largest accepted answer limit, in tokens."""

MAX_DEADLINE_MS = 86_400_000
"""Largest accepted deadline, in milliseconds (one day)."""

_ID_PATTERN = re.compile(r"[A-Za-z0-9._:\-]{1,128}")
_EVENT_ID_PATTERN = re.compile(r"(\d{1,9})\.([0-9a-f]{1,64})")


class _InvalidFieldError(Exception):
    """A field of the request is invalid; the message names the field."""


def parse_request(
    headers: Mapping[str, str], data: bytes, chat: bool, workspace: str, cfg: CallerSettings
) -> CallerRequest | Failure:
    """Validates the headers and body of a generation request.

    Args:
        headers: Request headers with lower-case names.
        data: Request body.
        chat: Whether the request uses the chat interface.
        workspace: Workspace of the authenticated caller.
        cfg: Limits of the caller interface.

    Returns:
        The request, or a failure of kind invalid_request that names the field.
    """
    try:
        body = _decode_object(data)
        extension = body.pop("sapphireledge", {})
        if not isinstance(extension, dict):
            raise _InvalidFieldError("sapphireledge: must be an object")
        if body.get("n", 1) != 1:
            raise _InvalidFieldError("n: only 1 is supported")
        return CallerRequest(
            request_id=_read_request_id(headers),
            workspace=workspace,
            rank=_read_name(headers, "x-rank", cfg.default_rank),
            model=_read_string(body, "model"),
            chat=chat,
            stream=_read_flag(body, "stream"),
            prompt=_read_prompt(body, chat),
            max_tokens=_read_max_tokens(body),
            body=body,
            fingerprint=fingerprint_request(body),
            parts=fingerprint_parts(body),
            deadline=_read_deadline(headers),
            resume=_read_resume_point(headers, extension),
            trace_headers=tuple(
                (name, headers[name]) for name in ("traceparent", "tracestate") if name in headers
            ),
            memory=estimate_json_memory(data),
        )
    except _InvalidFieldError as exc:
        return Failure(ErrorKind.INVALID_REQUEST, str(exc))


def _decode_object(data: bytes) -> dict[str, Any]:
    """Decodes the body, which must be a JSON object."""
    try:
        body = msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise _InvalidFieldError(f"body: is not JSON: {exc}") from exc
    if not isinstance(body, dict):
        raise _InvalidFieldError("body: must be an object")
    return body


def _read_string(body: dict[str, Any], field: str) -> str:
    """Reads a required string field."""
    value = body.get(field)
    if not isinstance(value, str) or not value:
        raise _InvalidFieldError(f"{field}: must be a non-empty string")
    return value


def _read_flag(body: dict[str, Any], field: str) -> bool:
    """Reads an optional Boolean field."""
    value = body.get(field, False)
    if value is None:
        return False
    if not isinstance(value, bool):
        raise _InvalidFieldError(f"{field}: must be true or false")
    return value


def _read_max_tokens(body: dict[str, Any]) -> int:
    """Reads the answer limit from either of its usual fields."""
    for field in ("max_completion_tokens", "max_tokens"):
        value = body.get(field)
        if value is None:
            continue
        if isinstance(value, bool) or not isinstance(value, int):
            raise _InvalidFieldError(f"{field}: must be an integer")
        if not 1 <= value <= MAX_TOKENS_LIMIT:
            raise _InvalidFieldError(f"{field}: must be from 1 to {MAX_TOKENS_LIMIT} tokens")
        return value
    return DEFAULT_MAX_TOKENS


def _read_prompt(body: dict[str, Any], chat: bool) -> str:
    """Reads the prompt; chat messages are joined into one text."""
    if not chat:
        return _read_string(body, "prompt")
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _InvalidFieldError("messages: must be a non-empty list")
    lines = []
    for index, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise _InvalidFieldError(f"messages.{index}.role: must be a string")
        content = message.get("content", "")
        if not isinstance(content, str):
            content = msgspec.json.encode(content).decode()
        lines.append(f"{message['role']}: {content}")
    return "\n".join(lines)


def _read_request_id(headers: Mapping[str, str]) -> str:
    """Reads the request id, or generates one if the caller sent none."""
    value = headers.get("x-request-id")
    if value is None:
        return str(uuid6.uuid7())
    if not _ID_PATTERN.fullmatch(value):
        raise _InvalidFieldError(
            "X-Request-Id: must be 1 to 128 letters, digits, dots, colons, hyphens or underscores"
        )
    return value


def _read_name(headers: Mapping[str, str], header: str, default: str) -> str:
    """Reads a name from a header."""
    value = headers.get(header, default)
    if not _ID_PATTERN.fullmatch(value):
        raise _InvalidFieldError(f"{header}: is not a valid name")
    return value


def _read_deadline(headers: Mapping[str, str]) -> float | None:
    """Reads the deadline, in seconds after arrival."""
    value = headers.get("x-deadline-ms")
    if value is None:
        return None
    if not value.isdecimal() or not 1 <= int(value) <= MAX_DEADLINE_MS:
        raise _InvalidFieldError(f"X-Deadline-Ms: must be from 1 to {MAX_DEADLINE_MS} ms")
    return int(value) / 1000.0


def _read_resume_point(headers: Mapping[str, str], extension: dict[str, Any]) -> ResumePoint | None:
    """Reads the position at which a reconnecting caller resumes."""
    received = extension.get("received")
    if received is not None and not isinstance(received, str):
        raise _InvalidFieldError("sapphireledge.received: must be a string")
    event_id = headers.get("last-event-id") or extension.get("last_event_id")
    if event_id is None:
        if received is not None:
            raise _InvalidFieldError("sapphireledge.received: requires the last event id")
        return None
    match = _EVENT_ID_PATTERN.fullmatch(str(event_id))
    if match is None:
        raise _InvalidFieldError("Last-Event-ID: must have the form <offset>.<digest>")
    if "x-request-id" not in headers:
        raise _InvalidFieldError("X-Request-Id: is required with Last-Event-ID")
    return ResumePoint(int(match[1]), match[2], received)
