"""Place that a stream would get in the waiting line."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.core.placement import RefuseStream, WaitForEngine
from sapphireledge.gateway.engine_selection import EngineSelection
from sapphireledge.gateway.stream_line import refuse_hopeless

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge.core.waiting import WaitingLine, WaitingWork
    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.engine_look import EngineLook

__all__ = ["LinePreview"]


class LinePreview:
    """Answers like `StreamLine`, but does not wait: it notes the place that a stream would get."""

    def __init__(self, order: WaitingLine) -> None:
        """Creates the preview.

        Args:
            order: Copy of the order of the streams that wait.
        """
        self.order = order
        """Copy of the order of the streams."""

        self.position: int | None = None
        """Number of streams that go before the one that would wait, None if it would not."""

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
        """Notes the place of a stream; see `StreamLine.wait`.

        A place that becomes free goes to the first stream in line, so a stream behind others is
        offered engines without its turn.

        Args:
            admitted: The request.
            describe: Describes the stream as it waits at the time of the call.
            offer: Offers engines to the stream.
            look: Reports that were fetched for the stream.
            origin: Version that began the stream; the offer takes it into account.

        Returns:
            The selection or a refusal; None if it waits, or if there is no engine.
        """
        now, work = asyncio.get_running_loop().time(), describe()
        ticket = self.order.join(now, work)
        ahead = list(self.order.next(now)).index(ticket)
        refusal = refuse_hopeless(self.order, now, work, ahead)
        if refusal is not None:
            return refusal
        if look is not None:
            result = offer(look, ahead == 0, 0)
            if not isinstance(result, WaitForEngine):
                return result
        self.position = ahead
        return None
