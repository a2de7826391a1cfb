"""Asks every other instance to refuse a claim key."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.core.claims import VoidAnswer
from sapphireledge.errors import Failure

if TYPE_CHECKING:
    from sapphireledge.peers import PeerMesh
    from sapphireledge.settings import ClaimSettings

__all__ = ["VoidPeers"]


class VoidPeers:
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
        """Asks all known instances, see `VoidKeys`."""
        members = self._mesh.members
        if not members:
            return None
        own = self._mesh.own.name
        others = [member.name for member in members if member.name != own]
        return tuple(await asyncio.gather(*(self._ask(name, claim_key) for name in others)))

    async def _ask(self, name: str, claim_key: str) -> VoidAnswer | None:
        """Asks one instance."""
        reply = await self._mesh.call(name, "void_key", claim_key, timeout=self._cfg.void_timeout)
        if isinstance(reply, Failure):
            return None
        return VoidAnswer(bool(reply.voided), reply.since_unix)
