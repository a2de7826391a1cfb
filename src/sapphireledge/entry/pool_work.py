"""An attempt that needs a backend server."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.entry.caller_request import CallerRequest

__all__ = ["PoolWork"]


@dataclass(frozen=True, slots=True)
class PoolWork:
    """An attempt that needs a backend server."""

    req: CallerRequest
    """The caller's request."""

    attempt: int
    """Number of the attempt, starting at 1."""

    epoch: int
    """Ownership epoch of the answer."""

    offset: int
    """Number of tokens that already exist."""

    version: str
    """Model version to which the answer is bound; empty for the current serving version."""

    prefer: str
    """Preferred backend server; empty for no preference."""

    avoid: tuple[str, ...]
    """Backend servers to use only if there is no other candidate."""

    arrived_at: float
    """Monotonic time at which the request arrived."""

    software: str | None = None
    """Software version that generated the existing tokens; None if it is not known."""

    @property
    def work_id(self) -> str:
        """Identifier of the attempt in the queue."""
        return f"{self.req.answer_id}.{self.epoch}.{self.attempt}"
