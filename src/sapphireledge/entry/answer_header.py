"""What another instance needs to go on with an answer."""

from __future__ import annotations

from typing import Any

import msgspec

from sapphireledge.core.quarantine import fingerprint_request
from sapphireledge.entry.caller_request import CallerRequest

__all__ = ["AnswerHeader"]


class AnswerHeader(msgspec.Struct, frozen=True):
    """The request of an answer and its model version, as they are stored with the copy."""

    request_id: str
    """Identifier chosen by the caller or made for it."""

    workspace: str
    """Workspace that the work is charged to."""

    rank: str
    """Name of the rank."""

    model: str
    """Model name."""

    version: str
    """Model version of the answer."""

    chat: bool
    """Whether the request came by the chat interface."""

    max_tokens: int
    """Upper limit of the answer in tokens."""

    prompt: str
    """Prompt text."""

    body: dict[str, Any]
    """Request body."""

    @classmethod
    def from_request(cls, req: CallerRequest, version: str) -> AnswerHeader:
        """Builds the header of an answer.

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
        """Reads a header.

        Args:
            text: JSON made by `encode`.

        Returns:
            The header.

        Raises:
            msgspec.DecodeError: If the text is not a header.
        """
        return msgspec.json.decode(text, type=cls)

    def encode(self) -> str:
        """Formats the header.

        Returns:
            JSON.
        """
        return msgspec.json.encode(self).decode()

    def to_request(self, current: CallerRequest) -> CallerRequest:
        """Builds the request that goes on, for a caller that reconnected.

        Args:
            current: Request of the reconnect; decides about form and position only.

        Returns:
            The original request.
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
            resume=current.resume,
            trace_headers=current.trace_headers,
        )
