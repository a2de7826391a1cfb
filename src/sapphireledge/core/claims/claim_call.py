"""One call that runs at most once, as the claim machine sees it."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ClaimCall"]


@dataclass(frozen=True, slots=True)
class ClaimCall:
    """One call that runs at most once, as the claim machine sees it."""

    claim_key: str
    """Object key of the claim."""

    holder: str
    """Name of this instance."""

    nonce: str
    """Text that no other call has."""

    request_hash: str
    """Hash of the request."""

    deadline: float
    """Monotonic time by which the caller wants an answer, in seconds."""

    service_timeout: float
    """Time limit of the run in seconds."""

    voided: bool = False
    """Whether this instance has promised not to run the key."""

    proven: bool = False
    """Whether it was proven that the voided key did not run."""
