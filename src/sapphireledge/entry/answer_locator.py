"""Finds the answer that a caller asks for, in this instance or another one."""

from __future__ import annotations

import time
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import msgspec
import structlog

from sapphireledge.core.answer import AnswerDigest, AnswerEnd, EventId, verify_position, verify_text
from sapphireledge.entry.answer_header import AnswerHeader
from sapphireledge.entry.caller_request import ResumePoint
from sapphireledge.entry.keyed_locks import KeyedLocks
from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.telemetry import LogEvent

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence
    from typing import Any

    from opentelemetry.context import Context

    from sapphireledge.entry.answer_registry import AnswerRegistry
    from sapphireledge.entry.answer_runner import AnswerRunner
    from sapphireledge.entry.caller_request import CallerRequest
    from sapphireledge.entry.copy_store import CopyStore
    from sapphireledge.peers import PeerMesh, PeerQueries
    from sapphireledge.settings import Settings

__all__ = ["AnswerLocator", "LocatedAnswer", "RemoteAnswer", "id_reuse_failure"]

FIND_TIMEOUT_NEW = 0.15
"""Seconds for the search before a generation that is probably new."""

FIND_TIMEOUT_RECONNECT = 1.0
"""Seconds for the search for an answer that the caller has begun to read."""

TAKE_OVER_TIMEOUT = 1.0
"""Seconds for the answer of the holder of a copy."""

MAX_LOCATE_ROUNDS = 3
"""Owners that are followed when the ownership changes during the search."""


@dataclass(frozen=True, slots=True)
class RemoteAnswer:
    """An answer that is read through its owner."""

    instance: str
    """Name of the owner."""

    version: str
    """Model version of the answer, empty if the owner has to be asked."""


@dataclass(frozen=True, slots=True)
class LocatedAnswer:
    """Where an answer is read."""

    source: AnswerRunner | RemoteAnswer
    """Runner in this instance, or the owner."""

    is_new: bool
    """Whether this call started the generation."""


