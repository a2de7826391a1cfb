"""A checked generation request of a caller."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

__all__ = ["CallerRequest", "ResumePoint"]


@dataclass(frozen=True, slots=True)
class ResumePoint:
    """Where a caller that reconnects wants its answer to go on."""

    offset: int
    """Tokens that the caller has received."""

    digest: str
    """Digest from the last event id; empty if the caller sent none."""

    received: str | None = None
    """Text that the caller handed back, None if it handed back none."""


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A checked generation request of a caller."""

    request_id: str
    """Identifier chosen by the caller or made for it, unique in the workspace."""

    workspace: str
    """Workspace that the work is charged to."""

    rank: str
    """Name of the rank."""

    model: str
    """Model name."""

    chat: bool
    """Whether the request came by the chat interface."""

    stream: bool
    """Whether the answer is sent as server-sent events."""

    prompt: str
    """Prompt text, for cost estimates, prefix hashes and the fingerprint."""

    max_tokens: int
    """Upper limit of the answer in tokens."""

    body: dict[str, Any]
    """Request body as received, without the `sapphireledge` object."""

    fingerprint: str = ""
    """Identity of the content, without the request id."""

    deadline: float | None = None
    """Seconds after arrival at which the first token is due; None for the target of the rank."""

    resume: ResumePoint | None = None
    """Set when the caller reconnects."""

    trace_headers: tuple[tuple[str, str], ...] = ()
    """Trace context headers of the caller."""

    @property
    def answer_id(self) -> str:
        """Key of the answer in the fleet; a request id of another workspace never matches.

        The separator is no character of a request id and needs no escape in a path.
        """
        return f"{self.workspace}~{self.request_id}"
