"""Decides whether the engine of a silent stream is lost.

Load pattern: while an engine processes the prompts of other requests, all its streams pause for up
to a second or two. Cutting them makes other engines process the same prompts again, which pauses
their streams in turn. An engine that runs out of memory preempts a stream for as long as others
take to end, and does not list it meanwhile. An engine that is lost without a reset sends no report
either.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.core.liveness.run_sighting import RunSighting
    from sapphireledge.core.liveness.silence_limits import SilenceLimits

__all__ = ["StreamWatch"]


class StreamWatch:
    """Tracks the progress of one run in complete events.

    Bytes that complete no event are not progress, so an engine that sends a byte now and then is
    treated like a silent one.
    """

    __slots__ = (
        "_checked_at",
        "_events",
        "_events_before",
        "_limits",
        "_progress_at",
        "_suspected_at",
    )

    def __init__(self, limits: SilenceLimits, now: float, events_before: int = 0) -> None:
        """Starts watching a run.

        Args:
            limits: Limits on the silence.
            now: Time in seconds at which the request was sent.
            events_before: Events of the stream before this run; engines count them as generated.
        """
        self._limits = limits
        self._events_before = events_before
        self._progress_at = now
        self._checked_at = now
        self._suspected_at: float | None = None
        self._events = 0

    @property
    def has_events(self) -> bool:
        """Whether a complete event has arrived."""
        return self._events > 0

    @property
    def report_timeout(self) -> float:
        """Seconds to wait for a report."""
        limits = self._limits
        return limits.report_timeout if self._events else limits.first_event_report_timeout

    def on_event(self, now: float) -> None:
        """Records the arrival of a complete event.

        Args:
            now: Time in seconds.
        """
        self._events += 1
        self._progress_at = now
        self._checked_at = now
        self._suspected_at = None

    def check_delay(self, now: float) -> float:
        """Computes how long the silence may last before the next report is needed.

        Args:
            now: Time in seconds.

        Returns:
            Seconds until the check, 0 if it is due.
        """
        limits = self._limits
        if self._suspected_at is not None:
            interval = limits.repeat_check
        elif not self._events:
            interval = limits.first_event_check
        elif self._checked_at == self._progress_at:
            interval = limits.event_check
        else:
            interval = limits.repeat_check
        return max(0.0, self._checked_at + interval - now)

    def find_loss(self, now: float, sighting: RunSighting | None, *, can_move: bool = True) -> str:
        """Decides from a report whether the run is lost.

        A stream that can move is resumed early, because a caller waits. One that cannot is given up
        only if reports show for some time that the run is lost, and never while its engine lists it
        and all that it has generated has arrived, or may have preempted it: such a run is not
        listed until it goes on.

        Args:
            now: Time in seconds.
            sighting: What the engine reports about the run, None without a report in time.
            can_move: Whether the stream can be resumed at another engine.

        Returns:
            Why the run is lost, empty if it is to be waited for.
        """
        self._checked_at = now
        if sighting is not None and sighting.restarted:
            return "the engine has restarted"
        if can_move:
            self._suspected_at = None
            return self._find_suspicion(sighting, self._limits.max_undelivered) or (
                self._find_long_silence(now)
            )
        may_go_on = sighting is not None and sighting.looks_preempted
        suspicion = "" if may_go_on else self._find_suspicion(sighting, 0)
        if not suspicion:
            self._suspected_at = None
            return ""
        if self._suspected_at is None:
            self._suspected_at = now
        limits = self._limits
        is_silent = sighting is None and self._events > 0
        confirm_time = limits.unreported_time if is_silent else limits.confirm_time
        return suspicion if now - self._suspected_at >= confirm_time else ""

    def find_cut(self, sighting: RunSighting | None) -> str:
        """Decides from a report whether the run was cut off when its connection ended.

        The report of an engine that still runs may be from before the end of the run, and then
        lists no more events than have arrived.

        Args:
            sighting: What the engine reports about the run, None without a report.

        Returns:
            Why the run was cut off, empty if it had ended.
        """
        if sighting is None:
            return "the stream ended with its connection, and the engine sent no report"
        if sighting.restarted:
            return "the stream ended with its connection, and the engine has restarted"
        if sighting.generated is None:
            return ""
        return self._find_suspicion(sighting, 0)

    def _find_suspicion(self, sighting: RunSighting | None, max_undelivered: int) -> str:
        """Finds a sign in a report that the run is lost or its connection no longer delivers."""
        if sighting is None:
            return "the engine sent neither data nor a report"
        generated = sighting.generated
        if generated is None:
            return "the engine no longer lists the run" if self._events else ""
        arrived = self._events_before + self._events
        if generated > arrived + max_undelivered:
            return f"the engine has generated {generated} events, {arrived} arrived"
        return ""

    def _find_long_silence(self, now: float) -> str:
        """Finds a silence after which it is better for the caller to resume the stream."""
        silence = now - self._progress_at
        if self._events and silence >= self._limits.max_silence:
            return f"no event for {silence:.2f} s"
        return ""
