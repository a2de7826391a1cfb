"""Decisions of a claim machine."""

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
    """Write the claim and report the result to `on_written`."""

    key: str
    """Object key of the claim."""

    value: bytes
    """Encoded claim."""

    expect_version: int
    """Version that the stored claim must have for the write; 0 if it must not exist."""


@dataclass(frozen=True, slots=True)
class ReadClaim:
    """Read the claim and report the result to `on_read`."""

    key: str
    """Object key of the claim."""


@dataclass(frozen=True, slots=True)
class Wait:
    """Wait, then call `on_tick`."""

    until: float
    """Monotonic time in seconds at which the wait ends."""


@dataclass(frozen=True, slots=True)
class DispatchOnce:
    """Send the request to one backend server and report the result to `on_service`."""

    avoid: frozenset[str]
    """Backend servers to which the request could not be sent."""

    not_after: float
    """Monotonic time in seconds after which the request must not be sent."""


@dataclass(frozen=True, slots=True)
class ProveNotRun:
    """Ask all entries to void the key and report the result to `on_proof`."""

    key: str
    """Object key of the claim."""


@dataclass(frozen=True, slots=True)
class RecordOutcome:
    """Record the outcome of the run in the background, with retries until it succeeds."""

    key: str
    """Object key of the claim."""

    claim: Claim
    """Claim in its final state."""

    version: int
    """Version of the stored claim; 0 if it is unknown whether the claim exists."""


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer the caller; decided exactly once."""

    result: ServiceOutcome | Failure
    """Response of the service, or a failure."""


ClaimDecision = WriteClaim | ReadClaim | Wait | DispatchOnce | ProveNotRun | RecordOutcome | Answer
"""Any decision of a claim machine."""
