"""Decisions of the claim machine."""

from __future__ import annotations

from dataclasses import dataclass

from sapphireledge.core.claims.claim import Claim
from sapphireledge.core.claims.service_outcome import ServiceOutcome
from sapphireledge.errors import Failure

__all__ = [
    "Answer",
    "ClaimDecision",
    "DispatchOnce",
    "ProveNotRun",
    "ReadClaim",
    "RecordOutcome",
    "Wait",
    "WriteClaim",
]


@dataclass(frozen=True, slots=True)
class WriteClaim:
    """Write the claim; answered by `on_written`."""

    key: str
    """Object key."""

    value: bytes
    """The encoded claim."""

    expect_version: int
    """Version that the object must have."""


@dataclass(frozen=True, slots=True)
class ReadClaim:
    """Read the claim; answered by `on_read`."""

    key: str
    """Object key."""


@dataclass(frozen=True, slots=True)
class Wait:
    """Do nothing for a while; answered by `on_tick`."""

    until: float
    """Monotonic time in seconds."""


@dataclass(frozen=True, slots=True)
class DispatchOnce:
    """Send the request to one backend server; answered by `on_service`."""

    avoid: frozenset[str]
    """Backend servers that refused the connection."""

    not_after: float
    """Monotonic time in seconds after which nothing may be sent any more."""


@dataclass(frozen=True, slots=True)
class ProveNotRun:
    """Ask every entry to void the key; answered by `on_proof`."""

    key: str
    """Object key."""


@dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Record what became of the run, in the background and until it succeeds."""

    key: str
    """Object key."""

    claim: Claim
    """The record with its final state."""

    version: int
    """Known version of the claim, 0 if it is not known whether the claim exists."""


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer the caller; comes exactly once."""

    result: ServiceOutcome | Failure
    """The answer or the refusal."""


ClaimDecision = WriteClaim | ReadClaim | Wait | DispatchOnce | ProveNotRun | RecordOutcome | Answer
"""Any decision of the claim machine."""
