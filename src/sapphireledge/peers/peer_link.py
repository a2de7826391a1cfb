"""Connection to one peer."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING

import structlog
from thriftpy2.thrift import TException

from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.peers._private import reconnect_delay, to_failure, wait_with_timeout
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
"""Seconds allowed for connecting, and again for the hello exchange."""

MAX_QUEUED = 256
"""Maximum number of calls queued for the serial connection."""

MAX_DEDICATED_CALLS = 64
"""Maximum number of concurrent calls on dedicated connections."""

MAX_IDLE_CONNECTIONS = 2
"""Maximum number of idle dedicated connections kept for reuse."""


class PeerLink:
    """Serial connection to a peer, plus dedicated connections on demand for long-running calls.

    A thriftpy2 connection carries one call at a time. A single task connects, sends the queued
    calls and reconnects after a failure. A call that times out closes the connection, because its
    late reply would otherwise be read as the reply to the next call.
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
        """Creates a link, which connects on `start` or on the first dedicated call.

        Args:
            peer: Entry at the other end.
            make_hello: Returns the Hello of this entry, including the secret.
            cfg: Settings of peer links.
            rng: Source of the reconnect jitter.
            on_connected: Called with the Hello of the peer after each successful connect.
            on_lost: Called with the name of the peer after each failed attempt to connect.
        """
        self.peer = peer
        """Entry at the other end."""
        self._make_hello = make_hello
        self._rng = rng
        self._limits = RpcLimits(max_message=cfg.max_message)
        self._on_connected = on_connected
        self._on_lost = on_lost
        self._queue: asyncio.Queue[PendingCall] = asyncio.Queue(MAX_QUEUED)
        self._task: asyncio.Task[None] | None = None
        self._retry_event = asyncio.Event()
        self._unsent_call: PendingCall | None = None
        self._conn: ThriftConnection | None = None
        self._failures = 0
        self._last_failure = self._failure("is not connected")
        self._idle_connections: list[ThriftConnection] = []
        self._dedicated_calls = 0
        self._closed_bytes = 0
        self._log = structlog.get_logger()

    @property
    def reachable(self) -> bool:
        """Whether the serial connection is established."""
        return self._conn is not None and self._conn.transport.is_open()

    @property
    def is_down(self) -> bool:
        """Whether the last attempt to connect failed; calls then fail immediately."""
        return self._failures > 0 and not self.reachable

    @property
    def bytes_transferred(self) -> int:
        """Bytes sent and received on serial connections since the link was created."""
        conn = self._conn
        return self._closed_bytes + (0 if conn is None else _transferred_bytes(conn))

    def start(self) -> None:
        """Starts the task that connects and sends queued calls."""
        self._task = asyncio.create_task(self._run(), name=f"peer link {self.peer.name}")

    async def stop(self) -> None:
        """Stops the task, fails the queued calls and closes the connections."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        self._task = None
        self._fail_queued("the link was stopped")
        for conn in self._idle_connections:
            conn.close()
        self._idle_connections.clear()

    def retry_now(self) -> None:
        """Skips the remaining backoff before the next attempt to connect.

        Called when the peer has shown that it is alive.
        """
        self._retry_event.set()

    def submit(self, method: str, *args: Any, timeout: float) -> asyncio.Future[Any]:
        """Queues a call.

        Args:
            method: Name of the method of the peer service.
            *args: Arguments in schema order.
            timeout: Seconds within which the reply must arrive.

        Returns:
            Future of the result or a Failure; it never holds an exception.
        """
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Any] = loop.create_future()
        if self._task is None or self.is_down:
            future.set_result(self._last_failure)
            return future
        try:
            self._queue.put_nowait(PendingCall(method, args, loop.time() + timeout, future))
        except asyncio.QueueFull:
            reason = f"{MAX_QUEUED} calls are already queued for peer {self.peer.name}"
            future.set_result(Failure(ErrorKind.OVERLOADED, reason))
        return future

    async def call(self, method: str, *args: Any, timeout: float) -> Any | Failure:
        """Calls the peer on the serial connection.

        Args:
            method: Name of the method of the peer service.
            *args: Arguments in schema order.
            timeout: Seconds within which the reply must arrive, including time in the queue.

        Returns:
            The result, or a Failure whose `ran` is NO only if nothing was sent.
        """
        future = self.submit(method, *args, timeout=timeout)
        done, _ = await asyncio.wait((future,), timeout=timeout)
        if done:
            return future.result()
        future.cancel()
        return self._failure(f"did not reply to {method} within {timeout:g} s", Ran.UNKNOWN)

    async def call_on_dedicated_connection(
        self, method: str, *args: Any, timeout: float
    ) -> Any | Failure:
        """Calls the peer on a dedicated connection, so that a long call delays no other.

        Args:
            method: Name of the method of the peer service.
            *args: Arguments in schema order.
            timeout: Seconds within which the reply must arrive, including the connect.

        Returns:
            The result, or a Failure.
        """
        if self.is_down:
            return self._last_failure
        if self._dedicated_calls >= MAX_DEDICATED_CALLS:
            reason = f"{MAX_DEDICATED_CALLS} dedicated calls to peer {self.peer.name} are running"
            return Failure(ErrorKind.OVERLOADED, reason)
        self._dedicated_calls += 1
        try:
            async with asyncio.timeout(timeout):
                return await self._run_dedicated_call(method, args, timeout)
        except TimeoutError:
            return self._failure(f"did not reply to {method} within {timeout:g} s", Ran.UNKNOWN)
        finally:
            self._dedicated_calls -= 1

    async def _run_dedicated_call(self, method: str, args: tuple[Any, ...], timeout: float) -> Any:
        """Runs one call on an idle dedicated connection or on a new one."""
        conn = self._pop_idle_connection()
        if conn is None:
            opened = await self._connect(timeout)
            if isinstance(opened, Failure):
                return opened
            conn, _ = opened
        result = await self._call_over(conn, method, args, timeout)
        if conn.transport.is_open() and len(self._idle_connections) < MAX_IDLE_CONNECTIONS:
            self._idle_connections.append(conn)
        else:
            conn.close()
        return result

    def _pop_idle_connection(self) -> ThriftConnection | None:
        """Returns an idle connection that is still open, or None if there is none."""
        while self._idle_connections:
            conn = self._idle_connections.pop()
            if conn.transport.is_open():
                return conn
            conn.close()
        return None

    async def _run(self) -> None:
        """Connects, sends queued calls until the connection breaks, and reconnects."""
        while True:
            opened = await self._connect(CONNECT_TIMEOUT)
            if isinstance(opened, Failure):
                self._failures += 1
                self._last_failure = opened
                self._fail_queued(opened.reason)
                self._report_lost(opened.reason)
                self._retry_event.clear()
                await wait_with_timeout(
                    self._retry_event, reconnect_delay(self._failures, self._rng)
                )
                continue
            self._conn, hello = opened
            self._failures = 0
            self._log.info(LogEvent.PEER_CONNECTED, peer=self.peer.name)
            if self._on_connected is not None:
                self._on_connected(hello)
            try:
                await self._serve_queue(self._conn)
            finally:
                self._closed_bytes += _transferred_bytes(self._conn)
                self._conn.close()
                self._conn = None

    async def _serve_queue(self, conn: ThriftConnection) -> None:
        """Sends queued calls one at a time until the connection breaks."""
        loop = asyncio.get_running_loop()
        while conn.transport.is_open():
            call = self._unsent_call or await self._queue.get()
            # If the peer closed the idle connection, the call is sent on the next connection.
            self._unsent_call = call
            if not conn.transport.is_open():
                return
            self._unsent_call = None
            remaining = call.deadline - loop.time()
            if call.future.done():
                continue
            if remaining <= 0:
                call.future.set_result(self._failure(f"was not sent {call.method} in time"))
                continue
            try:
                result = await self._call_over(conn, call.method, call.args, remaining)
            except asyncio.CancelledError:
                _set_result(
                    call, self._failure("was disconnected: the link was stopped", Ran.UNKNOWN)
                )
                raise
            _set_result(call, result)

    async def _connect(self, timeout: float) -> tuple[ThriftConnection, Any] | Failure:
        """Opens a connection and exchanges hellos.

        Returns:
            The connection and the Hello of the peer, or a Failure.
        """
        try:
            conn = await ThriftConnection.open(
                PeerService, self.peer.address, self._limits, timeout
            )
        except RpcError as exc:
            return self._failure(f"is unreachable: {exc}")
        hello = await self._call_over(conn, "hello", (self._make_hello(),), timeout)
        if not isinstance(hello, Failure) and hello.instance != self.peer.name:
            # The address of a replaced instance may be reused by another instance.
            hello = self._failure(f"has been replaced by {hello.instance} at {self.peer.address}")
        if isinstance(hello, Failure):
            conn.close()
            return replace(hello, ran=Ran.NO)
        return conn, hello

    async def _call_over(
        self, conn: ThriftConnection, method: str, args: tuple[Any, ...], timeout: float
    ) -> Any | Failure:
        """Runs one call on a connection and returns exceptions as failures."""
        try:
            return await conn.call(method, *args, timeout=timeout)
        except RpcError as exc:
            return self._failure(f"call failed: {exc}", Ran.UNKNOWN)
        except TException as exc:
            return to_failure(exc, self.peer.name)

    def _fail_queued(self, reason: str) -> None:
        """Fails all queued calls, none of which has been sent."""
        if self._unsent_call is not None:
            _set_result(self._unsent_call, Failure(ErrorKind.INTERNAL, reason))
            self._unsent_call = None
        while not self._queue.empty():
            _set_result(self._queue.get_nowait(), Failure(ErrorKind.INTERNAL, reason))

    def _report_lost(self, reason: str) -> None:
        """Logs the first of consecutive failures to connect and calls `on_lost` for each."""
        if self._failures == 1:
            self._log.warning(LogEvent.PEER_LOST, peer=self.peer.name, reason=reason)
        if self._on_lost is not None:
            self._on_lost(self.peer.name)

    def _failure(self, problem: str, ran: Ran = Ran.NO) -> Failure:
        """Returns a Failure whose reason starts with the name of the peer."""
        return Failure(ErrorKind.INTERNAL, f"peer {self.peer.name} {problem}", ran)


def _set_result(call: PendingCall, result: Any) -> None:
    """Sets the result of a call unless its future was cancelled or already has one."""
    if not call.future.done():
        call.future.set_result(result)


def _transferred_bytes(conn: ThriftConnection) -> int:
    """Returns the bytes sent and received on a connection."""
    return conn.transport.bytes_in + conn.transport.bytes_out
