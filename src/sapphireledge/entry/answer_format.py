"""Form of answers and refusals towards callers."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import msgspec

from sapphireledge.errors import Failure

if TYPE_CHECKING:
    from sapphireledge.entry.caller_request import CallerRequest

__all__ = ["AnswerFormat", "encode_failure", "failure_headers"]

DONE = b"data: [DONE]\n\n"
"""Last event of a complete stream."""


class _Delta(msgspec.Struct, omit_defaults=True):
    """Text of one chat chunk."""

    role: str | None = None
    content: str | None = None


class _Choice(msgspec.Struct):
    """The only choice of a chat chunk."""

    index: int
    delta: _Delta
    finish_reason: str | None


class _TextChoice(msgspec.Struct):
    """The only choice of a completion chunk."""

    index: int
    text: str
    finish_reason: str | None


class _Chunk(msgspec.Struct):
    """One server-sent event of a stream."""

    id: str
    object: str
    created: int
    model: str
    choices: list[_Choice] | list[_TextChoice]


class AnswerFormat:
    """Encodes the pieces of one answer in the form that the caller asked for."""

    def __init__(self, req: CallerRequest, created_unix: float) -> None:
        """Prepares the fields that all events share.

        Args:
            req: The request.
            created_unix: Start of the answer in Unix seconds.
        """
        self._req = req
        self._created = int(created_unix)
        self._id = ("chatcmpl-" if req.chat else "cmpl-") + req.request_id
        self._object = "chat.completion.chunk" if req.chat else "text_completion"
        self._encode = msgspec.json.Encoder().encode

    def piece(self, event_id: str, text: str) -> bytes:
        """Encodes one token.

        Args:
            event_id: Position after this token, for a reconnect.
            text: Text of the token.

        Returns:
            One server-sent event.
        """
        return b"id: %b\ndata: %b\n\n" % (event_id.encode(), self._chunk(text, None))

    def finish(self, reason: str) -> bytes:
        """Encodes the end of a complete answer.

        Args:
            reason: Finish reason, such as "stop" or "length".

        Returns:
            The last two server-sent events.
        """
        return b"data: %b\n\n" % self._chunk("", reason) + DONE

    def failure(self, failure: Failure, delivered: int) -> bytes:
        """Encodes a refusal after the answer began.

        Args:
            failure: The reason.
            delivered: Tokens that the caller has received.

        Returns:
            One server-sent event; no `[DONE]` follows.
        """
        return b"data: %b\n\n" % encode_failure(failure, delivered)

    def whole(self, text: str, reason: str, prompt_tokens: int, tokens: int) -> bytes:
        """Encodes a complete answer as one JSON body.

        Args:
            text: The whole text.
            reason: Finish reason.
            prompt_tokens: Estimated prompt tokens.
            tokens: Tokens of the answer.

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
        """Encodes one chunk."""
        choices: list[Any]
        if self._req.chat:
            delta = _Delta(content=text) if text else _Delta()
            choices = [_Choice(0, delta, reason)]
        else:
            choices = [_TextChoice(0, text, reason)]
        return self._encode(_Chunk(self._id, self._object, self._created, self._req.model, choices))


def encode_failure(failure: Failure, delivered: int = 0) -> bytes:
    """Encodes a refusal.

    Args:
        failure: The reason.
        delivered: Tokens that the caller has received.

    Returns:
        JSON with the error kind, the reason and what is known about the run.
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


def failure_headers(failure: Failure) -> dict[str, str]:
    """Headers of a refusal.

    Args:
        failure: The reason.

    Returns:
        `Retry-After` in whole seconds, rounded up, if a time is known.
    """
    if failure.retry_after is None:
        return {}
    return {"retry-after": str(max(1, math.ceil(failure.retry_after)))}
