"""Progress of one attempt at a backend server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge.gateway.crash_guard import CrashGuard

__all__ = ["AttemptProgress"]


class AttemptProgress:
    """How far a backend server came with one attempt."""

    __slots__ = (
        "_crashes",
        "_runs_at_once",
        "_work_id",
        "events",
        "first_event_at",
        "has_head",
        "is_sent",
        "last_event_at",
        "on_first_event",
        "sent_at",
    )

    def __init__(self, crashes: CrashGuard, work_id: str, *, runs_at_once: bool) -> None:
        """Creates the progress of an attempt that has not been sent.

        Args:
            crashes: Attributes crashes to requests by their progress.
            work_id: Identifier of the attempt there.
            runs_at_once: Whether the server begins to run the request when it receives it; engines
                that stream begin when they send the head of the response.
        """
        self._crashes = crashes
        self._runs_at_once = runs_at_once
        self._work_id = work_id
        self.is_sent = False
        """Whether the request was sent."""

        self.has_head = False
        """Whether the head of the response arrived; engines send it when they begin an answer."""

        self.events = 0
        """Number of events that arrived."""

        self.sent_at: float | None = None
        """Event loop time in seconds at which the request was sent."""

        self.first_event_at: float | None = None
        """Event loop time in seconds at which the first event arrived."""

        self.last_event_at: float | None = None
        """Event loop time in seconds at which the latest event arrived."""

        self.on_first_event: Callable[[float], None] = lambda seconds: None
        """Called with the seconds from sending to the first event."""

    @property
    def stage(self) -> str:
        """How far the attempt came, for the log: "unsent", "sent", "head" or "events"."""
        if self.events:
            return "events"
        if self.has_head:
            return "head"
        return "sent" if self.is_sent else "unsent"

    def on_sent(self) -> None:
        """Records that the request was sent."""
        self.is_sent = True
        self.sent_at = asyncio.get_running_loop().time()
        if self._runs_at_once:
            self._crashes.on_begun(self._work_id)

    def on_head(self) -> None:
        """Records that the head of the response arrived."""
        self.has_head = True
        self._crashes.on_begun(self._work_id)

    def on_event(self) -> None:
        """Records that an event arrived."""
        self.events += 1
        self.last_event_at = asyncio.get_running_loop().time()
        if self.first_event_at is None:
            self.first_event_at = self.last_event_at
            if self.sent_at is not None:
                self.on_first_event(self.first_event_at - self.sent_at)
        self._crashes.on_progress(self._work_id)
