"""Sentinel result that carries the reason of a failure."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sapphireledge.errors.error_answers import ERROR_ANSWERS
from sapphireledge.errors.ran import Ran

if TYPE_CHECKING:
    from sapphireledge.errors.error_answer import ErrorAnswer
    from sapphireledge.errors.error_kind import ErrorKind

__all__ = ["Failure"]


@dataclass(frozen=True, slots=True)
class Failure:
    """Returned in place of a result when an operation fails."""

    kind: ErrorKind
    """Kind from the closed list."""

    reason: str
    """One sentence for the person who reads the answer; names the field or the part."""

    ran: Ran = Ran.NO
    """What is known about the execution of the request."""

    retry_after: float | None = None
    """Seconds until another try can succeed, or None when unknown."""

    @property
    def answer(self) -> ErrorAnswer:
        """The row of the answer table for this kind."""
        return ERROR_ANSWERS[self.kind]
