"""Rules for executing a request more than once."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["ReplayRule"]


class ReplayRule(StrEnum):
    """How often the requests of a route may be executed."""

    IDEMPOTENT = "idempotent"
    """A request may be executed any number of times."""

    ONCE = "once"
    """Each attempt of a caller may be executed at most once."""

    EVENT_STREAM = "event_stream"
    """The response is an event stream; executed at most once unless the route is resumable."""
