"""Voids claim keys on all other instances."""

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
    """Implements `KeyVoider` over the peer mesh."""

    def __init__(self, cfg: ClaimSettings, mesh: PeerMesh) -> None:
        """Creates the voider.

        Args:
            cfg: Settings of claims.
            mesh: Connections to the other entry instances.
        """
        self._cfg = cfg
        self._mesh = mesh

    async def void(self, claim_key: str) -> tuple[VoidAnswer | None, ...] | None:
        """Asks all known instances, see `KeyVoider`.

        After a partition, a peer may list an instance that is missing from the list here. That
        instance may have received the key, so nothing can be proven and the result is None.
        """
        members = {member.name for member in self._mesh.members}
        if not members:
            return None
        others = sorted(members - {self._mesh.local_member.name})
        replies = await asyncio.gather(*(self._request_void(name, claim_key) for name in others))
        known = {name for reply in replies if reply is not None for name in reply.entries}
        if not known <= members:
            return None
        return tuple(
            None if reply is None else VoidAnswer(bool(reply.voided), reply.since_unix)
            for reply in replies
        )

    async def _request_void(self, name: str, claim_key: str) -> Any | None:
        """Asks one instance; returns its VoidReply, or None if the call failed."""
        reply = await self._mesh.call(name, "void_key", claim_key, timeout=self._cfg.void_timeout)
        return None if isinstance(reply, Failure) else reply
