"""Locates the answer to a request, in this instance or another one."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
import structlog

from sapphireledge.core.answer import (
    AnswerEnd,
    EventId,
    OwnerClaim,
    choose_first_epoch,
    verify_position,
    verify_text,
)
from sapphireledge.entry.answer_header import AnswerHeader
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

__all__ = ["AnswerLocator", "LocatedAnswer", "RemoteAnswer", "create_id_reuse_failure"]

FIND_TIMEOUT_NEW = 0.15
"""Timeout in seconds of the search when the answer probably does not exist yet."""

FIND_TIMEOUT_RECONNECT = 1.0
"""Timeout in seconds of the search for an answer that the caller has started to read."""

TAKE_OVER_TIMEOUT = 1.0
"""Timeout in seconds of a `take_over` call to the holder of a copy."""

MAX_LOCATE_ROUNDS = 3
"""Maximum number of searches when the ownership changes in the meantime."""


@dataclass(frozen=True, slots=True)
class RemoteAnswer:
    """An answer that another instance owns."""

    instance: str
    """Name of the owner."""

    version: str
    """Model version of the answer, empty if unknown."""


@dataclass(frozen=True, slots=True)
class LocatedAnswer:
    """Where to read an answer."""

    source: AnswerRunner | RemoteAnswer
    """Runner in this instance, or the remote answer."""

    is_new: bool
    """Whether the request started a new answer rather than continuing one."""


class AnswerLocator:
    """Locates the answer to a request, takes it over, or starts it."""

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
            copies: Copies of other instances' answers.
            mesh: Connections to the other entry instances.
            queries: Queries to all other instances.
            versions_of: Lists the versions of a model that may have generated a text.
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
        self, req: CallerRequest, caller_chose_id: bool, trace: Context | None
    ) -> LocatedAnswer | Failure:
        """Locates or starts the answer to a request.

        Args:
            req: The request.
            caller_chose_id: Whether the caller chose the request id, so that the answer may exist.
            trace: Trace context of the request.

        Returns:
            Where to read the answer, or why it cannot be continued.
        """
        if not caller_chose_id:
            return LocatedAnswer(self._registry.start(req, trace), True)
        async with self._locks.hold(req.answer_id):
            return await self._locate_by_id(req, trace)

    async def _locate_by_id(
        self, req: CallerRequest, trace: Context | None
    ) -> LocatedAnswer | Failure:
        """Locates or starts an answer whose request id the caller chose."""
        for _ in range(MAX_LOCATE_ROUNDS):
            runner = self._registry.get(req.answer_id)
            if runner is not None and runner.request.fingerprint != req.fingerprint:
                return create_id_reuse_failure()
            if runner is not None and not runner.has_moved:
                if not await self._is_superseded(runner, req.answer_id):
                    return LocatedAnswer(runner, False)
                runner.mark_moved("another instance continues the answer")
            found = await self._locate_in_fleet(req, trace)
            if found is not None:
                return found
        return self._start(req, trace, search_complete=False)

    async def _is_superseded(self, runner: AnswerRunner, answer_id: str) -> bool:
        """Queries whether the answer of another instance outranks the one generated here.

        An owner that was partitioned may not have been notified of the new owner, and would
        continue a generation that the caller no longer reads.
        """
        found = await self._queries.find_answer(answer_id, FIND_TIMEOUT_NEW)
        location = found.location
        if location is None:
            return False
        own_claim = OwnerClaim(runner.answer.epoch, self._cfg.instance)
        return OwnerClaim(location.epoch, location.owner_instance).outranks(own_claim)

    async def _locate_in_fleet(
        self, req: CallerRequest, trace: Context | None
    ) -> LocatedAnswer | Failure | None:
        """Queries the other instances and continues their answer or starts a new one.

        Returns None if the search must be repeated, see `_take_over`.
        """
        timeout = FIND_TIMEOUT_NEW if req.resume is None else FIND_TIMEOUT_RECONNECT
        found = await self._queries.find_answer(req.answer_id, timeout)
        location, holder = found.location, found.instance
        own_copy = self._copies.locate(req.answer_id)
        # A former partner keeps its copy, which ends where the owner lost touch with it.
        if own_copy is not None and found.is_outranked_by(own_copy):
            location, holder = own_copy, self._cfg.instance
        if location is None:
            return self._start(req, trace, found.complete)
        if location.owner and holder != self._cfg.instance:
            return LocatedAnswer(RemoteAnswer(holder, ""), False)
        return await self._take_over(req, trace, holder, location.epoch)

    async def _take_over(
        self, req: CallerRequest, trace: Context | None, holder: str, epoch: int
    ) -> LocatedAnswer | Failure | None:
        """Requests ownership from the holder of a copy.

        Returns None if the call failed, or if the holder neither granted the ownership nor named
        another owner.
        """
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
        """Continues an answer that was taken over."""
        try:
            header = AnswerHeader.decode(outcome.header)
        except msgspec.DecodeError as exc:
            return Failure(ErrorKind.ANSWER_LOST, f"the copy has no valid header: {exc}", Ran.YES)
        original = header.to_request(req)
        if original.fingerprint != req.fingerprint:
            return create_id_reuse_failure()
        pieces = tuple(outcome.pieces)
        software = outcome.software
        mismatch = self.check_position(req, header.version, software, pieces)
        if mismatch is not None and mismatch.kind is ErrorKind.ANSWER_LOST:
            restored = self._restore_from_caller(req)
            if isinstance(restored, tuple):
                version, text_software, pieces = restored
                is_same = version == header.version and software in (None, text_software or "")
                mismatch = None if is_same else mismatch
                software = text_software or software
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
                original, end, outcome.epoch, header.version, pieces, software
            )
        else:
            runner = self._registry.start(
                original,
                trace,
                epoch=outcome.epoch,
                version=header.version,
                software=software,
                pieces=pieces,
            )
        return LocatedAnswer(runner, False)

    def _start(
        self, req: CallerRequest, trace: Context | None, search_complete: bool
    ) -> LocatedAnswer | Failure:
        """Starts an answer that was not found, or continues from the text that the caller has."""
        if req.resume is None or req.resume.offset == 0:
            epoch = choose_first_epoch(search_complete, time.time())
            return LocatedAnswer(self._registry.start(req, trace, epoch=epoch), True)
        restored = self._restore_from_caller(req)
        if isinstance(restored, Failure):
            return restored
        version, software, pieces = restored
        epoch = choose_first_epoch(False, time.time())
        runner = self._registry.start(
            req, trace, epoch=epoch, version=version, software=software, pieces=pieces
        )
        return LocatedAnswer(runner, False)

    def _restore_from_caller(
        self, req: CallerRequest
    ) -> tuple[str, str | None, tuple[str, ...]] | Failure:
        """Verifies the text that the caller sent back and splits it into tokens.

        Returns the model version, the software version and the tokens.
        """
        point = req.resume
        assert point is not None
        if point.received is None:
            reason = f"no copy extends to token {point.offset}; send the received text to resume"
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
        return verified.version, verified.software, verified.prefix.to_pieces()

    async def relocate(self, req: CallerRequest) -> LocatedAnswer | Failure:
        """Locates the answer again after the owner from which it was read failed.

        Args:
            req: The request at the position behind the tokens read so far.

        Returns:
            Where to continue reading, or why the answer cannot be continued.
        """
        async with self._locks.hold(req.answer_id):
            return await self._locate_by_id(req, None)

    def check_position(
        self, req: CallerRequest, version: str, software: str | None, pieces: Sequence[str]
    ) -> Failure | None:
        """Checks the caller's resume position against an answer.

        Args:
            req: The request.
            version: Model version of the answer.
            software: Software version of the answer, None if it is not known.
            pieces: Tokens of the answer.

        Returns:
            None if the position belongs to this answer, otherwise why it cannot be continued.
        """
        if req.resume is None or req.resume.offset == 0:
            return None
        position = EventId(req.resume.offset, req.resume.digest)
        failure = verify_position(
            self._cfg.fleet_secret, req.answer_id, version, position, pieces, software
        )
        if failure is None:
            return None
        return Failure(failure.kind, failure.reason, Ran.YES)


def create_id_reuse_failure() -> Failure:
    """Creates the failure for a request id that was already used for a different request.

    Returns:
        The failure, which states that the request did not run.
    """
    reason = "X-Request-Id: was used for a request with other content"
    return Failure(ErrorKind.INVALID_REQUEST, reason, Ran.NO)
