"""What may be repeated of a request."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["ReplayRule"]


class ReplayRule(StrEnum):
    """How often the requests of a route may be executed."""

    IDEMPOTENT = "idempotent"
    """Any number of executions."""

    ONCE = "once"
    """At most one execution of each caller attempt."""

    EVENT_STREAM = "event_stream"
    """Answered by a stream of events; at most one execution unless the route is resumable."""
