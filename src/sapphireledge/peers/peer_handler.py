"""Interface of the peer calls that an entry serves, other than heartbeats."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sapphireledge.errors import Failure

__all__ = ["PeerHandler"]


class PeerHandler(Protocol):
    """Serves answer copies, recorded events, claim keys and configuration to peers.

    Arguments and results are the message types in sapphireledge.peers.messages.
    """

    async def append_answers(self, sender: str, appends: Sequence[Any]) -> list[Any] | Failure:
        """Stores tokens of answers.

        Args:
            sender: Name of the entry that owns the answers.
            appends: AnswerAppend messages, in ascending order of offset for each request.

        Returns:
            One AppendResult per append in the same order, or a Failure.
        """
        ...

    async def find_answer(self, request_id: str) -> Any | Failure:
        """Returns what this entry holds of an answer.

        Args:
            request_id: Id of the request.

        Returns:
            An AnswerLocation, or a Failure.
        """
        ...

    async def read_answer(self, request_id: str, offset: int, wait: float) -> Any | Failure:
        """Reads tokens of an answer, waiting until at least one is available.

        Args:
            request_id: Id of the request.
            offset: Token offset to read from.
            wait: Maximum wait in seconds.

        Returns:
            An AnswerPart of limited size, or a Failure.
        """
        ...

    async def take_over(self, request_id: str, epoch: int, instance: str) -> Any | Failure:
        """Decides whether the requester becomes the owner of an answer.

        Args:
            request_id: Id of the request.
            epoch: Latest epoch of the answer known to the requester.
            instance: Name of the requesting entry.

        Returns:
            A TakeOver, or a Failure.
        """
        ...

    async def config_since(self, version: int) -> Any | Failure:
        """Returns configuration objects newer than a version.

        Args:
            version: Configuration version in force at the requester.

        Returns:
            A ConfigPart of limited size, lowest versions first, or a Failure.
        """
        ...

    async def void_key(self, claim_key: str) -> Any | Failure:
        """Voids a claim key: if it was never received, it is rejected from now on.

        Args:
            claim_key: Claim key to void.

        Returns:
            A VoidReply, or a Failure.
        """
        ...

    async def read_events(self, request_id: str) -> Any | Failure:
        """Returns the recorded events of a request.

        Args:
            request_id: Id of the request.

        Returns:
            An EventPart, or a Failure.
        """
        ...
