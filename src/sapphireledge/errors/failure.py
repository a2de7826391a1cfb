"""Result of a failed operation."""

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
    """Kind of the error, which determines the answer."""

    reason: str
    """One sentence for the reader of the answer; names the field or component at fault."""

    ran: Ran = Ran.NO
    """Whether the request was executed, as far as known."""

    retry_after: float | None = None
    """Seconds until a retry can succeed, None if unknown."""

    @property
    def answer(self) -> ErrorAnswer:
        """Entry of `ERROR_ANSWERS` for this kind."""
        return ERROR_ANSWERS[self.kind]
