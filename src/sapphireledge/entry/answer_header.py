"""Request data that another instance needs to continue an answer."""

from __future__ import annotations

from typing import Any

import msgspec

from sapphireledge.core.quarantine import fingerprint_parts, fingerprint_request
from sapphireledge.entry.caller_request import CallerRequest

__all__ = ["AnswerHeader"]


class AnswerHeader(msgspec.Struct, frozen=True):
    """Request and model version of an answer, stored with its copies."""

    request_id: str
    """Identifier chosen by the caller or generated."""

    workspace: str
    """Workspace to which the usage is charged."""

    rank: str
    """Name of the rank."""

    model: str
    """Model name."""

    version: str
    """Model version of the answer."""

    chat: bool
    """Whether the request uses the chat interface."""

    max_tokens: int
    """Upper limit of the answer in tokens."""

    prompt: str
    """Prompt text."""

    body: dict[str, Any]
    """Request body."""

    @classmethod
    def from_request(cls, req: CallerRequest, version: str) -> AnswerHeader:
        """Creates the header of an answer.

        Args:
            req: The caller's request.
            version: Model version of the answer.

        Returns:
            The header.
        """
        return cls(
            request_id=req.request_id,
            workspace=req.workspace,
            rank=req.rank,
            model=req.model,
            version=version,
            chat=req.chat,
            max_tokens=req.max_tokens,
            prompt=req.prompt,
            body=req.body,
        )

    @classmethod
    def decode(cls, text: str) -> AnswerHeader:
        """Decodes a header.

        Args:
            text: JSON from `encode`.

        Returns:
            The header.

        Raises:
            msgspec.DecodeError: If the text is not a valid header.
        """
        return msgspec.json.decode(text, type=cls)

    def encode(self) -> str:
        """Encodes the header.

        Returns:
            JSON.
        """
        return msgspec.json.encode(self).decode()

    def to_request(self, current: CallerRequest) -> CallerRequest:
        """Reconstructs the original request for a caller that reconnected.

        Args:
            current: Request of the reconnecting caller; determines only whether the answer is
                streamed, the resume position, the trace context and the estimated memory.

        Returns:
            The original request with these fields of the current one.
        """
        return CallerRequest(
            request_id=self.request_id,
            workspace=self.workspace,
            rank=self.rank,
            model=self.model,
            chat=self.chat,
            stream=current.stream,
            prompt=self.prompt,
            max_tokens=self.max_tokens,
            body=self.body,
            fingerprint=fingerprint_request(self.body),
            parts=fingerprint_parts(self.body),
            resume=current.resume,
            trace_headers=current.trace_headers,
            memory=current.memory,
        )
