"""How far one stream has come."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.gateway.outcome import OutcomeKind

if TYPE_CHECKING:
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.engine_selection import EngineSelection
    from sapphireledge.gateway.outcome import Outcome

__all__ = ["StreamProgress"]


class StreamProgress:
    """State of one stream over all engines that it ran on."""

    def __init__(self, last_event: int | None) -> None:
        """Starts a stream.

        Args:
            last_event: Number of the last event that the caller has, or None.
        """
        self.last_event = last_event
        """Number of the last event that was delivered or that the caller already had."""

        self.delivered = 0
        """Events delivered in this answer."""

        self.attempts = 0
        """Attempts so far, those without a connection included."""

        self.contacted: set[str] = set()
        """Engines that the request was sent to."""

        self.failed_engines: set[str] = set()
        """Engines that failed this stream."""

        self.lost_centres: set[str] = set()
        """Data centres in which an engine was lost while it ran this stream."""

        self.may_have_executed = False
        """Whether an engine may have run the request."""

        self.last_reason = "no engine takes work"
        """Cause of the last failure."""

        self._attempt_has_events = False
        self._standby: BackendServer | None = None
        self._copy_holder: BackendServer | None = None

    def on_attempt(self, selection: EngineSelection) -> None:
        """Notes the start of an attempt.

        Args:
            plan: Engines of the attempt.
        """
        self.attempts += 1
        self._standby = selection.standby
        self._attempt_has_events = False

    def on_event(self, number: int | None) -> None:
        """Notes the delivery of one event.

        Args:
            number: Number of the event, or None.
        """
        self._attempt_has_events = True
        self.delivered += 1
        if number is not None:
            self.last_event = number

    def on_sent(self, server: BackendServer) -> None:
        """Notes that the request was sent to an engine.

        Args:
            server: The engine.
        """
        self.contacted.add(server.server_id)

    def on_outcome(self, outcome: Outcome) -> None:
        """Notes an outcome other than a complete answer.

        Args:
            outcome: The outcome.
        """
        self.last_reason = outcome.reason
        self.failed_engines.add(outcome.server.server_id)
        if outcome.kind is OutcomeKind.NOT_EXECUTED:
            return
        self.may_have_executed = True
        if outcome.kind is OutcomeKind.LOST:
            self.lost_centres.add(outcome.server.data_centre)
            # Engines copy memory only after the first token.
            self._copy_holder = self._standby if self._attempt_has_events else None

    def take_copy_holder(self) -> BackendServer | None:
        """Hands out the engine that holds a copy; a copy can be used once.

        Returns:
            The engine, or None.
        """
        copy_holder, self._copy_holder = self._copy_holder, None
        return copy_holder
