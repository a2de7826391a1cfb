"""Stored record of a request that runs at most once."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from sapphireledge.core.claims.service_outcome import ServiceOutcome
from sapphireledge.errors import ErrorKind, Failure, Ran

__all__ = ["Claim", "ClaimState"]


class ClaimState(StrEnum):
    """What is known about the run of a claimed request."""

    CLAIMED = "claimed"
    """The creator of the claim may run it."""

    DONE = "done"
    """It ran and the service answered."""

    NOT_RUN = "not_run"
    """It did not run and never will."""

    UNKNOWN = "unknown"
    """It may have run."""


class Claim(msgspec.Struct, frozen=True, omit_defaults=True):
    """Stored record of a request that runs at most once."""

    state: ClaimState
    """What is known about the run."""

    holder: str
    """Name of the instance that created the claim; no other one runs it."""

    nonce: str
    """Text that identifies the creation of the claim and that every later version repeats."""

    request_hash: str
    """Hash of the request, which tells another request under the same key."""

    lease_end_unix: float = 0.0
    """Wall-clock time after which the creator does not start the run, in seconds."""

    timeout: float = 0.0
    """Time limit of the run in seconds."""

    status: int = 0
    """HTTP status of the service if done."""

    content_type: str = ""
    """Content type of the service's answer."""

    body: bytes = b""
    """Body of the service's answer."""

    body_omitted: bool = False
    """Whether the body exceeded the limit and was not stored."""

    kind: str = ""
    """Error kind if it did not run or the outcome is unknown."""

    reason: str = ""
    """Reason for the caller if it did not run or the outcome is unknown."""

    def encode(self) -> bytes:
        """Encodes the record.

        Returns:
            The record as JSON.
        """
        return msgspec.json.encode(self)

    @classmethod
    def decode(cls, value: bytes) -> Claim | None:
        """Decodes a stored record.

        Args:
            value: The stored value.

        Returns:
            The record, or None if the value is none.
        """
        try:
            return msgspec.json.decode(value, type=cls)
        except msgspec.DecodeError:
            return None

    def latest_run_end_unix(self) -> float:
        """Time at which a run of the creator has ended unless the creator was paused.

        Returns:
            Wall-clock time in seconds.
        """
        return self.lease_end_unix + self.timeout

    def with_outcome(self, result: ServiceOutcome | Failure, limit: int) -> Claim:
        """Adds what became of the run.

        Args:
            result: The service's answer or a failure.
            limit: Largest stored body in bytes.

        Returns:
            The record with its final state.
        """
        if isinstance(result, Failure):
            state = ClaimState.NOT_RUN if result.ran is Ran.NO else ClaimState.UNKNOWN
            return msgspec.structs.replace(
                self, state=state, kind=result.kind.value, reason=result.reason
            )
        fits = len(result.body) <= limit
        return msgspec.structs.replace(
            self,
            state=ClaimState.DONE,
            status=result.status,
            content_type=result.content_type,
            body=result.body if fits else b"",
            body_omitted=not fits,
        )

    def result(self) -> ServiceOutcome | Failure | None:
        """The answer for a repeated call.

        Returns:
            The recorded answer or failure, None if the record has no outcome yet.
        """
        if self.state is ClaimState.CLAIMED:
            return None
        if self.state is ClaimState.DONE:
            return ServiceOutcome(
                self.status, self.content_type, self.body, self.body_omitted, repeated=True
            )
        ran = Ran.NO if self.state is ClaimState.NOT_RUN else Ran.UNKNOWN
        return Failure(ErrorKind(self.kind), self.reason, ran)
