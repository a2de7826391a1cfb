"""HTTP protocol of the caller interface whose parsing is limited in time and memory."""

from __future__ import annotations

import asyncio
from functools import partial
from time import monotonic
from typing import TYPE_CHECKING, Any

import h11
from uvicorn.protocols.http.h11_impl import H11Protocol

from sapphireledge.entry.caller_flow import CallerFlow
from sapphireledge.entry.encode_refusal import encode_refusal
from sapphireledge.limits import (
    HEAD_END_OVERLAP,
    LimitReason,
    ReceiveWindow,
    TimeSlice,
    count_unsent,
    estimate_head_memory,
    find_head_end,
    limit_transport_reads,
)

if TYPE_CHECKING:
    from sapphireledge.limits import CallerAccount, CallerLedger

__all__ = ["CallerProtocol"]

PIECE_BYTES = 2_048
"""Bytes of a body parsed in one step; in chunks of a byte each, they take some milliseconds."""

DIRECT_TIME = 0.001
"""Seconds for which received bytes are parsed at once; a large sound body takes less."""

READ_BYTES = 16_384
"""Largest read of a connection."""

MAX_BACKLOG = 65_536
"""Unparsed bytes of one caller above which nothing more is received from it."""

READ_AHEAD_BYTES = 4_096
"""The same while a request of the caller is served."""

WRITE_HIGH_WATER = 16_384
"""Unsent bytes of a connection above which its answer waits."""

MAX_ORDINARY_FIELDS = 256
"""Fields from which on a head is parsed in turns with others; its parsing takes milliseconds."""

MAX_REQUESTS_AHEAD = 8
"""Requests that had arrived ahead after which a connection takes turns with others."""

LINGER_TIME = 15.0
"""Seconds in which a caller must read some of its last answer, or the connection is reset."""

DISCARD_TIME = 1.0
"""Seconds for which the rest of a refused request is read and dropped."""

MAX_CONTROL = 0x20
"""Largest first byte that no request line can have; the parser rejects it without waiting."""


