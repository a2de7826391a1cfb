"""The waiting line of the streams of one service at this instance."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.core.placement import RefusalReason, RefuseStream, WaitForEngine
from sapphireledge.gateway.engine_selection import EngineSelection
from sapphireledge.gateway.line_visit import LineVisit
from sapphireledge.gateway.wait_for_event import wait_for_event

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sapphireledge.core.waiting import WaitingLine, WaitingWork
    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.engine_look import EngineLook
    from sapphireledge.gateway.request_telemetry import RequestTelemetry

__all__ = ["StreamLine", "refuse_hopeless"]

MIN_ROUND_INTERVAL = 0.1
"""Shortest time in seconds between two looks at the engines; a report is no fresher than that."""

FIRST_ROUND_DELAY = 0.3
"""Time in seconds from the first stream of an empty line to the next look, the age of a report."""

LONGEST_ROUND_INTERVAL = 0.6
"""Longest time in seconds between two looks at the engines, if no event wakes the line."""


class StreamLine:
    """Offers engines in turn to the streams of one service that wait at this instance.

    The order is that of `WaitingLine`. One look at the engines serves all waiting streams. The line
    is woken when an engine of this instance sends the first event of a stream, when an engine is
    added, and in any case after a short time, because other instances use the same engines.
    """

    def __init__(
        self,
        line: WaitingLine,
        telemetry: RequestTelemetry,
        take_look: Callable[[int, frozenset[str], frozenset[str]], Awaitable[EngineLook]],
        start_share: Callable[[], float],
    ) -> None:
        """Creates an empty line.

        Args:
            line: Order of the streams.
            telemetry: Logging and metrics.
            take_look: Fetches the reports of a few engines; receives the number of earlier looks of
                this line, the ids of engines at which a place became free, and the versions at
                which streams have to go on.
            start_share: Returns which share of waiting streams may start on an idle engine.
        """
        self.order = line
        """Order of the streams."""

        self._telemetry = telemetry
        self._take_look = take_look
        self._start_share = start_share
        self._visits: dict[int, LineVisit] = {}
        self._rounds = 0
        self._freed: set[str] = set()
        self._woken = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    async def wait(
        self,
        admitted: AdmittedRequest,
        describe: Callable[[], WaitingWork],
        offer: Callable[
            [EngineLook, bool, int], EngineSelection | RefuseStream | WaitForEngine | None
        ],
        look: EngineLook | None = None,
        origin: str | None = None,
    ) -> EngineSelection | RefuseStream | None:
        """Waits until an engine runs the stream, or the stream is refused.

        Args:
            admitted: The request.
            describe: Describes the stream as it waits at the time of the call.
            offer: Offers engines to the stream, see `LineVisit.offer`.
            look: Reports that were fetched for the stream; the first in line is offered them.
            origin: Version that began the stream, None if there is none.

        Returns:
            The selection, a refusal, or None if there is no engine.
        """
        loop = asyncio.get_running_loop()
        visit = LineVisit(describe, offer, loop.create_future(), loop.time(), origin)
        ticket = self.order.join(loop.time(), describe())
        self._visits[ticket] = visit
        self._telemetry.record_line_joined(admitted, self.order.snapshot(loop.time()))
        if self._task is None or self._task.done():
            self._task = loop.create_task(self._run())
        outcome = "cancelled"
        try:
            if look is not None:
                self._offer_look(look, turns=1)
            result = await visit.future
            outcome = _name_result(result)
            return result
        finally:
            self._remove(ticket)
            self._telemetry.record_line_left(
                admitted,
                outcome,
                loop.time() - visit.joined_at,
                visit.offers,
                self.order.snapshot(loop.time()),
            )

    def on_place_freed(self, server_id: str) -> None:
        """Wakes the line because an engine has processed a prompt of this instance.

        Args:
            server_id: Id of the engine.
        """
        if self._visits:
            self._freed.add(server_id)
            self._woken.set()

    def wake(self) -> None:
        """Wakes the line because the engines of the service have changed."""
        self._woken.set()

    async def _run(self) -> None:
        """Plays rounds until no stream waits."""
        try:
            delay = FIRST_ROUND_DELAY
            while self._visits:
                await asyncio.sleep(MIN_ROUND_INTERVAL)
                await wait_for_event(self._woken, max(0.0, delay - MIN_ROUND_INTERVAL))
                self._woken.clear()
                delay = await self._play_round()
        except Exception as exc:
            # A stream that waits for a line that has ended would wait for ever.
            for visit in self._visits.values():
                if not visit.future.done():
                    visit.future.set_exception(exc)
            self._visits.clear()

    async def _play_round(self) -> float:
        """Takes a look at the engines and offers them; returns the next delay."""
        freed, self._freed = frozenset(self._freed), set()
        self._rounds += 1
        origins = {visit.origin for visit in self._visits.values() if visit.origin is not None}
        look = await self._take_look(self._rounds, freed, frozenset(origins))
        return self._offer_look(look, self.order.draw_turns(self._start_share()))

    def _offer_look(self, look: EngineLook, turns: int) -> float:
        """Offers the engines of a look to the streams in order; returns the next delay.

        A turn that the first stream cannot use goes to the next one.
        """
        now = asyncio.get_running_loop().time()
        for ticket, visit in self._visits.items():
            self.order.update(ticket, visit.describe())
        delay = LONGEST_ROUND_INTERVAL
        for ahead, ticket in enumerate(self.order.next(now)):
            visit = self._visits.get(ticket)
            if visit is None or visit.future.done():
                continue
            result = self._offer(now, visit, look, ahead, turns > 0)
            if isinstance(result, WaitForEngine):
                delay = min(delay, result.delay)
                continue
            if isinstance(result, EngineSelection):
                turns -= 1
                self.order.on_start(now, visit.describe())
            visit.future.set_result(result)
            self._remove(ticket)
        return delay

    def _offer(
        self, now: float, visit: LineVisit, look: EngineLook, ahead: int, has_turn: bool
    ) -> EngineSelection | RefuseStream | WaitForEngine | None:
        """Offers the engines of a look to one stream."""
        refusal = refuse_hopeless(self.order, now, visit.describe(), ahead)
        if refusal is not None:
            return refusal
        result = visit.offer(look, has_turn, visit.offers)
        visit.offers += 1
        return result

    def _remove(self, ticket: int) -> None:
        """Removes a stream from the line."""
        self._visits.pop(ticket, None)
        self.order.leave(asyncio.get_running_loop().time(), ticket)


def refuse_hopeless(
    order: WaitingLine, now: float, work: WaitingWork, ahead: int
) -> RefuseStream | None:
    """Refuses a stream that cannot be served for its caller any more.

    Args:
        order: The line.
        now: Event loop time in seconds.
        work: The stream as it waits now.
        ahead: Number of streams that go before it.

    Returns:
        The refusal, or None.
    """
    if not order.is_hopeless(now, work, ahead):
        return None
    estimate = order.estimate_wait(now, work, ahead) or 0.0
    return RefuseStream(estimate, order.retry_after(now, work.first_event_time), RefusalReason.LINE)


def _name_result(result: EngineSelection | RefuseStream | None) -> str:
    """Names how a stream left the line, for the metrics."""
    if result is None:
        return "no_engine"
    return "refused" if isinstance(result, RefuseStream) else "started"
