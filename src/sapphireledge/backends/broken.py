"""Failed call to a backend server."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.backends.break_cause import BreakCause
    from sapphireledge.errors import Ran

__all__ = ["Broken"]


@dataclass(frozen=True, slots=True)
class Broken:
    """A call to a backend server that did not complete; takes the place of an exception."""

    cause: BreakCause
    """Why it did not complete."""

    ran: Ran
    """NO if nothing was sent or the server says that nothing was generated, YES if output came."""

    detail: str = ""
    """One sentence for logs; contains no text of the caller."""

    retry_after: float | None = None
    """Seconds until another try can succeed, as told by the server."""
