"""Input of a claim machine: one call to be run at most once."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ClaimCall"]


@dataclass(frozen=True, slots=True)
class ClaimCall:
    """Input of a claim machine: one call to be run at most once."""

    claim_key: str
    """Object key of the claim."""

    holder: str
    """Name of this instance."""

    nonce: str
    """Unique text that identifies the call."""

    request_hash: str
    """Hash of the request."""

    deadline: float
    """Monotonic time in seconds by which the caller expects a response."""

    service_timeout: float
    """Time limit of the run in seconds."""

    voided: bool = False
    """Whether this instance has promised never to run the key."""

    proven: bool = False
    """Whether the voided key is proven not to have run on any instance."""
