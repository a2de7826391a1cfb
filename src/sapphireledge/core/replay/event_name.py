"""Names of recorded events."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["EventName"]


class EventName(StrEnum):
    """Names of the events known to replay; the I/O layer adds notes under other names."""

    CREATED = "created"
    """A generation machine was created; the input contains the request and the settings."""

    STARTED = "started"
    """The generation was started."""

    DISPATCHED = "dispatched"
    """A backend server was chosen."""

    ACCEPTED = "accepted"
    """An engine that names its software version accepted an attempt."""

    TOKEN_RUN = "token_run"
    """Consecutive tokens of one attempt that were all delivered."""

    TOKEN = "token"
    """A token that led to anything but its delivery alone."""

    FINISHED = "finished"
    """An engine reported the end of the answer."""

    BROKEN = "broken"
    """An attempt failed before the answer was complete."""

    TICK = "tick"
    """A timeout expired and led to a decision."""

    PROBED = "probed"
    """The result of a probe arrived."""

    NO_BACKEND = "no_backend"
    """No backend server could be chosen for the pending dispatch."""

    CALLER_GONE = "caller_gone"
    """The last caller that was reading the answer disconnected."""

    SUPERSEDED = "superseded"
    """Another entry took over the answer."""

    DROPPED = "dropped"
    """Events were dropped because the memory limit was reached."""
