"""One attempt that waits for a backend server."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.entry.caller_request import CallerRequest

__all__ = ["PoolWork"]


@dataclass(frozen=True, slots=True)
class PoolWork:
    """One attempt that waits for a backend server."""

    req: CallerRequest
    """The caller's request."""

    attempt: int
    """Number of the attempt, from 1."""

    epoch: int
    """Epoch of the ownership of the answer."""

    offset: int
    """Tokens that exist already."""

    version: str
    """Model version that the answer is bound to; empty for the declared one."""

    prefer: str
    """Backend server to use if it is available; empty for no preference."""

    avoid: tuple[str, ...]
    """Backend servers to use only when no other candidate is left."""

    arrived_at: float
    """Monotonic time at which the request arrived."""

    @property
    def work_id(self) -> str:
        """Name of the work in the queue."""
        return f"{self.req.answer_id}.{self.epoch}.{self.attempt}"
