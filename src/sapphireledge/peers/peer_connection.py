"""Peer service methods for one server connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.errors import ErrorKind, Failure
from sapphireledge.peers.messages import Hello, PeerError
from sapphireledge.rpc import secret_matches

if TYPE_CHECKING:
    from collections.abc import Sequence
    from typing import Any

    from sapphireledge.peers.heartbeat_receiver import HeartbeatReceiver
    from sapphireledge.peers.peer_handler import PeerHandler

__all__ = ["PeerConnection"]


class PeerConnection:
    """Serves one connection of a peer and raises failures as PeerError, as the schema declares."""

    def __init__(self, secret: str, receiver: HeartbeatReceiver, handler: PeerHandler) -> None:
        self._secret = secret
        self._receiver = receiver
        self._handler = handler
        self._hello = Hello()

    async def hello(self, hello: Any) -> Any:
        """Authenticates the connection."""
        if hello is None or not secret_matches(self._secret, hello.secret):
            raise PeerError(ErrorKind.UNAUTHENTICATED, "the secret does not match")
        if not hello.instance or not hello.incarnation:
            raise PeerError(ErrorKind.INVALID_REQUEST, "instance and incarnation are required")
        self._hello = hello
        self._receiver.on_hello(hello)
        return self._receiver.own_hello()

    async def heartbeat(self, heartbeat: Any) -> Any:
        """Passes a heartbeat to the receiver."""
        if heartbeat is None or heartbeat.instance != self._hello.instance:
            raise PeerError(
                ErrorKind.INVALID_REQUEST, "heartbeat.instance differs from hello.instance"
            )
        return _result(self._receiver.on_heartbeat(self._hello, heartbeat))

    async def append_answers(self, appends: Sequence[Any]) -> Any:
        """Stores tokens of answers."""
        return _result(await self._handler.append_answers(self._hello.instance, appends))

    async def find_answer(self, request_id: str) -> Any:
        """Returns what this entry holds of an answer."""
        return _result(await self._handler.find_answer(request_id))

    async def read_answer(self, request_id: str, offset: int, wait: float) -> Any:
        """Reads tokens of an answer."""
        return _result(await self._handler.read_answer(request_id, offset, wait))

    async def take_over(self, request_id: str, epoch: int, instance: str) -> Any:
        """Decides whether an entry becomes the owner of an answer."""
        return _result(await self._handler.take_over(request_id, epoch, instance))

    async def config_since(self, version: int) -> Any:
        """Returns configuration objects newer than a version."""
        return _result(await self._handler.config_since(version))

    async def void_key(self, claim_key: str) -> Any:
        """Voids a claim key that was never received."""
        return _result(await self._handler.void_key(claim_key))

    async def read_events(self, request_id: str) -> Any:
        """Returns the recorded events of a request."""
        return _result(await self._handler.read_events(request_id))


def _result(result: Any) -> Any:
    """Returns the result, or raises a Failure as PeerError."""
    if isinstance(result, Failure):
        raise PeerError(result.kind, result.reason)
    return result
