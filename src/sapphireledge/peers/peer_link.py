"""Connection to one peer."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

import structlog
from thriftpy2.thrift import TException

from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.peers._private import backoff_delay, failure_of, wait_at_most
from sapphireledge.peers.messages import PeerService
from sapphireledge.peers.pending_call import PendingCall
from sapphireledge.rpc import RpcError, RpcLimits, ThriftConnection
from sapphireledge.telemetry import LogEvent

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from typing import Any

    from sapphireledge.core.membership import Member
    from sapphireledge.settings import PeerSettings

__all__ = ["PeerLink"]

CONNECT_TIMEOUT = 1.0
"""Seconds for the connection and again for the hello."""

MAX_QUEUED = 256
"""Calls that may wait for the connection."""

MAX_WAITING_CALLS = 64
"""Long calls at the same time, each on its own connection."""

MAX_IDLE = 2
"""Connections for long calls that are kept for reuse."""


class PeerLink:
    """One connection to a peer with serial calls, and further ones on demand for long calls.

    A thriftpy2 connection carries one call at a time. A single task connects, takes calls from a
    queue and connects again after a failure. A call that times out closes the connection, since its
    reply could still arrive and must not be taken for the next one.
    """

    def __init__(
        self,
        peer: Member,
        make_hello: Callable[[], Any],
        cfg: PeerSettings,
        rng: random.Random,
        on_connected: Callable[[Any], None] | None = None,
        on_lost: Callable[[str], None] | None = None,
    ) -> None:
        """Prepares a link; nothing is connected before start or the first long call.

        Args:
            peer: The peer.
            make_hello: Returns the Hello of this entry, with the secret.
            cfg: Settings of peer links.
            rng: Source of the jitter.
            on_connected: Called with the Hello of the peer after each connect.
            on_lost: Called with the name of the peer when it cannot be reached.
        """
        self.peer = peer
        """The peer."""
        self._make_hello = make_hello
        self._rng = rng
        self._limits = RpcLimits(max_message=cfg.max_message)
        self._on_connected = on_connected
        self._on_lost = on_lost
        self._queue: asyncio.Queue[PendingCall] = asyncio.Queue(MAX_QUEUED)
        self._task: asyncio.Task[None] | None = None
        self._retry = asyncio.Event()
        self._held: PendingCall | None = None
        self._conn: ThriftConnection | None = None
        self._failures = 0
        self._last_failure = self._failure("is not connected")
        self._idle: list[ThriftConnection] = []
        self._waiting_calls = 0
        self._closed_bytes = 0
        self._log = structlog.get_logger()

    @property
    def reachable(self) -> bool:
        """Whether the connection is established."""
        return self._conn is not None and self._conn.transport.is_open()

    @property
    def is_down(self) -> bool:
        """Whether the last attempt to connect failed; calls then fail at once."""
        return self._failures > 0 and not self.reachable

    @property
    def bytes_moved(self) -> int:
        """Bytes sent and received on the serial connection since the start."""
        conn = self._conn
        return self._closed_bytes + (0 if conn is None else _bytes_of(conn))

    def start(self) -> None:
        """Starts the task of the link."""
        self._task = asyncio.create_task(self._run(), name=f"peer link {self.peer.name}")

    async def stop(self) -> None:
        """Ends the task and closes all connections; waiting calls fail."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._task = None
        self._fail_queued("the link was stopped")
        for conn in self._idle:
            conn.close()
        self._idle.clear()

    def retry_now(self) -> None:
        """Ends the wait before the next attempt to connect, as the peer showed that it lives."""
        self._retry.set()

    def submit(self, method: str, *args: Any, timeout: float) -> asyncio.Future[Any]:
        """Queues a call.

        Args:
            method: Method of the peer service.
            *args: Arguments in the order of the schema.
            timeout: Seconds from now until the reply must have arrived.

        Returns:
            Future of the result or a Failure; it raises nothing.
        """
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Any] = loop.create_future()
        if self._task is None or self.is_down:
            future.set_result(self._last_failure)
            return future
        try:
            self._queue.put_nowait(PendingCall(method, args, loop.time() + timeout, future))
        except asyncio.QueueFull:
            reason = f"{MAX_QUEUED} calls already wait for peer {self.peer.name}"
            future.set_result(Failure(ErrorKind.OVERLOADED, reason))
        return future

    async def call(self, method: str, *args: Any, timeout: float) -> Any | Failure:
        """Calls the peer on the serial connection.

        Args:
            method: Method of the peer service.
            *args: Arguments in the order of the schema.
            timeout: Seconds until the reply must have arrived, the wait for the turn included.

        Returns:
            The result, or a Failure; its `ran` is NO only if nothing was sent.
        """
        future = self.submit(method, *args, timeout=timeout)
        done, _ = await asyncio.wait((future,), timeout=timeout)
        if done:
            return future.result()
        future.cancel()
        return self._failure(f"did not answer {method} within {timeout:g} s", Ran.UNKNOWN)

    async def call_waiting(self, method: str, *args: Any, timeout: float) -> Any | Failure:
        """Calls the peer on a connection of its own, so that a long wait delays no other call.

        Args:
            method: Method of the peer service.
            *args: Arguments in the order of the schema.
            timeout: Seconds until the reply must have arrived, the connect included.

        Returns:
            The result, or a Failure.
        """
        if self.is_down:
            return self._last_failure
        if self._waiting_calls >= MAX_WAITING_CALLS:
            reason = f"{MAX_WAITING_CALLS} long calls to peer {self.peer.name} already run"
            return Failure(ErrorKind.OVERLOADED, reason)
        self._waiting_calls += 1
        try:
            async with asyncio.timeout(timeout):
                return await self._call_aside(method, args, timeout)
        except TimeoutError:
            return self._failure(f"did not answer {method} within {timeout:g} s", Ran.UNKNOWN)
        finally:
            self._waiting_calls -= 1

    async def _call_aside(self, method: str, args: tuple[Any, ...], timeout: float) -> Any:
        """Runs one long call on a kept or a new connection."""
        conn = self._take_idle()
        if conn is None:
            opened = await self._connect(timeout)
            if isinstance(opened, Failure):
                return opened
            conn, _ = opened
        result = await self._exchange(conn, method, args, timeout)
        if conn.transport.is_open() and len(self._idle) < MAX_IDLE:
            self._idle.append(conn)
        else:
            conn.close()
        return result

    def _take_idle(self) -> ThriftConnection | None:
        """Takes a kept connection that is still open."""
        while self._idle:
            conn = self._idle.pop()
            if conn.transport.is_open():
                return conn
            conn.close()
        return None

    async def _run(self) -> None:
        """Connects, serves the queue until the connection breaks, and starts over."""
        while True:
            opened = await self._connect(CONNECT_TIMEOUT)
            if isinstance(opened, Failure):
                self._failures += 1
                self._last_failure = opened
                self._fail_queued(opened.reason)
                self._report_lost(opened.reason)
                self._retry.clear()
                await wait_at_most(self._retry, backoff_delay(self._failures, self._rng))
                continue
            self._conn, hello = opened
            self._failures = 0
            self._log.info(LogEvent.PEER_CONNECTED, peer=self.peer.name)
            if self._on_connected is not None:
                self._on_connected(hello)
            try:
                await self._serve_queue(self._conn)
            finally:
                self._closed_bytes += _bytes_of(self._conn)
                self._conn.close()
                self._conn = None

    async def _serve_queue(self, conn: ThriftConnection) -> None:
        """Sends queued calls one after the other until the connection breaks."""
        loop = asyncio.get_running_loop()
        while conn.transport.is_open():
            call = self._held or await self._queue.get()
            # A connection that the peer closed while idle is noticed before the call is sent.
            self._held = call
            if not conn.transport.is_open():
                return
            self._held = None
            left = call.deadline - loop.time()
            if call.future.done():
                continue
            if left <= 0:
                call.future.set_result(self._failure(f"had no turn for {call.method} in time"))
                continue
            try:
                result = await self._exchange(conn, call.method, call.args, left)
            except asyncio.CancelledError:
                _settle(call, self._failure("link was stopped", Ran.UNKNOWN))
                raise
            _settle(call, result)

    async def _connect(self, timeout: float) -> tuple[ThriftConnection, Any] | Failure:
        """Opens a connection and says hello.

        Returns:
            The connection and the Hello of the peer, or a failure.
        """
        try:
            conn = await ThriftConnection.open(
                PeerService, self.peer.address, self._limits, timeout
            )
        except RpcError as exc:
            return self._failure(f"is not reachable: {exc}")
        hello = await self._exchange(conn, "hello", (self._make_hello(),), timeout)
        if not isinstance(hello, Failure) and hello.instance != self.peer.name:
            # The address of an instance that was replaced can belong to another one.
            hello = self._failure(f"has been replaced by {hello.instance} at {self.peer.address}")
        if isinstance(hello, Failure):
            conn.close()
            return replace(hello, ran=Ran.NO)
        return conn, hello

    async def _exchange(
        self, conn: ThriftConnection, method: str, args: tuple[Any, ...], timeout: float
    ) -> Any | Failure:
        """Runs one call on a connection and turns exceptions into failures."""
        try:
            return await conn.call(method, *args, timeout=timeout)
        except RpcError as exc:
            return self._failure(f"failed: {exc}", Ran.UNKNOWN)
        except TException as exc:
            return failure_of(exc, self.peer.name)

    def _fail_queued(self, reason: str) -> None:
        """Fails all queued calls; none of them was sent."""
        if self._held is not None:
            _settle(self._held, Failure(ErrorKind.INTERNAL, reason))
            self._held = None
        while not self._queue.empty():
            _settle(self._queue.get_nowait(), Failure(ErrorKind.INTERNAL, reason))

    def _report_lost(self, reason: str) -> None:
        """Logs the first failure in a row and tells the owner of the link about each."""
        if self._failures == 1:
            self._log.warning(LogEvent.PEER_LOST, peer=self.peer.name, reason=reason)
        if self._on_lost is not None:
            self._on_lost(self.peer.name)

    def _failure(self, what: str, ran: Ran = Ran.NO) -> Failure:
        """Makes a failure that names the peer."""
        return Failure(ErrorKind.INTERNAL, f"peer {self.peer.name} {what}", ran)


def _settle(call: PendingCall, result: Any) -> None:
    """Hands a result to the caller if it still waits."""
    if not call.future.done():
        call.future.set_result(result)


def _bytes_of(conn: ThriftConnection) -> int:
    """Returns the bytes that a connection moved."""
    return conn.transport.bytes_in + conn.transport.bytes_out
