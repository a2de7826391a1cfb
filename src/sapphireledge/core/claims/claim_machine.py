"""State machine for the at-most-once execution of a call."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from sapphireledge.core.claims.claim import Claim, ClaimState
from sapphireledge.core.claims.decisions import (
    Answer,
    DispatchOnce,
    ProveNotRun,
    ReadClaim,
    RecordOutcome,
    Wait,
    WriteClaim,
)
from sapphireledge.core.claims.service_outcome import ServiceOutcome
from sapphireledge.core.claims.service_reply import NoResponse, NotSent
from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.objects import WriteStatus

if TYPE_CHECKING:
    from sapphireledge.core.claims.claim_call import ClaimCall
    from sapphireledge.core.claims.decisions import ClaimDecision
    from sapphireledge.core.claims.service_reply import ServiceReply
    from sapphireledge.objects import StoredObject, WriteResult
    from sapphireledge.settings import ClaimSettings

__all__ = ["ClaimMachine"]


class _Phase(Enum):
    """Phase of a claim machine."""

    NEW = "new"
    """Not started."""

    CLAIMING = "claiming"
    """Creating the claim, or reading it back after a write that was not confirmed."""

    WAITING = "waiting"
    """Polling the claim of another call for its outcome."""

    EXPIRING = "expiring"
    """Marking the expired claim of another call as unknown."""

    PROVING = "proving"
    """Asking all entries to void the key."""

    RUNNING = "running"
    """Sending the request to a backend server and waiting for the response."""

    ENDED = "ended"
    """The result is final."""


class ClaimMachine:
    """State machine for the at-most-once execution of a call.

    Only the creator of a claim ever dispatches the request. Each event returns a list of decisions.
    `Answer` is returned exactly once; `RecordOutcome` may be returned after it.
    """

    def __init__(self, call: ClaimCall, cfg: ClaimSettings):
        self._call = call
        self._cfg = cfg
        self._phase = _Phase.NEW
        self._answered = False
        self._claim = Claim(ClaimState.CLAIMED, call.holder, call.nonce, call.request_hash)
        self._lease_end = 0.0
        self._other_run_end = 0.0
        self._write_conflicted = False
        self._version = 0
        self._other_claim: Claim | None = None
        self._avoid: frozenset[str] = frozenset()

    @property
    def is_settling(self) -> bool:
        """Whether it is still undecided which call creates the claim."""
        return self._phase is _Phase.CLAIMING

    def start(self, now: float, now_unix: float) -> list[ClaimDecision]:
        """Starts by writing the claim; the lease term starts now.

        Args:
            now: Monotonic time in seconds.
            now_unix: Wall-clock time in seconds.

        Returns:
            The decisions.
        """
        call = self._call
        self._lease_end = now + self._cfg.lease
        self._claim = Claim(
            ClaimState.CLAIMED,
            call.holder,
            call.nonce,
            call.request_hash,
            lease_end_unix=now_unix + self._cfg.lease,
            timeout=call.service_timeout,
        )
        if call.voided:
            self._claim = self._claim.with_outcome(_key_voided(Ran.NO), 0)
        self._phase = _Phase.CLAIMING
        return [self._write_claim()]

    def on_written(self, now: float, result: WriteResult) -> list[ClaimDecision]:
        """Handles the result of `WriteClaim`.

        Args:
            now: Monotonic time in seconds.
            result: Result of the write.

        Returns:
            The decisions.
        """
        if self._phase is _Phase.EXPIRING:
            return self._on_expiry_written(result)
        if self._phase is not _Phase.CLAIMING:
            return []
        if result.status is WriteStatus.WRITTEN:
            return self._on_claim_created(now, result.version)
        if result.status is WriteStatus.UNAVAILABLE:
            return self._abandon_claim()
        self._write_conflicted = result.status is WriteStatus.CONFLICT
        return [ReadClaim(self._call.claim_key)]

    def on_read(
        self, now: float, now_unix: float, found: StoredObject | Failure | None
    ) -> list[ClaimDecision]:
        """Handles the result of `ReadClaim`.

        Args:
            now: Monotonic time in seconds.
            now_unix: Wall-clock time in seconds.
            found: The stored claim, None if there is none, or a failure of the platform.

        Returns:
            The decisions.
        """
        if self._phase is _Phase.CLAIMING:
            return self._on_read_back(now, now_unix, found)
        if self._phase is not _Phase.WAITING:
            return []
        if isinstance(found, Failure):
            return self._wait(now)
        if found is None:
            return self._end(_outcome_unknown("the claim of the earlier call no longer exists"))
        return self._on_other_claim(now, now_unix, found)

    def on_tick(self, now: float) -> list[ClaimDecision]:
        """Handles the end of `Wait`.

        Args:
            now: Monotonic time in seconds.

        Returns:
            The decisions.
        """
        if self._phase is not _Phase.WAITING:
            return []
        if now >= self._call.deadline:
            return self._end(_outcome_unknown("an earlier call with the same key has not ended"))
        return [ReadClaim(self._call.claim_key)]

    def on_proof(self, proven: bool) -> list[ClaimDecision]:
        """Handles the result of `ProveNotRun`.

        Args:
            proven: Whether no entry has received the key from another call and all entries reject
                it from now on.

        Returns:
            The decisions.
        """
        if self._phase is not _Phase.PROVING:
            return []
        return self._end(_platform_unavailable(Ran.NO if proven else Ran.UNKNOWN))

    def on_service(self, now: float, reply: ServiceReply) -> list[ClaimDecision]:
        """Handles the end of a dispatch.

        Args:
            now: Monotonic time in seconds.
            reply: Result of the dispatch.

        Returns:
            The decisions.
        """
        if self._phase is not _Phase.RUNNING:
            return []
        if isinstance(reply, NotSent):
            self._avoid |= {reply.backend}
            return self._dispatch(now)
        if isinstance(reply, NoResponse):
            return self._record_and_end(
                _outcome_unknown(f"the connection to {reply.backend} broke: {reply.reason}")
            )
        return self._record_and_end(reply)

    def on_deadline(self) -> list[ClaimDecision]:
        """Answers the caller when its deadline passes during a dispatch; the run continues.

        Returns:
            The decisions.
        """
        if self._phase is not _Phase.RUNNING:
            return []
        return self._answer(_outcome_unknown("the service did not respond before the deadline"))

    def _write_claim(self) -> WriteClaim:
        """Creates the claim on condition that none exists."""
        return WriteClaim(self._call.claim_key, self._claim.encode(), 0)

    def _on_read_back(
        self, now: float, now_unix: float, found: StoredObject | Failure | None
    ) -> list[ClaimDecision]:
        """Determines which call created the claim."""
        if isinstance(found, Failure):
            return self._abandon_claim()
        if found is None and self._write_conflicted:
            return self._end(_outcome_unknown("the claim of an earlier call no longer exists"))
        if found is None:
            # The first write may still arrive. Both carry the same nonce and only one can succeed.
            return [self._write_claim()] if self._is_within_limits(now) else self._abandon_claim()
        stored = Claim.decode(found.value)
        if stored is not None and stored.nonce == self._call.nonce:
            return self._on_claim_created(now, found.version, stored)
        self._phase = _Phase.WAITING
        return self._on_other_claim(now, now_unix, found)

    def _on_claim_created(
        self, now: float, version: int, stored: Claim | None = None
    ) -> list[ClaimDecision]:
        """Continues as the creator of the claim."""
        self._version = version
        if self._call.voided:
            return self._end(_key_voided(Ran.NO))
        if stored is not None and stored.state is not ClaimState.CLAIMED:
            # Another entry marked the claim as expired. Nothing was sent, and nothing will be.
            return self._record_and_end(
                _not_run(
                    ErrorKind.PLATFORM_UNAVAILABLE, "another entry marked the claim as expired"
                )
            )
        self._phase = _Phase.RUNNING
        return self._dispatch(now)

    def _dispatch(self, now: float) -> list[ClaimDecision]:
        """Dispatches the request unless the lease or the deadline has passed."""
        if now >= self._lease_end:
            reason = "the lease of the claim expired before the request was sent"
            return self._record_and_end(_not_run(ErrorKind.PLATFORM_UNAVAILABLE, reason))
        if now >= self._call.deadline:
            reason = "the deadline passed before the request was sent"
            return self._record_and_end(_not_run(ErrorKind.DEADLINE_EXCEEDED, reason))
        return [DispatchOnce(self._avoid, min(self._lease_end, self._call.deadline))]

    def _on_other_claim(
        self, now: float, now_unix: float, found: StoredObject
    ) -> list[ClaimDecision]:
        """Handles a claim that another call created."""
        stored = Claim.decode(found.value)
        if stored is None:
            return self._end(_outcome_unknown("the claim of the earlier call cannot be decoded"))
        if stored.request_hash != self._call.request_hash:
            reason = "Idempotency-Key: was used for another request"
            return self._end(Failure(ErrorKind.INVALID_REQUEST, reason))
        result = stored.result()
        if result is not None:
            return self._end(result)
        if self._has_run_ended(now, now_unix, stored):
            self._phase = _Phase.EXPIRING
            self._other_claim = stored.with_outcome(
                _outcome_unknown("the claim expired without an outcome"), 0
            )
            return [WriteClaim(found.key, self._other_claim.encode(), found.version)]
        return self._wait(now)

    def _has_run_ended(self, now: float, now_unix: float, stored: Claim) -> bool:
        """Whether the run of another call must have ended, unless its holder was paused.

        The wall clock covers a call that arrives long after the claim was created; the time since
        the claim was first read covers an instance whose clock is behind. Neither decides who
        dispatches.
        """
        if self._other_run_end == 0.0:
            self._other_run_end = now + self._cfg.lease + stored.timeout
        return now >= self._other_run_end or now_unix >= stored.latest_run_end_unix()

    def _on_expiry_written(self, result: WriteResult) -> list[ClaimDecision]:
        """Answers "unknown" after the attempt to record it; reads again if the claim changed."""
        if result.status is WriteStatus.CONFLICT:
            self._phase = _Phase.WAITING
            return [ReadClaim(self._call.claim_key)]
        return self._end(_outcome_unknown("the claim expired without an outcome"))

    def _wait(self, now: float) -> list[ClaimDecision]:
        """Waits for the next poll, at most until the deadline."""
        if now >= self._call.deadline:
            return self.on_tick(now)
        return [Wait(min(now + self._cfg.poll_interval, self._call.deadline))]

    def _abandon_claim(self) -> list[ClaimDecision]:
        """Abandons a claim whose creation is unconfirmed; it is never dispatched after that."""
        if self._call.voided:
            return self._end(_key_voided(Ran.NO if self._call.proven else Ran.UNKNOWN))
        self._phase = _Phase.PROVING
        failure = _platform_unavailable(Ran.NO)
        claim = self._claim.with_outcome(failure, 0)
        return [
            RecordOutcome(self._call.claim_key, claim, 0),
            ProveNotRun(self._call.claim_key),
        ]

    def _record_and_end(self, result: ServiceOutcome | Failure) -> list[ClaimDecision]:
        """Records the outcome in the claim of this call and answers the caller."""
        claim = self._claim.with_outcome(result, self._cfg.max_outcome)
        record = RecordOutcome(self._call.claim_key, claim, self._version)
        return [record, *self._end(result)]

    def _end(self, result: ServiceOutcome | Failure) -> list[ClaimDecision]:
        """Enters the final phase and answers the caller."""
        self._phase = _Phase.ENDED
        return self._answer(result)

    def _answer(self, result: ServiceOutcome | Failure) -> list[ClaimDecision]:
        """Answers the caller unless it has been answered before."""
        if self._answered:
            return []
        self._answered = True
        return [Answer(result)]

    def _is_within_limits(self, now: float) -> bool:
        """Whether neither the lease nor the deadline has passed."""
        return now < min(self._lease_end, self._call.deadline)


def _outcome_unknown(reason: str) -> Failure:
    """Builds the failure of a call that may have run."""
    return Failure(ErrorKind.OUTCOME_UNKNOWN, f"{reason}; the request may have run", Ran.UNKNOWN)


def _not_run(kind: ErrorKind, reason: str) -> Failure:
    """Builds the failure of a call that created the claim but was never sent."""
    return Failure(kind, f"{reason}; nothing ran under this key, use a new one", Ran.NO)


def _platform_unavailable(ran: Ran) -> Failure:
    """Builds the failure of a call that could not confirm its claim."""
    if ran is Ran.NO:
        reason = "the claim could not be confirmed; nothing ran under this key, use a new one"
    else:
        reason = "this call ran nothing; whether an earlier call with the same key ran is unknown"
    return Failure(ErrorKind.PLATFORM_UNAVAILABLE, reason, ran)


def _key_voided(ran: Ran) -> Failure:
    """Builds the failure for a key that this instance has promised never to run."""
    if ran is Ran.NO:
        reason = "the key was voided; nothing ran under it, use a new one"
    else:
        reason = "the key was voided; this call ran nothing, whether an earlier one ran is unknown"
    return Failure(ErrorKind.PLATFORM_UNAVAILABLE, reason, ran)
