"""Why the connection of an attempt ended early."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["BreakCause"]


class BreakCause(StrEnum):
    """Why the connection of an attempt ended early."""

    REFUSED = "refused"
    """The connection was refused before a byte was sent."""

    REJECTED = "rejected"
    """The engine answered that it does not start the attempt."""

    LEAVING = "leaving"
    """The engine answered that it is leaving and does not start the attempt."""

    CLOSED = "closed"
    """The connection was reset or closed before the end of the answer."""

    TIMEOUT = "timeout"
    """The engine did not answer the request in time."""

    PROTOCOL = "protocol"
    """The engine sent something that the protocol does not allow."""

    VERSION_MISMATCH = "version_mismatch"
    """The engine runs another model version than the answer."""

    @property
    def proves_not_run(self) -> bool:
        """Whether an attempt that ended so before its first token generated nothing."""
        return self in (BreakCause.REFUSED, BreakCause.REJECTED, BreakCause.LEAVING)
