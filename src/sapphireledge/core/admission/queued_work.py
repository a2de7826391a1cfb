"""A request or a resume that waits for a backend server."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["QueuedWork"]


@dataclass(frozen=True, slots=True)
class QueuedWork:
    """A first try or a resume that waits for a backend server."""

    work_id: str
    """Unique among the waiting and running work of the scheduler."""

    rank: str
    """Name of the rank."""

    workspace: str
    """Name of the workspace."""

    prompt_tokens: int = 0
    """Estimated prompt tokens that no cache holds; charged in full once the work starts."""

    output_tokens: int = 0
    """Estimated tokens still to be generated; replaced by the real number at the end."""

    weight: float = 1.0
    """Weight of the workspace."""

    deadline: float | None = None
    """Latest useful time of the first token, in seconds; None applies the rule of the rank."""

    delivered: int = 0
    """Tokens already delivered to the caller; above 0 the work is a resume."""

    @property
    def cost(self) -> int:
        """Estimated cost in tokens, at least 1."""
        return max(1, self.prompt_tokens + self.output_tokens)

    @property
    def is_resume(self) -> bool:
        """Whether the work continues an answer that the caller already reads."""
        return self.delivered > 0
