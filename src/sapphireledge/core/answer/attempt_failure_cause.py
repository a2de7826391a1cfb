"""Why an attempt ended before the answer was complete."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["AttemptFailureCause"]


class AttemptFailureCause(StrEnum):
    """Why an attempt ended before the answer was complete."""

    REFUSED = "refused"
    """The connection was refused before a byte was sent."""

    REJECTED = "rejected"
    """The engine responded that it did not start the attempt."""

    LEAVING = "leaving"
    """The engine responded that it is leaving and did not start the attempt."""

    CLOSED = "closed"
    """The connection was reset or closed before the end of the answer."""

    TIMEOUT = "timeout"
    """The engine did not respond in time."""

    PROTOCOL = "protocol"
    """The engine violated the protocol."""

    VERSION_MISMATCH = "version_mismatch"
    """The engine runs a different version of the model or of its software from the answer's."""

    @property
    def proves_not_run(self) -> bool:
        """Whether an attempt that ended this way before its first token cannot have run."""
        return self in (
            AttemptFailureCause.REFUSED,
            AttemptFailureCause.REJECTED,
            AttemptFailureCause.LEAVING,
        )
