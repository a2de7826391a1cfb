"""Progress of a stream across attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.gateway.outcome import OutcomeKind
from sapphireledge.gateway.replica import Replica

if TYPE_CHECKING:
    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.engine_selection import EngineSelection
    from sapphireledge.gateway.outcome import Outcome

__all__ = ["StreamProgress"]

MIN_ATTEMPT_TIME = 0.2
"""Seconds that must remain before the deadline to start an attempt; no engine processes a prompt
sooner."""


class StreamProgress:
    """Progress of one stream across all engines that it ran on."""

    version: str | None = None
    """Software version that began the stream, None while no event was delivered."""

    def __init__(self, last_event: int | None) -> None:
        """Creates the state of a stream that has not been sent to an engine.

        Args:
            last_event: Number of the last event that the caller already received, or None.
        """
        self.last_event = last_event
        """Number of the last event that was delivered now or received by the caller earlier."""

        self.delivered = 0
        """Number of events delivered in this response."""

        self.attempts = 0
        """Number of attempts so far, including those that could not connect."""

        self.contacted: set[str] = set()
        """Ids of the engines to which the request was sent."""

        self.failed_engines: set[str] = set()
        """Ids of the engines that did not complete this stream."""

        self.lost_centres: set[str] = set()
        """Data centres in which an engine was lost during this stream."""

        self.could_not_connect = False
        """Whether the last attempt ended before the request was sent."""

        self.may_have_executed = False
        """Whether an engine may have executed the request."""

        self.was_broken_off = False
        """Whether the engine of the last attempt is lost. Otherwise this instance gave the attempt
        up, or the engine rejected or failed it."""

        self.last_reason = "no engine is available"
        """Reason of the last failed attempt."""

        self.first_event_at: float | None = None
        """Event loop time in seconds at which the first event was delivered."""

        self.longest_pause = 0.0
        """Longest time between two delivered events in seconds."""

        self.last_event_at: float | None = None
        """Event loop time in seconds at which the last event was delivered."""

        self._attempt_has_events = False
        self._standby: Replica | None = None
        self._replica: Replica | None = None

    def permits_attempt(self, admitted: AdmittedRequest, now: float) -> bool:
        """Whether the route and the deadline permit another attempt.

        Args:
            admitted: The request.
            now: Event loop time in seconds.

        Returns:
            Whether the request may be sent to one more engine.
        """
        return self.attempts_left(admitted) > 0 and admitted.deadline - now >= MIN_ATTEMPT_TIME

    def attempts_left(self, admitted: AdmittedRequest) -> int:
        """Computes to how many further engines the route permits to send the request.

        Args:
            admitted: The request.

        Returns:
            Their number.
        """
        return admitted.route.max_attempts - len(self.contacted)

    def on_attempt(self, selection: EngineSelection) -> None:
        """Records the start of an attempt.

        Args:
            selection: Engines of the attempt.
        """
        self.attempts += 1
        self.could_not_connect = True
        self._standby = None if selection.standby is None else Replica(selection.standby)
        self._attempt_has_events = False

    def on_event(self, now: float, number: int | None) -> None:
        """Records the delivery of an event.

        Args:
            now: Event loop time in seconds.
            number: Number of the event, or None.
        """
        if self.last_event_at is None:
            self.first_event_at = now
        else:
            self.longest_pause = max(self.longest_pause, now - self.last_event_at)
        self.last_event_at = now
        self._attempt_has_events = True
        self.delivered += 1
        if number is not None:
            self.last_event = number

    def on_copied(self, replica: Replica | None) -> None:
        """Records a copy that was made on request during the attempt.

        Args:
            replica: The copy, which replaces the earlier one; None if it is given up.
        """
        self._standby = replica

    def on_sent(self, server: BackendServer) -> None:
        """Records that the request is sent to an engine.

        Args:
            server: The engine.
        """
        self.contacted.add(server.server_id)
        self.could_not_connect = False

    def on_outcome(self, outcome: Outcome) -> None:
        """Records the outcome of a failed attempt.

        Args:
            outcome: Outcome other than ANSWERED.
        """
        self.last_reason = outcome.reason
        if outcome.is_withheld:
            return
        if outcome.kind is not OutcomeKind.NOT_EXECUTED or outcome.head is not None:
            # An engine that could not be reached has not broken the stream off.
            self.was_broken_off = not outcome.is_given_up and outcome.head is None
        self.failed_engines.add(outcome.server.server_id)
        if outcome.kind is OutcomeKind.NOT_EXECUTED:
            return
        self.may_have_executed = True
        if outcome.kind is OutcomeKind.LOST:
            self.lost_centres.add(outcome.server.data_centre)
            # Engines replicate their KV cache only after the first token.
            self._replica = self._standby if self._attempt_has_events else None

    def take_replica(self) -> Replica | None:
        """Returns the replica of the lost attempt and clears it, as a replica can be used once.

        Returns:
            The replica, or None if there is none.
        """
        replica, self._replica = self._replica, None
        return replica
