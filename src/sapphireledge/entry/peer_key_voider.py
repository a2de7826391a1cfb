"""Asks every other instance to refuse a claim key."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.core.claims import VoidAnswer
from sapphireledge.errors import Failure

if TYPE_CHECKING:
    from typing import Any

    from sapphireledge.peers import PeerMesh
    from sapphireledge.settings import ClaimSettings

__all__ = ["PeerKeyVoider"]


class PeerKeyVoider:
    """Implements `VoidKeys` over the mesh."""

    def __init__(self, cfg: ClaimSettings, mesh: PeerMesh) -> None:
        """Creates the adapter.

        Args:
            cfg: Settings of claims.
            mesh: Links to other instances.
        """
        self._cfg = cfg
        self._mesh = mesh

    async def void(self, claim_key: str) -> tuple[VoidAnswer | None, ...] | None:
        """Asks all known instances, see `VoidKeys`.

        An instance that only a peer knows of, after a partition, may have received the key: then
        the entries are not known and nothing can be proven.
        """
        members = {member.name for member in self._mesh.members}
        if not members:
            return None
        others = sorted(members - {self._mesh.own.name})
        replies = await asyncio.gather(*(self._request_void(name, claim_key) for name in others))
        known = {name for reply in replies if reply is not None for name in reply.entries}
        if not known <= members:
            return None
        return tuple(
            None if reply is None else VoidAnswer(bool(reply.voided), reply.since_unix)
            for reply in replies
        )

    async def _request_void(self, name: str, claim_key: str) -> Any | None:
        """Asks one instance; returns its VoidReply."""
        reply = await self._mesh.call(name, "void_key", claim_key, timeout=self._cfg.void_timeout)
        return None if isinstance(reply, Failure) else reply
