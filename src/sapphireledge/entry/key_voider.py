"""Interface for asking the other entries to void a claim key."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from sapphireledge.core.claims import VoidAnswer

__all__ = ["KeyVoider"]


class KeyVoider(Protocol):
    """Asks the other entries to void a claim key, as proof that no call with it ran there."""

    async def void(self, claim_key: str) -> tuple[VoidAnswer | None, ...] | None:
        """Asks every other entry known to this one.

        Args:
            claim_key: Object key of the claim.

        Returns:
            One answer for each entry, None for an entry that did not answer; None instead of the
            tuple if the set of entries is not reliably known.
        """
        ...
