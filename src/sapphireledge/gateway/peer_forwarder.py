"""Forwarding through another instance while this one is cut off from all backend servers."""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from random import Random
from typing import TYPE_CHECKING

import structlog

from sapphireledge.core.reachability import PeerOrder
from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.gateway.backend_connection import BackendConnection
from sapphireledge.gateway.backend_response_error import BackendResponseError
from sapphireledge.gateway.gateway_event import GatewayEvent

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from sapphireledge.core.reachability import ForwardingPeer
    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.caller_connection import CallerConnection
    from sapphireledge.gateway.gateway_context import GatewayContext
    from sapphireledge.gateway.response_head import ResponseHead

__all__ = ["CONFIG_VERSION", "MISDIRECTED", "PREFLIGHT", "PeerForwarder"]

CONFIG_VERSION = b"x-config-version"
"""Header with the version of the configuration by which the request was admitted."""

PREFLIGHT = b"/-/preflight"
"""Path of the question whether an instance takes a request, which precedes the request."""

PREFLIGHT_TIMEOUT = 0.4
"""Seconds allowed for the answer to that question: a round trip between regions and some load. The
kernel of a suspended instance accepts connections and data all the same."""

MISDIRECTED = 421
"""Status of an instance that does not take a forwarded request; it has not been run."""

RETRY_AFTER = 0.5
"""Retry-After in seconds if no instance takes a request. The caller may reach one that does, or the
partition may have healed; one that lasts must not be met by repeats all the time."""

CONNECT_TIMEOUT = 0.3
"""Seconds allowed for opening a connection to an instance."""

DEADLINE_MARGIN = 0.15
"""Seconds beyond the deadline for which the response of the other instance is awaited, which is its
refusal at that deadline."""


class PeerForwarder:
    """Has one other instance handle a request, which keeps its id and its deadline.

    The other instance takes it on a port of its own and never forwards it again. A request is
    offered to a further instance only if the one before has not received it or states that it has
    not run it, so that it runs at most once. It is sent only once the other instance has said that
    it takes it, as a suspended one would hold it until its deadline.
    """

    def __init__(self, context: GatewayContext) -> None:
        """Creates a forwarder.

        Args:
            context: Shared components.
        """
        self.list_peers: Callable[[], Sequence[ForwardingPeer]] = lambda: ()
        """Lists the other instances."""

        self._context = context
        self._order = PeerOrder(context.cfg.instance, context.cfg.data_centre, Random())

    async def forward(self, conn: CallerConnection, admitted: AdmittedRequest) -> Failure | None:
        """Forwards one request and delivers the response.

        Args:
            conn: Connection of the caller.
            admitted: The request.

        Returns:
            None if a response was delivered, otherwise the failure to report.
        """
        loop = asyncio.get_running_loop()
        for peer in self._order.choose(loop.time(), self.list_peers()):
            if loop.time() >= admitted.deadline:
                break
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT):
                    peer_conn = await BackendConnection.open(peer.host, peer.port)
            except (OSError, TimeoutError) as exc:
                self._avoid(peer, repr(exc))
                continue
            try:
                if not await self._is_taken(peer_conn, admitted):
                    self._avoid(peer, "refused, or does not answer")
                    continue
                async with asyncio.timeout_at(admitted.deadline + DEADLINE_MARGIN):
                    if await self._exchange(conn, peer_conn, admitted):
                        return None
            except (BackendResponseError, TimeoutError) as exc:
                self._avoid(peer, repr(exc))
                reason = f"instance {peer.name} has not responded completely"
                return Failure(ErrorKind.OUTCOME_UNKNOWN, reason, Ran.UNKNOWN)
            finally:
                peer_conn.abort()
            self._avoid(peer, "refused")
        reason = "neither this instance nor another one that it asked reaches a backend server"
        return Failure(ErrorKind.NO_BACKEND, reason, Ran.NO, RETRY_AFTER)

    def _avoid(self, peer: ForwardingPeer, reason: str) -> None:
        """Prefers other instances for a while; only the first of a series is logged."""
        if self._order.avoid(asyncio.get_running_loop().time(), peer):
            structlog.get_logger().info(
                GatewayEvent.PEER_AVOIDED, instance=peer.name, reason=reason
            )

    async def _is_taken(self, peer_conn: BackendConnection, admitted: AdmittedRequest) -> bool:
        """Asks an instance whether it takes a request, of which nothing is sent yet."""
        dialect, request_id = self._context.dialect, admitted.request.request_id
        headers = [
            (b"host", b"-"),
            (CONFIG_VERSION, str(admitted.version).encode()),
            *dialect.encode_refusal(request_id, None),
        ]
        try:
            async with asyncio.timeout(PREFLIGHT_TIMEOUT):
                peer_conn.send(b"GET", PREFLIGHT, headers, b"")
                head = await peer_conn.read_head(dialect, request_id, checks_body=True)
                await peer_conn.read_body()
        except (BackendResponseError, TimeoutError):
            return False
        return head.status == HTTPStatus.NO_CONTENT and peer_conn.is_reusable

    async def _exchange(
        self, conn: CallerConnection, peer_conn: BackendConnection, admitted: AdmittedRequest
    ) -> bool:
        """Sends the request and delivers the response; returns False if it was not taken."""
        request, dialect = admitted.request, self._context.dialect
        time_left = admitted.caller_deadline - asyncio.get_running_loop().time()
        headers = dialect.encode_forwarded_request(request, time_left)
        headers.append((CONFIG_VERSION, str(admitted.version).encode()))
        peer_conn.send(request.method, request.target, headers, request.body)
        head = await peer_conn.read_head(dialect, request.request_id, checks_body=True)
        if head.status == MISDIRECTED:
            return False
        if head.status == 200 and head.is_event_stream:
            await _relay_stream(conn, peer_conn, head)
        else:
            await conn.respond(head.status, head.headers, await peer_conn.read_body())
        return True


async def _relay_stream(
    conn: CallerConnection, peer_conn: BackendConnection, head: ResponseHead
) -> None:
    """Delivers a stream as it arrives."""
    await conn.start_response(head.status, head.headers)
    while (chunk := await peer_conn.read_chunk()) is not None:
        await conn.send_chunk(chunk)
        await peer_conn.checkpoint()
    await conn.finish_response()
