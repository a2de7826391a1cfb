"""A validated generation request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

__all__ = ["CallerRequest", "ResumePoint"]


@dataclass(frozen=True, slots=True)
class ResumePoint:
    """Position at which a reconnecting caller resumes its answer."""

    offset: int
    """Number of tokens that the caller has received."""

    digest: str
    """Digest from the last event id; empty if the caller sent none."""

    received: str | None = None
    """Text that the caller received and sent back, None if it sent none."""


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A validated generation request."""

    request_id: str
    """Identifier chosen by the caller or generated, unique in the workspace."""

    workspace: str
    """Workspace to which the usage is charged."""

    rank: str
    """Name of the rank."""

    model: str
    """Model name."""

    chat: bool
    """Whether the request uses the chat interface."""

    stream: bool
    """Whether the answer is sent as server-sent events."""

    prompt: str
    """Prompt text, used for token estimates."""

    max_tokens: int
    """Upper limit of the answer in tokens."""

    body: dict[str, Any]
    """Request body as received, without the `sapphireledge` object."""

    fingerprint: str = ""
    """Hash of the content of the body, the same for a retry under another request id."""

    parts: tuple[str, ...] = ()
    """Fingerprints of the parts of the prompt that other requests can share."""

    deadline: float | None = None
    """Seconds after arrival by which the first token is due; None for the target of the rank."""

    resume: ResumePoint | None = None
    """Position to resume from; None if the caller is not reconnecting."""

    trace_headers: tuple[tuple[str, str], ...] = ()
    """Trace context headers of the caller."""

    memory: int = 0
    """Estimated memory of the body in bytes."""

    @property
    def answer_id(self) -> str:
        """Fleet-wide key of the answer; equal request ids of different workspaces do not match.

        The separator cannot occur in a request id and needs no escaping in a URL path.
        """
        return f"{self.workspace}~{self.request_id}"