class AnswerLocator:
    """Finds the answer that a caller asks for, takes it over, or starts it."""

    def __init__(
        self,
        cfg: Settings,
        registry: AnswerRegistry,
        copies: CopyStore,
        mesh: PeerMesh,
        queries: PeerQueries,
        versions_of: Callable[[str], Iterable[str]],
    ) -> None:
        """Creates the locator.

        Args:
            cfg: Settings of the instance.
            registry: Answers that this instance owns.
            copies: Copies that this instance holds for others.
            mesh: Links to other instances.
            queries: Questions to all instances.
            versions_of: Versions of a model that can have generated a text.
        """
        self._cfg = cfg
        self._registry = registry
        self._copies = copies
        self._mesh = mesh
        self._queries = queries
        self._versions_of = versions_of
        self._locks = KeyedLocks()
        self._log = structlog.get_logger()

    async def locate(
        self, req: CallerRequest, has_caller_id: bool, trace: Context | None
    ) -> LocatedAnswer | Failure:
        """Finds or starts the answer of a request.

        Args:
            req: The request.
            named: Whether the caller chose the request id, so that the answer may exist.
            trace: Trace context of the request.

        Returns:
            Where to read, or why the answer cannot go on.
        """
        if not has_caller_id:
            return LocatedAnswer(self._registry.start(req, trace), True)
        async with self._locks.hold(req.answer_id):
            return await self._locate_existing(req, trace)

    async def _locate_existing(
        self, req: CallerRequest, trace: Context | None
    ) -> LocatedAnswer | Failure:
        """Finds or starts an answer whose id the caller chose."""
        for _ in range(MAX_LOCATE_ROUNDS):
            runner = self._registry.get(req.answer_id)
            if runner is not None and runner.request.fingerprint != req.fingerprint:
                return id_reuse_failure()
            if runner is not None and not runner.has_moved:
                if not await self._is_superseded(runner, req.answer_id):
                    return LocatedAnswer(runner, False)
                runner.mark_moved("another instance continues the answer")
            found = await self._find_remote(req, trace)
            if found is not None:
                return found
        return self._start(req, trace)

    async def _is_superseded(self, runner: AnswerRunner, answer_id: str) -> bool:
        """Asks whether another instance owns the answer in a later epoch.

        An owner that was cut off may not have heard of it, and would go on with a generation that
        the caller no longer reads.
        """
        found = await self._queries.find_answer(answer_id, FIND_TIMEOUT_NEW)
        location = found.location
        return location is not None and location.epoch > runner.answer.epoch

    async def _find_remote(
        self, req: CallerRequest, trace: Context | None
    ) -> LocatedAnswer | Failure | None:
        """Asks the other instances; None if nobody knows the answer or the owner changed."""
        timeout = FIND_TIMEOUT_NEW if req.resume is None else FIND_TIMEOUT_RECONNECT
        found = await self._queries.find_answer(req.answer_id, timeout)
        location, holder = found.location, found.instance
        own_copy = self._copies.locate(req.answer_id)
        if own_copy is not None and (location is None or own_copy.epoch > location.epoch):
            location, holder = own_copy, self._cfg.instance
        if location is None:
            return self._start(req, trace)
        if location.owner and holder != self._cfg.instance:
            return LocatedAnswer(RemoteAnswer(holder, ""), False)
        return await self._take_over(req, trace, holder, location.epoch)

    async def _take_over(
        self, req: CallerRequest, trace: Context | None, holder: str, epoch: int
    ) -> LocatedAnswer | Failure | None:
        """Asks the holder of a copy for the ownership."""
        own_name = self._cfg.instance
        if holder == own_name:
            outcome: Any = self._copies.take_over(req.answer_id, epoch, own_name)
        else:
            outcome = await self._mesh.call(
                holder, "take_over", req.answer_id, epoch, own_name, timeout=TAKE_OVER_TIMEOUT
            )
        if isinstance(outcome, Failure):
            return None
        if not outcome.granted:
            if outcome.owner_instance and outcome.owner_instance != own_name:
                return LocatedAnswer(RemoteAnswer(outcome.owner_instance, ""), False)
            return None
        return self._adopt(req, trace, outcome)

    def _adopt(
        self, req: CallerRequest, trace: Context | None, outcome: Any
    ) -> LocatedAnswer | Failure:
        """Goes on with an answer that was taken over."""
        try:
            header = AnswerHeader.decode(outcome.header)
        except msgspec.DecodeError as exc:
            return Failure(ErrorKind.ANSWER_LOST, f"the copy has no valid header: {exc}", Ran.YES)
        original = header.to_request(req)
        if original.fingerprint != req.fingerprint:
            return id_reuse_failure()
        pieces = tuple(outcome.pieces)
        mismatch = self.check_position(req, header.version, pieces)
        if mismatch is not None and mismatch.kind is ErrorKind.ANSWER_LOST:
            restored = self._restore_from_caller(req)
            if isinstance(restored, tuple):
                version, pieces = restored
                mismatch = None if version == header.version else mismatch
        if mismatch is not None:
            return mismatch
        self._log.info(
            LogEvent.ANSWER_TAKEN_OVER,
            request_id=req.request_id,
            epoch=outcome.epoch,
            offset=len(pieces),
        )
        if outcome.finish:
            end = AnswerEnd.parse(outcome.finish)
            runner = self._registry.adopt_ended(
                original, end, outcome.epoch, header.version, pieces
            )
        else:
            runner = self._registry.start(
                original, trace, epoch=outcome.epoch, version=header.version, pieces=pieces
            )
        return LocatedAnswer(runner, False)

    def _start(self, req: CallerRequest, trace: Context | None) -> LocatedAnswer | Failure:
        """Starts an answer that nobody knows, or goes on from the text that the caller has."""
        if req.resume is None or req.resume.offset == 0:
            return LocatedAnswer(self._registry.start(req, trace), True)
        restored = self._restore_from_caller(req)
        if isinstance(restored, Failure):
            return restored
        version, pieces = restored
        # An epoch from the clock is above any that was counted from 1, so that an earlier owner
        # that still runs is superseded at every holder of a copy.
        runner = self._registry.start(
            req, trace, epoch=time.time_ns() // 1_000_000, version=version, pieces=pieces
        )
        return LocatedAnswer(runner, False)

    def _restore_from_caller(self, req: CallerRequest) -> tuple[str, tuple[str, ...]] | Failure:
        """Proves the text that the caller handed back."""
        point = req.resume
        assert point is not None
        if point.received is None:
            reason = f"no copy reaches token {point.offset}; hand back the text to go on"
            return Failure(ErrorKind.ANSWER_LOST, reason, Ran.YES)
        verified = verify_text(
            self._cfg.fleet_secret,
            req.answer_id,
            self._versions_of(req.model),
            EventId(point.offset, point.digest),
            point.received,
        )
        if isinstance(verified, Failure):
            return Failure(verified.kind, verified.reason, Ran.YES)
        return verified.version, verified.prefix.to_pieces()

    async def relocate(
        self, req: CallerRequest, version: str, pieces: tuple[str, ...]
    ) -> LocatedAnswer | Failure:
        """Finds the answer again after the owner that it was read through failed.

        Args:
            req: The request.
            version: Model version of the answer.
            pieces: Tokens read so far.

        Returns:
            Where to read on, or why the answer cannot go on.
        """
        if pieces:
            digest = AnswerDigest(self._cfg.fleet_secret, req.answer_id, version)
            for piece in pieces:
                digest.update(piece)
            position = digest.event_id()
            point = ResumePoint(position.offset, position.digest, "".join(pieces))
            req = replace(req, resume=point)
        async with self._locks.hold(req.answer_id):
            return await self._locate_existing(req, None)

    def check_position(
        self, req: CallerRequest, version: str, pieces: Sequence[str]
    ) -> Failure | None:
        """Checks the caller's position against an answer.

        Args:
            req: The request.
            version: Model version of the answer.
            pieces: Tokens of the answer.

        Returns:
            None if the caller read this answer, otherwise why it cannot go on.
        """
        if req.resume is None or req.resume.offset == 0:
            return None
        position = EventId(req.resume.offset, req.resume.digest)
        failure = verify_position(self._cfg.fleet_secret, req.answer_id, version, position, pieces)
        if failure is None:
            return None
        return Failure(failure.kind, failure.reason, Ran.YES)


def id_reuse_failure() -> Failure:
    """Makes the refusal of a request whose id belongs to an answer to another request.

    Returns:
        The failure; this call ran nothing.
    """
    reason = "X-Request-Id: was used for a request with other content"
    return Failure(ErrorKind.INVALID_REQUEST, reason, Ran.NO)
