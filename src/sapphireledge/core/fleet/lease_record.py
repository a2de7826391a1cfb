"""Stored lease for sending orders."""

from __future__ import annotations

import msgspec

__all__ = ["LEASE_PREFIX", "LeaseRecord", "lease_key"]

LEASE_PREFIX = "leases/fleet-"
"""Key prefix of all order leases."""


class LeaseRecord(msgspec.Struct, frozen=True):
    """Stored order lease of one data centre."""

    holder: str
    """Name of the instance that may send orders."""

    nonce: str
    """Unique text that identifies one acquisition of the lease."""

    renewal: int = 0
    """Number of the renewal, 0 for the acquiring write; never reused within an acquisition."""

    def encode(self) -> bytes:
        """Encodes the lease.

        Returns:
            The lease as JSON.
        """
        return msgspec.json.encode(self)

    @classmethod
    def decode(cls, value: bytes) -> LeaseRecord | None:
        """Decodes a stored value.

        Args:
            value: The stored value.

        Returns:
            The lease, or None if the value is not a valid lease.
        """
        try:
            return msgspec.json.decode(value, type=cls)
        except (msgspec.DecodeError, RecursionError):
            return None


def lease_key(data_centre: str) -> str:
    """Builds the object key of the lease of a data centre.

    Args:
        data_centre: Name of the data centre.

    Returns:
        The object key.
    """
    return f"{LEASE_PREFIX}{data_centre}"
