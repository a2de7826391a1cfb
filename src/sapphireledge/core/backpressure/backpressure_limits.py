"""Limits of how requests to a server are held back."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["BackpressureLimits"]


@dataclass(frozen=True, slots=True)
class BackpressureLimits:
    """Limits of how requests to a server are held back."""

    burst_time: float = 1.0
    """Seconds for which an unused slot of a paced server can still be used. All instances together
    can exceed the rate of the server by the requests of this time."""

    sparse_rate: float = 0.5
    """Requests per second below which an unused slot can still be used when the instance next hears
    from the server, however long that takes. The slots of one instance are so rare then that most
    would expire unused. Until demand that grows is noticed, the rate is exceeded as much as demand
    has grown; below this rate, that is a few requests."""

    sparse_interval: float = 60.0
    """Seconds between two slots of one instance above which an unused slot can still be used when
    the instance next hears from the server, for a part of the usual time between two contacts. The
    rate may be higher than all callers need, and yet the slots of one instance would expire."""

    max_pause: float = 300.0
    """Longest pause in seconds that a server can ask for, so that a wrong number does not take it
    out of use for good."""

    rejection_share: float = 0.5
    """Share of the rejections that a server bears which the instances cause at most. They do not
    coordinate, and a request that is under way when the first one is rejected may be the next."""

    min_rejection_limit: float = 0.1
    """Smallest limit of rejections per second that is respected, so that a server which names 0 is
    still tried."""

    max_rejection_pause: float = 30.0
    """Longest pause in seconds after a rejection by such a server."""

    min_rate: float = 0.1
    """Requests per second that a server gets from all instances in any case. Only a response shows
    that its limit has ended."""
