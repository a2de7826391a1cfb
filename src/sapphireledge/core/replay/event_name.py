"""Names of recorded events."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["EventName"]


class EventName(StrEnum):
    """Names of the events that replay understands; shells add notes under other names."""

    CREATED = "created"
    """A generation machine was built; the input holds the request and the settings."""

    STARTED = "started"
    """The generation was started."""

    DISPATCHED = "dispatched"
    """A backend server was chosen."""

    TOKEN_RUN = "token_run"
    """Consecutive tokens of one attempt, each of which was delivered."""

    TOKEN = "token"
    """A token that was not simply delivered."""

    FINISHED = "finished"
    """An engine reported the end."""

    BROKEN = "broken"
    """A connection ended early."""

    TICK = "tick"
    """Time passed and something was decided because of it."""

    PROBED = "probed"
    """The result of a probe."""

    NO_BACKEND = "no_backend"
    """The pending dispatch could not be made."""

    CALLER_GONE = "caller_gone"
    """Nobody waits for the answer any more."""

    SUPERSEDED = "superseded"
    """Another entry owns the answer."""

    DROPPED = "dropped"
    """Events were dropped because the memory bound was reached."""
