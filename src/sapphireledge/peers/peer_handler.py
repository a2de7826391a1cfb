"""Interface of what an entry does for its peers besides heartbeats."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sapphireledge.errors import Failure

__all__ = ["PeerHandler"]


class PeerHandler(Protocol):
    """Store of answer copies, recorded events, claim keys and configuration.

    Arguments and results are the messages of the schema, see sapphireledge.peers.messages.
    """

    async def append_answers(self, sender: str, appends: Sequence[Any]) -> list[Any] | Failure:
        """Stores pieces of answers.

        Args:
            sender: Name of the entry that owns the answers.
            appends: AnswerAppend messages; those of one request in the order of their offsets.

        Returns:
            One AppendResult for each append, in the same order.
        """
        ...

    async def find_answer(self, request_id: str) -> Any | Failure:
        """Tells what this entry knows about an answer.

        Args:
            request_id: Id of the request.

        Returns:
            An AnswerLocation.
        """
        ...

    async def read_answer(self, request_id: str, offset: int, wait: float) -> Any | Failure:
        """Reads tokens of an answer, waiting for the first one.

        Args:
            request_id: Id of the request.
            offset: Token offset to read from.
            wait: Longest wait in seconds.

        Returns:
            An AnswerPart, bounded in size.
        """
        ...

    async def take_over(self, request_id: str, epoch: int, instance: str) -> Any | Failure:
        """Decides about a new owner of an answer.

        Args:
            request_id: Id of the request.
            epoch: Epoch that the requester knows.
            instance: Name of the requester.

        Returns:
            A TakeOver.
        """
        ...

    async def config_since(self, version: int) -> Any | Failure:
        """Returns configuration objects newer than a version.

        Args:
            version: Version in force at the requester.

        Returns:
            A ConfigPart, bounded in size, with the lowest versions first.
        """
        ...

    async def void_key(self, claim_key: str) -> Any | Failure:
        """Promises to refuse a claim key if it was never received.

        Args:
            claim_key: The key.

        Returns:
            A VoidReply.
        """
        ...

    async def read_events(self, request_id: str) -> Any | Failure:
        """Returns the recorded events of a request.

        Args:
            request_id: Id of the request.

        Returns:
            An EventPart.
        """
        ...
