"""What would happen to a request now."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["ExplainedOutcome"]


class ExplainedOutcome(StrEnum):
    """What would happen to a request now."""

    SENT = "sent"
    """It would be sent to a backend server at once."""

    WAITS = "waits"
    """It would wait at the instance."""

    REFUSED = "refused"
    """It would be refused."""
