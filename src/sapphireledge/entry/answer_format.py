"""Encoding of answers and failures for callers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import msgspec

from sapphireledge.errors import Failure

if TYPE_CHECKING:
    from sapphireledge.entry.caller_request import CallerRequest

__all__ = ["AnswerFormat", "build_failure_headers", "encode_failure"]

DONE = b"data: [DONE]\n\n"
"""Last event of a stream that completed."""


class _Delta(msgspec.Struct, omit_defaults=True):
    """Delta of a chat chunk."""

    role: str | None = None
    content: str | None = None


class _Choice(msgspec.Struct):
    """The single choice of a chat chunk."""

    index: int
    delta: _Delta
    finish_reason: str | None


class _TextChoice(msgspec.Struct):
    """The single choice of a completion chunk."""

    index: int
    text: str
    finish_reason: str | None


class _Chunk(msgspec.Struct):
    """Data of one server-sent event of a stream."""

    id: str
    object: str
    created: int
    model: str
    choices: list[_Choice] | list[_TextChoice]


class AnswerFormat:
    """Encodes one answer in the format of the interface that the caller used."""

    def __init__(self, req: CallerRequest, created_unix: float) -> None:
        """Creates the fields that all events share.

        Args:
            req: The request.
            created_unix: Creation time of the answer in Unix seconds.
        """
        self._req = req
        self._created = int(created_unix)
        self._id = ("chatcmpl-" if req.chat else "cmpl-") + req.request_id
        self._object = "chat.completion.chunk" if req.chat else "text_completion"
        self._encode = msgspec.json.Encoder().encode

    def encode_piece(self, event_id: str, text: str) -> bytes:
        """Encodes one token as a server-sent event.

        Args:
            event_id: Position after this token, from which a caller can resume.
            text: Text of the token.

        Returns:
            One server-sent event.
        """
        return b"id: %b\ndata: %b\n\n" % (event_id.encode(), self._chunk(text, None))

    def encode_finish(self, reason: str) -> bytes:
        """Encodes the end of an answer that completed.

        Args:
            reason: Finish reason, such as "stop" or "length".

        Returns:
            The last two server-sent events.
        """
        return b"data: %b\n\n" % self._chunk("", reason) + DONE

    def encode_error(self, failure: Failure, delivered: int) -> bytes:
        """Encodes a failure that occurred after the response started.

        Args:
            failure: The failure.
            delivered: Number of tokens that the caller has received.

        Returns:
            One server-sent event; no `[DONE]` follows.
        """
        return b"data: %b\n\n" % encode_failure(failure, delivered)

    def encode_body(self, text: str, reason: str, prompt_tokens: int, tokens: int) -> bytes:
        """Encodes an answer that completed as one JSON body.

        Args:
            text: Text of the answer.
            reason: Finish reason.
            prompt_tokens: Estimated number of prompt tokens.
            tokens: Number of tokens of the answer.

        Returns:
            The JSON body.
        """
        choice: dict[str, Any] = {"index": 0, "finish_reason": reason}
        if self._req.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        usage = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": prompt_tokens + tokens,
        }
        body = {
            "id": self._id,
            "object": "chat.completion" if self._req.chat else "text_completion",
            "created": self._created,
            "model": self._req.model,
            "choices": [choice],
            "usage": usage,
        }
        return self._encode(body)

    def _chunk(self, text: str, reason: str | None) -> bytes:
        """Encodes the data of one event."""
        choices: list[Any]
        if self._req.chat:
            delta = _Delta(content=text) if text else _Delta()
            choices = [_Choice(0, delta, reason)]
        else:
            choices = [_TextChoice(0, text, reason)]
        return self._encode(_Chunk(self._id, self._object, self._created, self._req.model, choices))


def encode_failure(failure: Failure, delivered: int = 0) -> bytes:
    """Encodes a failure as a JSON error.

    Args:
        failure: The failure.
        delivered: Number of tokens that the caller has received.

    Returns:
        JSON with the error kind, the reason and whether the request ran.
    """
    error: dict[str, Any] = {
        "message": failure.reason,
        "type": failure.kind,
        "code": failure.kind,
        "ran": failure.ran,
        "delivered": delivered,
        "retryable": failure.answer.retryable,
    }
    if failure.retry_after is not None:
        error["retry_after"] = round(failure.retry_after, 3)
    return msgspec.json.encode({"error": error})


def build_failure_headers(failure: Failure) -> dict[str, str]:
    """Builds the extra HTTP headers of a failure.

    Args:
        failure: The failure.

    Returns:
        `Retry-After` in whole seconds, rounded up, if the failure has a retry time.
    """
    if failure.retry_after is None:
        return {}
    return {"retry-after": str(max(1, math.ceil(failure.retry_after)))}
