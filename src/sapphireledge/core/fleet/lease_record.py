"""Stored lease for orders."""

from __future__ import annotations

import msgspec

__all__ = ["LEASE_PREFIX", "LeaseRecord", "lease_key"]

LEASE_PREFIX = "leases/fleet-"
"""Start of the keys of all leases for orders."""


class LeaseRecord(msgspec.Struct, frozen=True):
    """Stored lease for orders of one data centre."""

    holder: str
    """Name of the instance that may give orders."""

    nonce: str
    """Text that identifies one taking of the lease."""

    renewal: int = 0
    """Number of the renewal, 0 for the write that took the lease; never used twice."""

    def encode(self) -> bytes:
        """Encodes the lease.

        Returns:
            The value as JSON.
        """
        return msgspec.json.encode(self)

    @classmethod
    def decode(cls, value: bytes) -> LeaseRecord | None:
        """Decodes a stored value.

        Args:
            value: The stored value.

        Returns:
            The lease, or None if the value is none.
        """
        try:
            return msgspec.json.decode(value, type=cls)
        except msgspec.DecodeError:
            return None


def lease_key(data_centre: str) -> str:
    """Builds the object key of a lease.

    Args:
        data_centre: Name of the data centre.

    Returns:
        The object key.
    """
    return f"{LEASE_PREFIX}{data_centre}"
