"""Queries to many entries at once."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.errors import Failure
from sapphireledge.peers.found_answer import FoundAnswer, location_order

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from sapphireledge.peers.peer_call_client import PeerCallClient

__all__ = ["PeerQueries"]

OWNER_REPLY_GRACE = 0.05
"""Seconds to wait for other replies after an owner's, as a paused owner may have been replaced."""

LOCAL_TIMEOUT_SHARE = 0.5
"""Fraction of the timeout after which other data centres are queried."""


class PeerQueries:
    """Queries all entries for an answer, within a timeout."""

    def __init__(self, peers: PeerCallClient, clock: Callable[[], float]) -> None:
        """Creates the queries.

        Args:
            peers: Known entries and calls to them, usually the mesh.
            clock: Monotonic clock in seconds.
        """
        self._peers = peers
        self._clock = clock

    async def find_answer(self, request_id: str, timeout: float) -> FoundAnswer:
        """Searches for an answer in the local data centre, then in the others.

        Of several locations, `location_order` decides.

        Args:
            request_id: Id of the request.
            timeout: Seconds allowed for the entire search.

        Returns:
            Where the answer is held, other than on this entry, which is not queried.
        """
        local_member = self._peers.local_member
        others = [member for member in self._peers.members if member.name != local_member.name]
        local = [member.name for member in others if member.data_centre == local_member.data_centre]
        remote = [
            member.name for member in others if member.data_centre != local_member.data_centre
        ]
        deadline = self._clock() + timeout
        found = await self._find_in(
            local, request_id, timeout * (LOCAL_TIMEOUT_SHARE if remote else 1.0)
        )
        if found.instance or not remote:
            return found
        remote_result = await self._find_in(remote, request_id, max(0.0, deadline - self._clock()))
        return FoundAnswer(
            remote_result.instance,
            remote_result.location,
            found.complete and remote_result.complete,
        )

    async def _find_in(self, names: list[str], request_id: str, timeout: float) -> FoundAnswer:
        """Searches for an answer on some entries."""
        replies = await self._call_all(
            names,
            "find_answer",
            request_id,
            timeout=timeout,
            is_sufficient=lambda reply: reply.found and reply.owner,
        )
        found = {name: reply for name, reply in replies.items() if reply.found}
        complete = len(replies) == len(names)
        if not found:
            return FoundAnswer("", None, complete)
        best = max(found, key=lambda name: location_order(found[name]))
        return FoundAnswer(best, found[best], complete)

    async def _call_all(
        self,
        names: list[str],
        method: str,
        *args: Any,
        timeout: float,
        is_sufficient: Callable[[Any], bool] | None = None,
    ) -> dict[str, Any]:
        """Calls some entries concurrently.

        Args:
            names: Names of the entries.
            method: Name of the method of the peer service.
            *args: Arguments in schema order.
            timeout: Seconds allowed for all replies.
            is_sufficient: Returns whether a reply reduces the remaining wait to OWNER_REPLY_GRACE.

        Returns:
            The replies by entry, without failures and entries that did not reply in time.
        """
        calls = {
            asyncio.create_task(self._peers.call(name, method, *args, timeout=timeout)): name
            for name in names
        }
        deadline = self._clock() + timeout
        replies: dict[str, Any] = {}
        pending = set(calls)
        try:
            while pending and self._clock() < deadline:
                done, pending = await asyncio.wait(
                    pending,
                    timeout=max(0.0, deadline - self._clock()),
                    return_when=asyncio.FIRST_COMPLETED,
                )
                for call in done:
                    reply = call.result()
                    if isinstance(reply, Failure):
                        continue
                    replies[calls[call]] = reply
                    if is_sufficient is not None and is_sufficient(reply):
                        deadline = min(deadline, self._clock() + OWNER_REPLY_GRACE)
        finally:
            for call in pending:
                call.cancel()
        return replies
