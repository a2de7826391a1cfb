"""Claim on the execution of a request."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from sapphireledge.core.claims.service_outcome import ServiceOutcome
from sapphireledge.errors import ErrorKind, Failure, Ran

__all__ = ["Claim", "ClaimState"]


class ClaimState(StrEnum):
    """State of the run of a claimed request."""

    CLAIMED = "claimed"
    """The creator of the claim may run the request."""

    DONE = "done"
    """The request ran and the service responded."""

    NOT_RUN = "not_run"
    """The request did not run and never will."""

    UNKNOWN = "unknown"
    """The request may have run."""


class Claim(msgspec.Struct, frozen=True, omit_defaults=True):
    """Claim on the execution of a request, stored with its outcome; one per idempotency key."""

    state: ClaimState
    """State of the run."""

    holder: str
    """Name of the instance that created the claim; no other instance runs the request."""

    nonce: str
    """Unique text chosen by the creator of the claim; later versions of the claim keep it."""

    request_hash: str
    """Hash of the request, which detects the reuse of a key for a different request."""

    lease_end_unix: float = 0.0
    """Wall-clock time in seconds after which the creator does not start the run."""

    timeout: float = 0.0
    """Time limit of the run in seconds."""

    status: int = 0
    """HTTP status code of the service's response, if the state is `DONE`."""

    content_type: str = ""
    """Content type of the service's response."""

    body: bytes = b""
    """Body of the service's response."""

    body_omitted: bool = False
    """Whether the body was not stored because it exceeds the limit."""

    kind: str = ""
    """Error kind, if the state is `NOT_RUN` or `UNKNOWN`."""

    reason: str = ""
    """Error message for the caller, if the state is `NOT_RUN` or `UNKNOWN`."""

    def encode(self) -> bytes:
        """Encodes the claim.

        Returns:
            The claim as JSON.
        """
        return msgspec.json.encode(self)

    @classmethod
    def decode(cls, value: bytes) -> Claim | None:
        """Decodes a stored claim.

        Args:
            value: The stored value.

        Returns:
            The claim, or None if the value is not a valid claim.
        """
        try:
            return msgspec.json.decode(value, type=cls)
        except (msgspec.DecodeError, RecursionError):
            return None

    def latest_run_end_unix(self) -> float:
        """Computes the latest end of a run by the creator, unless the creator was paused.

        Returns:
            Wall-clock time in seconds.
        """
        return self.lease_end_unix + self.timeout

    def with_outcome(self, result: ServiceOutcome | Failure, limit: int) -> Claim:
        """Adds the outcome of the run.

        Args:
            result: Response of the service, or a failure.
            limit: Size limit of a stored body in bytes.

        Returns:
            The claim in its final state.
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
        """Returns the recorded outcome, which answers a repeated call.

        Returns:
            The recorded response or failure, or None if there is no outcome yet.
        """
        if self.state is ClaimState.CLAIMED:
            return None
        if self.state is ClaimState.DONE:
            return ServiceOutcome(
                self.status, self.content_type, self.body, self.body_omitted, repeated=True
            )
        ran = Ran.NO if self.state is ClaimState.NOT_RUN else Ran.UNKNOWN
        return Failure(ErrorKind(self.kind), self.reason, ran)
