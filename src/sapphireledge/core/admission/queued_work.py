"""A request or a resume that waits for a backend server."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["QueuedWork"]


@dataclass(frozen=True, slots=True)
class QueuedWork:
    """Work item, a first attempt or a resume, that needs a slot of a backend server."""

    work_id: str
    """Identifier, unique among the waiting and running work of the scheduler."""

    rank: str
    """Name of the rank."""

    workspace: str
    """Name of the workspace."""

    prompt_tokens: int = 0
    """Estimated prompt tokens that are not cached; charged in full once the work starts."""

    output_tokens: int = 0
    """Estimated tokens still to be generated; corrected to the actual number at the end."""

    weight: float = 1.0
    """Weight of the workspace."""

    deadline: float | None = None
    """Latest useful time of the first token, in seconds; None to derive it from the rank."""

    delivered: int = 0
    """Number of tokens already delivered to the caller; the work is a resume if above 0."""

    @property
    def cost(self) -> int:
        """Estimated cost in tokens, at least 1."""
        return max(1, self.prompt_tokens + self.output_tokens)

    @property
    def is_resume(self) -> bool:
        """Whether the work continues an answer that was already partly delivered."""
        return self.delivered > 0