class CallerProtocol(H11Protocol):
    """Parses what a caller sends in time slices, once the ledger has granted memory for it.

    The base class parses all bytes of a read at once. For chunks of a byte that takes a second, in
    which all other connections wait. The parser gets a head as a whole.
    """

    def __init__(self, *args: Any, ledger: CallerLedger, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._ledger = ledger
        self._account: CallerAccount | None = None
        self._backlog = bytearray()
        self._searched = 0
        self._request_bytes = 0
        self._body_left = 0
        self._requests_ahead = 0
        self._feeder: asyncio.Task[None] | None = None
        self._is_discarding = False
        self._abort_timer: asyncio.TimerHandle | None = None
        # The application finds the connection of a request in the state of its scope.
        self.app_state = {**self.app_state, "connection": self}

    def connection_made(self, transport: asyncio.Transport) -> None:  # type: ignore[override]
        """Takes a place in the ledger; closes the connection if there is none."""
        self._account = self._ledger.open(monotonic(), self._evict)
        super().connection_made(transport)
        self.flow = CallerFlow(transport, self._continue)
        if self._account is None:
            transport.abort()
            return
        self._account.count_unsent = partial(count_unsent, transport)
        transport.set_write_buffer_limits(high=WRITE_HIGH_WATER)
        limit_transport_reads(transport, READ_BYTES)
        self._window = ReceiveWindow(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Gives back all that the connection holds."""
        super().connection_lost(exc)
        self._unset_keepalive_if_required()
        self._backlog.clear()
        if self._abort_timer is not None:
            self._abort_timer.cancel()
        if self._feeder is not None:
            self._feeder.cancel()
        if self._account is not None:
            self._account.close()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes, as far as that takes little time, and keeps the rest."""
        if self._account is None or self._is_discarding or self.transport.is_closing():
            return
        self._unset_keepalive_if_required()
        self._backlog += data
        self._account.on_moved(monotonic(), len(data))
        if self._is_serving or self._hold():
            self._parse_directly()
            self._update_reading()
        else:
            self._refuse()

    def on_response_complete(self) -> None:
        """Prepares for the next request, of which bytes may have arrived."""
        self._request_bytes = 0
        if self.conn.our_state is h11.DONE and self.conn.their_state is h11.DONE:
            self._take_back_unparsed()
        super().on_response_complete()
        if self._account is None:
            return
        self._body_left = 0
        self._window.expect(0)
        self._account.wait_for_peer(monotonic())
        self._hold()
        if self.transport.is_closing():
            if self.transport.get_write_buffer_size():
                self._linger(count_unsent(self.transport))
            return
        self._requests_ahead = self._requests_ahead + 1 if self._backlog else 0
        self._continue()

    def pause_writing(self) -> None:
        """Takes memory for unsent bytes; callers that do not read theirs give way."""
        super().pause_writing()
        if self._account is None:
            return
        self._account.wait_for_peer(monotonic())
        # The work has run: its answer is delivered, and requests are refused until it is.
        self._account.resize(monotonic(), self._held_bytes())

    def resume_writing(self) -> None:
        """Lets the answer go on."""
        super().resume_writing()
        if self._account is not None:
            self._hold()
            if self._is_serving:
                self._account.serve(monotonic())

    def try_reserve(self, size: int) -> bool:
        """Takes memory for the work on the request, until it is answered.

        A single request takes at most all that large holdings may have, so that it is served while
        there are no others.

        Args:
            size: Bytes, in addition to the head and the body.

        Returns:
            Whether there was memory.
        """
        size = max(0, min(size, self._ledger.limits.large_bytes - self._held_bytes()))
        self._request_bytes += size
        if self._hold():
            return True
        self._request_bytes -= size
        self._ledger.on_limited(LimitReason.NO_MEMORY)
        return False

    @property
    def _is_serving(self) -> bool:
        """Whether a complete request has not been answered completely."""
        is_complete = self.conn.their_state in (h11.DONE, h11.MUST_CLOSE)
        return is_complete and self.conn.our_state in (h11.SEND_RESPONSE, h11.SEND_BODY)

    def _held_bytes(self) -> int:
        """Bytes that the connection holds for requests and unread answers."""
        unsent = self.transport.get_write_buffer_size() if self.flow.write_paused else 0
        unparsed = len(self.conn.trailing_data[0])
        return len(self._backlog) + unparsed + self._request_bytes + unsent

    def _hold(self) -> bool:
        """Takes memory for what the connection holds; returns whether there was any."""
        return self._account is None or self._account.try_resize(monotonic(), self._held_bytes())

    def _continue(self) -> None:
        """Parses more after the application has read a body or answered a request."""
        if self._feeder is None and self._next_size():
            self._feeder = self.loop.create_task(self._parse_backlog())
        self._update_reading()

    def _update_reading(self) -> None:
        """Receives more bytes unless many are unparsed."""
        if self._is_discarding:
            return
        limit = READ_AHEAD_BYTES if self._is_serving else MAX_BACKLOG
        if not self._next_size():
            # A head is parsed as a whole.
            limit = max(limit, self.config.h11_max_incomplete_event_size or 0)
        if self.flow.read_paused or len(self._backlog) > limit:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def _parse_directly(self) -> None:
        """Parses for a short time, and leaves the rest to a task."""
        if self._feeder is not None:
            return
        started = monotonic()
        while (size := self._next_size()) and monotonic() - started < DIRECT_TIME:
            if self._takes_turns(size):
                break
            self._parse(size)
        if size:
            self._feeder = self.loop.create_task(self._parse_backlog())

    async def _parse_backlog(self) -> None:
        """Parses what is left, in turn with other connections."""
        time_slice = TimeSlice()
        try:
            while size := self._next_size():
                if self._takes_turns(size):
                    self._requests_ahead = 0
                    await time_slice.take_turn()
                else:
                    await time_slice.checkpoint()
                self._parse(min(size, len(self._backlog)))
        finally:
            self._feeder = None
        if not self.transport.is_closing():
            self._update_reading()

    def _takes_turns(self, size: int) -> bool:
        """Whether the next bytes take more work than those of other connections."""
        if self._requests_ahead > MAX_REQUESTS_AHEAD:
            return True
        return self._is_head_next and self._backlog.count(b"\n", 0, size) > MAX_ORDINARY_FIELDS

    @property
    def _is_head_next(self) -> bool:
        """Whether the parser waits for the beginning of a head."""
        return self.conn.their_state is h11.IDLE

    def _next_size(self) -> int:
        """Number of bytes that the parser can take, 0 if it has to wait."""
        if not self._backlog or self.flow.read_paused or self.transport.is_closing():
            return 0
        if self.conn.their_state in (h11.DONE, h11.MUST_CLOSE, h11.CLOSED, h11.ERROR):
            return 0
        if not self._is_head_next:
            return min(PIECE_BYTES, len(self._backlog))
        # The parser rejects a head that is too large only while it is incomplete.
        largest = (self.config.h11_max_incomplete_event_size or MAX_BACKLOG) + 1
        size = find_head_end(self._backlog, self._searched)
        if size or len(self._backlog) >= largest:
            return min(size or largest, largest)
        if self._backlog[0] <= MAX_CONTROL:
            return len(self._backlog)
        self._searched = max(0, len(self._backlog) - HEAD_END_OVERLAP)
        return 0

    def _parse(self, size: int) -> None:
        """Parses the next bytes, once there is memory for what the parser makes of them."""
        if self.flow.read_paused or self.transport.is_closing():
            return
        piece = bytes(self._backlog[:size])
        if self._is_head_next:
            self._request_bytes = estimate_head_memory(size, piece.count(b"\n"))
            if not self._hold() or self._ledger.is_overdrawn(monotonic()):
                return self._refuse()
        del self._backlog[:size]
        self._searched = 0
        cycle, body = self.cycle, 0 if self.cycle is None else len(self.cycle.body)
        super().data_received(piece)
        if self.cycle is not None:
            if self.cycle is not cycle:
                self._body_left, body = self._announced_bytes(), 0
            arrived = len(self.cycle.body) - body
            self._request_bytes += arrived
            self._body_left -= arrived
            self._window.expect(0 if self._is_serving else self._body_left)
        self._take_back_unparsed()
        if self._is_serving and self._account is not None:
            self._account.serve(monotonic())
        return None

    def _announced_bytes(self) -> int:
        """Size of the body of the request, 0 if it is not known."""
        sizes = [value for name, value in self.headers if name == b"content-length"]
        return int(sizes[0]) if sizes else 0

    def _take_back_unparsed(self) -> None:
        """Takes bytes of the next request back from the parser, which gets heads as a whole."""
        unparsed = self.conn.trailing_data[0]
        is_between = self.conn.their_state in (h11.IDLE, h11.DONE)
        if unparsed and is_between and self.conn.our_state in (h11.IDLE, h11.DONE):
            self._backlog[:0] = unparsed
            self._searched = 0
            self.conn = h11.Connection(
                h11.SERVER, self.config.h11_max_incomplete_event_size or MAX_BACKLOG
            )

    def _refuse(self) -> None:
        """Refuses a request for which no memory is left; it has not run."""
        self._ledger.on_limited(LimitReason.NO_MEMORY)
        self._reject("no memory is left for requests")
        if not self.transport.is_closing():
            self._discard_rest()

    def _discard_rest(self) -> None:
        """Drops what the caller still sends for a while.

        If bytes are unread when a connection is closed, its reset can overtake the refusal.
        """
        self._is_discarding = True
        self._hold()
        self.transport.write_eof()
        self.transport.resume_reading()
        self._abort_timer = self.loop.call_later(DISCARD_TIME, self.transport.abort)

    def _linger(self, unsent: int) -> None:
        """Waits for a caller to read its last answer, and resets a connection without progress."""

        def check() -> None:
            left = count_unsent(self.transport)
            if left < unsent:
                self._linger(left)
            else:
                self.transport.abort()

        self._abort_timer = self.loop.call_later(LINGER_TIME, check)

    def _evict(self, reason: LimitReason) -> None:
        """Closes the connection to make room for others; an incomplete request has not run.

        Called by the ledger, which has given back what the connection holds.
        """
        if self.transport.get_write_buffer_size() or self.conn.our_state is h11.SEND_BODY:
            self.transport.abort()
        elif self._backlog or not self._is_head_next:
            self._reject(f"closed: {reason}")
            if self.transport.get_write_buffer_size():
                self.transport.abort()
            else:
                self.transport.close()
        else:
            self.transport.close()

    def _reject(self, reason: str) -> None:
        """Answers an incomplete request with a refusal, if it can be, and closes the connection."""
        self._backlog.clear()
        self._request_bytes = 0
        if self.cycle is not None and not self.cycle.response_complete:
            self.cycle.disconnected = True
            self.cycle.message_event.set()
        if self.conn.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return self.transport.abort()
        self.transport.write(encode_refusal(self.conn, reason))
        return None
