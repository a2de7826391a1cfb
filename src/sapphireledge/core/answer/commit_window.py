"""Output commit of an answer at its owner."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from sapphireledge.core.answer.append_outcome import NO_ROOM
from sapphireledge.core.answer.change_partner import ChangePartner
from sapphireledge.core.answer.copy_append import CopyAppend
from sapphireledge.core.answer.piece_store import PieceStore
from sapphireledge.core.answer.release import Release
from sapphireledge.core.answer.stop_delivery import StopDelivery

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sapphireledge.core.answer.append_outcome import AppendOutcome
    from sapphireledge.core.answer.commit_decision import CommitDecision

__all__ = ["CommitWindow"]

MAX_APPEND_TOKENS = 4_096
"""Maximum number of tokens in one append, which keeps a full resend within the message limit."""

MAX_EVENT_CHARACTERS = 262_144
"""Limit of queued events; beyond it the oldest are dropped, which their sequence numbers show."""


class CommitWindow:
    """Holds back the tokens of an answer until the partner has stored them.

    Without a partner, or if the partner does not respond in time, tokens are released unprotected,
    that is without a copy, until a partner has caught up. Once a partner reports a higher epoch,
    nothing more is released. At most one append is in flight.
    """

    def __init__(
        self,
        request_id: str,
        epoch: int,
        header: str,
        timeout: float,
        *,
        pieces: Sequence[str] = (),
        partner: str = "",
        stored: int = 0,
    ) -> None:
        """Creates the window.

        Args:
            request_id: Request id.
            epoch: Epoch of the ownership.
            header: Request as JSON, stored by the partner.
            timeout: Seconds that a token waits for the partner before it is released unprotected.
            pieces: Token texts of a prefix that was taken over; they count as released.
            partner: Instance that stores the copy; empty if there is none.
            stored: Tokens that the partner has already stored under this epoch; greater than 0
                only if the partner granted the takeover.
        """
        self._request_id = request_id
        self._epoch = epoch
        self._header = header
        self._timeout = timeout
        self._pieces = PieceStore(pieces)
        self._released = len(self._pieces)
        self._finish = ""
        self._finish_released = False
        self._stopped = False
        self._unprotected = not partner
        self._pause_detected = False
        # Token count and time of each push, or of the end, that is still held back.
        self._wait_starts: deque[tuple[int, float]] = deque()
        self._partner = ""
        self._events: list[str] = []
        self._event_characters = 0
        self._set_partner(partner, stored)

    @property
    def partner(self) -> str:
        """Instance that stores the copy; empty if there is none."""
        return self._partner

    @property
    def stopped(self) -> bool:
        """Whether another entry owns the answer."""
        return self._stopped

    @property
    def released(self) -> int:
        """Token offset up to which the answer may be sent to the caller."""
        return self._released

    @property
    def stored(self) -> int:
        """Token offset up to which the partner has stored the answer."""
        return self._stored

    @property
    def unprotected(self) -> bool:
        """Whether tokens are released without a copy."""
        return self._unprotected

    @property
    def finish(self) -> str:
        """Encoded `AnswerEnd` once the end has been released, otherwise empty."""
        return self._finish if self._finish_released else ""

    @property
    def done(self) -> bool:
        """Whether delivery was stopped, or the end was released and any partner has stored it."""
        return self._stopped or (
            self._finish_released and (self._finish_stored or not self._partner)
        )

    @property
    def deadline(self) -> float | None:
        """Monotonic time at which `on_tick` is due, or None."""
        if not self._wait_starts or self._stopped:
            return None
        return self._wait_starts[0][1] + self._timeout

    def pieces(self, offset: int) -> tuple[str, ...]:
        """Reads released tokens, for another connection of the caller.

        Args:
            offset: Token offset of the first piece.

        Returns:
            Text of each released token from the offset on.
        """
        return self._pieces.slice(offset, max(offset, self._released))

    def push(self, now: float, offset: int, text: str) -> list[CommitDecision]:
        """Adds a token delivered by the generation machine.

        Args:
            now: Monotonic time in seconds.
            offset: Token offset.
            text: Text of the token.

        Returns:
            A release if tokens are not held back.

        Raises:
            ValueError: If the offset is not the next one or the answer has ended.
        """
        if offset != len(self._pieces) or self._finish:
            raise ValueError(f"token {offset} does not follow token {len(self._pieces) - 1}")
        self._pieces.append(text)
        return self._wait_or_release(now)

    def end(self, now: float, finish: str) -> list[CommitDecision]:
        """Adds the end of the answer.

        Args:
            now: Monotonic time in seconds.
            finish: Encoded `AnswerEnd`, not empty.

        Returns:
            A release if tokens are not held back.
        """
        if self._finish:
            return []
        self._finish = finish
        return self._wait_or_release(now)

    def add_events(self, lines: str) -> None:
        """Queues recorded events to be sent with the next append.

        Args:
            lines: Events as JSON lines.
        """
        if not lines or not self._partner or self._stopped:
            return
        self._events.append(lines)
        self._event_characters += len(lines)
        while self._event_characters > MAX_EVENT_CHARACTERS:
            self._event_characters -= len(self._events.pop(0))
            self._sent_event_count = max(0, self._sent_event_count - 1)

    def next_append(self) -> CopyAppend | None:
        """Builds the next append and marks it as in flight.

        Returns:
            The append, or None if there is nothing to send or one is already in flight.
        """
        if self._stopped or not self._partner or self._in_flight is not None:
            return None
        end = min(len(self._pieces), self._stored + MAX_APPEND_TOKENS)
        reaches_end = end == len(self._pieces)
        finish = self._finish if reaches_end and not self._finish_stored else ""
        header = "" if self._header_stored else self._header
        if end == self._stored and not (finish or header or self._events):
            return None
        self._in_flight = CopyAppend(
            request_id=self._request_id,
            epoch=self._epoch,
            offset=self._stored,
            pieces=self._pieces.slice(self._stored, end),
            header=header,
            finish=finish,
            events="".join(self._events),
        )
        self._sent_event_count = len(self._events)
        self._in_flight_reaches_end = reaches_end
        return self._in_flight

    def on_result(
        self, now: float, append: CopyAppend, outcome: AppendOutcome
    ) -> list[CommitDecision]:
        """Handles the response to an append.

        Args:
            now: Monotonic time in seconds.
            append: The append, as `next_append` returned it.
            outcome: Response of the partner.

        Returns:
            The release, the change of partner or the stop of delivery that follows.
        """
        if append is not self._in_flight:
            # A late response does not show what the holder stores now, but a newer epoch remains
            # valid.
            is_newer = outcome.epoch > self._epoch and not self._stopped
            return self._stop(outcome.epoch) if is_newer else []
        self._in_flight = None
        if outcome.epoch > self._epoch:
            return self._stop(outcome.epoch)
        if outcome.stored == NO_ROOM:
            return self._stop_waiting("the partner has no memory left for the copy")
        self._header_stored = not outcome.header_missing
        self._stored = min(outcome.stored, len(self._pieces))
        end = append.offset + len(append.pieces)
        self._finish_stored = self._finish_stored or bool(append.finish)
        if self._stored < end or outcome.header_missing:
            # The holder lost its copy, for example in a restart; the next append resends it.
            self._finish_stored = False
        else:
            self._discard_sent_events()
            if self._in_flight_reaches_end:
                self._unprotected = False
        return self._release(self._stored, self._finish_stored, protected=True)

    def on_failed(self, now: float, append: CopyAppend, reason: str) -> list[CommitDecision]:
        """Handles an append that could not be sent or got no response.

        Args:
            now: Monotonic time in seconds.
            append: The append, as `next_append` returned it.
            reason: Cause of the failure.

        Returns:
            The unprotected release, if any, and the change of partner.
        """
        if append is not self._in_flight:
            return []
        return self._stop_waiting(reason)

    def change_partner(self, now: float, partner: str) -> list[CommitDecision]:
        """Replaces the partner; the new one receives the answer from the start.

        Args:
            now: Monotonic time in seconds.
            partner: The new partner; empty if there is none.

        Returns:
            The unprotected release, if any.
        """
        if partner == self._partner or self._stopped:
            return []
        self._set_partner(partner, 0)
        if not partner:
            self._unprotected = True
        return self._release_unprotected() if self._unprotected else []

    def on_tick(self, now: float) -> list[CommitDecision]:
        """Checks for a partner that does not respond; due at `deadline`.

        Args:
            now: Monotonic time in seconds.

        Returns:
            The unprotected release, if any, and the change of partner.
        """
        deadline = self.deadline
        if deadline is None or now < deadline:
            return []
        if now >= deadline + self._timeout and not self._pause_detected:
            # The tick is late, so this process was paused and may have lost the ownership. The
            # partner gets the full timeout again to report a newer epoch.
            self._pause_detected = True
            self._wait_starts = deque([(len(self._pieces), now)])
            return []
        return self._stop_waiting(f"the partner did not respond within {self._timeout} s")

    def _set_partner(self, partner: str, stored: int) -> None:
        self._partner = partner
        self._stored = stored
        self._header_stored = stored > 0
        self._finish_stored = False
        self._in_flight: CopyAppend | None = None
        self._in_flight_reaches_end = False
        self._sent_event_count = 0

    def _stop(self, epoch: int) -> list[CommitDecision]:
        self._stopped = True
        self._in_flight = None
        self._wait_starts.clear()
        return [StopDelivery(epoch)]

    def _stop_waiting(self, reason: str) -> list[CommitDecision]:
        """Stops holding tokens back; the partner is kept until another one is chosen."""
        self._unprotected = True
        self._in_flight = None
        return [*self._release_unprotected(), ChangePartner(reason)]

    def _discard_sent_events(self) -> None:
        if not self._sent_event_count:
            return
        sent = self._events[: self._sent_event_count]
        del self._events[: self._sent_event_count]
        self._event_characters -= sum(map(len, sent))

    def _wait_or_release(self, now: float) -> list[CommitDecision]:
        if self._stopped:
            return []
        if self._unprotected:
            return self._release_unprotected()
        if not self._wait_starts or self._wait_starts[-1][1] != now:
            self._wait_starts.append((len(self._pieces), now))
        else:
            self._wait_starts[-1] = (len(self._pieces), now)
        return []

    def _release_unprotected(self) -> list[CommitDecision]:
        return self._release(len(self._pieces), True, protected=False)

    def _release(self, end: int, with_finish: bool, protected: bool) -> list[CommitDecision]:
        finish = ""
        if with_finish and end == len(self._pieces) and not self._finish_released:
            finish = self._finish
        start = self._released
        if end <= start and not finish:
            return []
        self._released = max(start, end)
        self._finish_released = self._finish_released or bool(finish)
        self._pause_detected = False
        self._discard_wait_starts()
        return [Release(start, self._pieces.slice(start, self._released), protected, finish)]

    def _discard_wait_starts(self) -> None:
        is_end_pending = bool(self._finish) and not self._finish_released
        while self._wait_starts and self._wait_starts[0][0] <= self._released:
            if is_end_pending and len(self._wait_starts) == 1:
                break
            self._wait_starts.popleft()
