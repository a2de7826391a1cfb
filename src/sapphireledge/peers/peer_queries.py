"""Questions to many entries at once."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.errors import Failure
from sapphireledge.peers.found_answer import FoundAnswer
from sapphireledge.peers.void_result import VoidResult

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from sapphireledge.peers.peer_caller import PeerCaller

__all__ = ["PeerQueries"]

OWNER_REPLY_GRACE = 0.05
"""Seconds for further replies after an owner replied: one that was paused may no longer own."""

LOCAL_TIMEOUT_SHARE = 0.5
"""Share of the time limit after which other data centres are asked too."""

VOID_TIMEOUT = 0.3
"""Seconds for the promises of all entries."""


class PeerQueries:
    """Asks all entries about an answer or a claim key, each question within a time limit."""

    def __init__(self, caller: PeerCaller, clock: Callable[[], float]) -> None:
        """Prepares the queries.

        Args:
            caller: Known entries and calls to them, usually the mesh.
            clock: Monotonic clock in seconds.
        """
        self._caller = caller
        self._clock = clock

    async def find_answer(self, request_id: str, timeout: float) -> FoundAnswer:
        """Looks for an answer in the own data centre, then in the others.

        The entry with the highest epoch wins, then the owner, then the longest copy.

        Args:
            request_id: Id of the request.
            timeout: Seconds for the whole search.

        Returns:
            Where the answer is. The own store is not asked.
        """
        own = self._caller.own
        others = [member for member in self._caller.members if member.name != own.name]
        local = [member.name for member in others if member.data_centre == own.data_centre]
        remote = [member.name for member in others if member.data_centre != own.data_centre]
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

    async def void_key(self, claim_key: str, key_time_unix: float) -> VoidResult:
        """Asks all known entries to refuse a claim key that they have not received.

        Args:
            claim_key: The key.
            key_time_unix: Time that the key carries, in Unix seconds. An entry that started later
                cannot know whether it received the key before.

        Returns:
            Whether all promised. The own entry is not asked.
        """
        names = [m.name for m in self._caller.members if m.name != self._caller.own.name]
        replies = await self._call_all(names, "void_key", claim_key, timeout=VOID_TIMEOUT)
        declined = tuple(
            name
            for name in names
            if name in replies and not _has_voided(replies[name], key_time_unix)
        )
        unresponsive = tuple(name for name in names if name not in replies)
        return VoidResult(not declined and not unresponsive, declined, unresponsive)

    async def _find_in(self, names: list[str], request_id: str, timeout: float) -> FoundAnswer:
        """Asks some entries about an answer."""
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
        best = max(found, key=lambda name: _location_order(found[name]))
        return FoundAnswer(best, found[best], complete)

    async def _call_all(
        self,
        names: list[str],
        method: str,
        *args: Any,
        timeout: float,
        is_sufficient: Callable[[Any], bool] | None = None,
    ) -> dict[str, Any]:
        """Calls some entries at the same time.

        Args:
            names: Names of the entries.
            method: Method of the peer service.
            *args: Arguments in the order of the schema.
            timeout: Seconds for all replies.
            enough: Tells whether a reply leaves only the grace for the others.

        Returns:
            The replies that arrived, without failures.
        """
        calls = {
            asyncio.create_task(self._caller.call(name, method, *args, timeout=timeout)): name
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


def _location_order(location: Any) -> tuple[int, bool, int]:
    """Orders the locations of one answer."""
    return location.epoch, location.owner, location.stored


def _has_voided(reply: Any, key_time_unix: float) -> bool:
    """Tells whether an entry promised and has run since before the time of the key."""
    return reply.voided and reply.since_unix <= key_time_unix
