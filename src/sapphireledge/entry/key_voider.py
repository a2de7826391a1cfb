"""Interface to the other entries for the proof that a key did not run."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from sapphireledge.core.claims import VoidAnswer

__all__ = ["KeyVoider"]


class KeyVoider(Protocol):
    """Asks every other entry to void a key."""

    async def void(self, claim_key: str) -> tuple[VoidAnswer | None, ...] | None:
        """Asks every other entry that this one or any peer that answers knows of.

        Args:
            claim_key: Object key of the claim.

        Returns:
            One answer for each entry, None in place of one that did not answer; None as a whole if
            no list of entries is known.
        """
        ...
