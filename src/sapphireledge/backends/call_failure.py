"""Failure of a call to a backend server."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.backends.call_failure_cause import CallFailureCause
    from sapphireledge.core.backpressure import ServerSignals
    from sapphireledge.errors import Ran

__all__ = ["CallFailure"]


@dataclass(frozen=True, slots=True)
class CallFailure:
    """Failure of a call to a backend server, returned instead of raising an exception."""

    cause: CallFailureCause
    """Why the call did not complete."""

    ran: Ran
    """Whether the call was executed.

    NO if nothing was sent or the server reports that it did not execute the call, YES if output was
    received, otherwise UNKNOWN.
    """

    detail: str = ""
    """Short description for logs, without any text of the caller."""

    retry_after: float | None = None
    """Seconds to wait before a retry, as requested by the server."""

    signals: ServerSignals | None = None
    """What the server asks of its callers, None without a response."""
