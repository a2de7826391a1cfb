"""Reader of an answer that another instance owns."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from sapphireledge.core.answer import AnswerDigest, AnswerEnd
from sapphireledge.entry.answer_locator import RemoteAnswer, create_id_reuse_failure
from sapphireledge.entry.caller_request import ResumePoint
from sapphireledge.entry.local_reader import LocalReader
from sapphireledge.errors import ErrorKind, Failure, Ran

if TYPE_CHECKING:
    from collections.abc import Sequence
    from typing import Any

    from sapphireledge.entry.caller_request import CallerRequest
    from sapphireledge.entry.entry_parts import EntryParts

__all__ = ["RemoteReader"]

READ_WAIT = 1.0
"""Seconds for which one `read_answer` call waits for a token."""

FINAL_KINDS = frozenset(
    {ErrorKind.ANSWER_DIVERGED, ErrorKind.ANSWER_LOST, ErrorKind.INVALID_REQUEST}
)
"""Refusals by a new owner after which no other one is looked for."""

REPLY_MARGIN = 0.5
"""Seconds added to the wait as the timeout of a call, after which the owner counts as lost."""


class RemoteReader:
    """Reads an answer from its owner; if the owner fails, switches to another or takes over."""

    def __init__(self, parts: EntryParts, instance: str) -> None:
        """Creates the reader; `open` starts reading.

        Args:
            parts: Components of the instance.
            instance: Name of the instance that owns the answer.
        """
        self._parts = parts
        self._owner = instance
        self._answer_id = ""
        self._pieces: list[str] = []
        self._end: AnswerEnd | None = None
        self._next: LocalReader | RemoteReader | None = None
        self._req: CallerRequest | None = None
        self.version = ""
        self.software: str | None = None

    async def open(self, req: CallerRequest, offset: int) -> Failure | None:
        """Reads the existing tokens from the owner and checks the caller's position.

        Args:
            req: The request of this connection.
            offset: Number of tokens that the caller has.

        Returns:
            None, or why reading cannot continue from there.
        """
        self._req = req
        self._answer_id = req.answer_id
        failure = await self._read(0.0)
        if failure is not None:
            return failure
        while len(self._pieces) < offset and self._end is None:
            previous_count = len(self._pieces)
            failure = await self._read(READ_WAIT)
            if failure is not None or len(self._pieces) == previous_count:
                break
        if failure is not None:
            return failure
        return self._parts.locator.check_position(req, self.version, self.software, self._pieces)

    async def wait(self, offset: int) -> None:
        """Waits for the token at an offset, or for the end of the answer.

        Args:
            offset: Number of tokens already read.
        """
        while self.available <= offset and not self.is_drained:
            if self._next is not None:
                await self._next.wait(offset)
                return
            failure = await self._read(READ_WAIT)
            if failure is not None:
                await self._replace_owner()

    def pieces(self, start: int, stop: int | None) -> Sequence[str]:
        """Returns the tokens of a range that are available for delivery.

        Args:
            start: Offset of the first token.
            stop: Offset after the last token, None for all available ones.

        Returns:
            One text for each token.
        """
        if self._next is not None:
            return self._next.pieces(start, stop)
        return self._pieces[start:stop]

    def close(self) -> None:
        """Stops reading; a remote owner detects this by the absence of further calls."""
        if self._next is not None:
            self._next.close()

    @property
    def available(self) -> int:
        """Number of tokens available for delivery."""
        return self._next.available if self._next is not None else len(self._pieces)

    @property
    def is_drained(self) -> bool:
        """Whether the answer has ended and no further token becomes available."""
        return self._next.is_drained if self._next is not None else self._end is not None

    @property
    def failure(self) -> Failure | None:
        """Why the answer ended early; None while it is running or if it completed."""
        if self._next is not None:
            return self._next.failure
        return self._end.failure if self._end is not None else None

    @property
    def finish_reason(self) -> str:
        """Finish reason of an answer that completed."""
        if self._next is not None:
            return self._next.finish_reason
        return self._end.reason if self._end is not None else ""

    async def _read(self, wait: float) -> Failure | None:
        """Reads further tokens with one call to the owner."""
        part: Any = await self._parts.mesh.call(
            self._owner,
            "read_answer",
            self._answer_id,
            len(self._pieces),
            wait,
            timeout=wait + REPLY_MARGIN,
        )
        if isinstance(part, Failure):
            return part
        if self._req is not None and part.fingerprint != self._req.fingerprint:
            return create_id_reuse_failure()
        if part.offset != len(self._pieces):
            return Failure(ErrorKind.INTERNAL, "the owner returned tokens for another offset")
        self.version = part.version or self.version
        self.software = part.software if part.pieces else self.software
        self._pieces.extend(part.pieces)
        if part.finish:
            end = AnswerEnd.parse(part.finish)
            moved = end.failure is not None and end.failure.kind is ErrorKind.ANSWER_MOVED
            if moved:
                return end.failure
            self._end = end
        return None

    async def _replace_owner(self) -> None:
        """Switches to the new owner after the old one failed, or takes over the answer."""
        assert self._req is not None
        req = self._add_position(self._req)
        located = await self._parts.locator.relocate(req)
        if isinstance(located, Failure):
            self._end_early(located)
            return
        source = located.source
        is_remote = isinstance(source, RemoteAnswer)
        reader: LocalReader | RemoteReader
        if is_remote:
            reader = RemoteReader(self._parts, source.instance)
        else:
            reader = LocalReader(self._parts, source)
        # The new owner may generate another answer under the same id, or have a shorter copy.
        refused = await reader.open(req, len(self._pieces))
        if refused is None:
            self._next = reader
        elif not is_remote or refused.kind in FINAL_KINDS:
            self._end_early(refused)

    def _add_position(self, req: CallerRequest) -> CallerRequest:
        """Adds what was read to the request, as if the caller sent it back."""
        if not self._pieces:
            return req
        secret = self._parts.cfg.fleet_secret
        digest = AnswerDigest(secret, req.answer_id, self.version, self.software or "")
        for piece in self._pieces:
            digest.update(piece)
        position = digest.event_id()
        point = ResumePoint(position.offset, position.digest, "".join(self._pieces))
        return replace(req, resume=point)

    def _end_early(self, failure: Failure) -> None:
        """Ends the answer for the caller."""
        ran = Ran.YES if self._pieces else failure.ran
        self._end = AnswerEnd("", Failure(failure.kind, failure.reason, ran))
