"""Claim of an instance to own an answer."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["OwnerClaim"]


@dataclass(frozen=True, slots=True)
class OwnerClaim:
    """Claim of an instance to own an answer.

    Two instances that could not reach each other may both generate an answer under one request id.
    Every instance ranks their claims alike, so that all of them keep the same generation.
    """

    epoch: int
    """Epoch of the ownership."""

    instance: str
    """Name of the instance."""

    def outranks(self, other: OwnerClaim) -> bool:
        """Whether the answer of this claim is kept rather than that of another instance.

        Args:
            other: Claim to the same answer.

        Returns:
            Whether the epoch is higher, or equal with a greater name; False for the same instance
            and epoch.
        """
        return (self.epoch, self.instance) > (other.epoch, other.instance)
