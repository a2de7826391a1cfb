"""Copies of answers that other entries own, and arbitration of their ownership."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from sapphireledge.core.answer.answer_copy import AnswerCopy
from sapphireledge.core.answer.append_outcome import NO_ROOM, AppendOutcome
from sapphireledge.core.answer.copy_location import CopyLocation
from sapphireledge.core.answer.copy_part import CopyPart
from sapphireledge.core.answer.piece_store import PieceStore
from sapphireledge.core.answer.take_over_outcome import TakeOverOutcome

if TYPE_CHECKING:
    from sapphireledge.core.answer.copy_append import CopyAppend

__all__ = ["OwnershipTable"]

COPY_OVERHEAD = 1_000
"""Bytes of a copy besides texts, header and events: objects and table entries."""

IDLE_RETENTION = 600.0
"""Seconds without an append after which an unfinished copy expires; its owner is presumed dead."""

EPOCH_RETENTION = 600.0
"""Seconds for which the epoch of a dropped copy is retained, to reject a paused former owner."""

MAX_RETAINED_EPOCHS = 20_000
"""Maximum number of retained epochs of dropped copies, about 150 bytes each."""


class OwnershipTable:
    """Copies of answers that other entries own.

    The holder arbitrates the ownership of these answers: of all requesters that name the current
    epoch, exactly one is granted the next one, and appends with an older epoch are rejected.
    Epochs only increase, so a former owner that was paused cannot regain the answer by appending.
    """

    def __init__(self, retention: float, max_bytes: int) -> None:
        """Creates an empty table.

        Args:
            retention: Seconds for which a copy is kept after its answer has ended.
            max_bytes: Memory limit of the copies.
        """
        self._retention = retention
        self._max_bytes = max_bytes
        self._copies: dict[str, AnswerCopy] = {}
        self._finished: OrderedDict[str, None] = OrderedDict()
        self._retained_epochs: OrderedDict[str, tuple[int, float]] = OrderedDict()
        self._size = 0

    def __len__(self) -> int:
        return len(self._copies)

    @property
    def size(self) -> int:
        """Memory used by the copies in bytes, at most the limit."""
        return self._size

    def append(self, now: float, sender: str, append: CopyAppend) -> AppendOutcome:
        """Stores a part of an answer.

        Args:
            now: Monotonic time in seconds.
            sender: Instance that sent the append.
            append: The part.

        Returns:
            The stored extent. A rejection reports a higher epoch than that of the append, also
            if the text conflicts with the copy or another instance owns the same epoch.
        """
        highest = self._highest_epoch(append.request_id)
        if append.epoch < highest:
            return self._build_outcome(append, highest)
        copy = self._copies.get(append.request_id)
        if copy is None or append.epoch > copy.epoch:
            return self._start_copy(now, sender, append)
        if sender != copy.owner or self._conflicts(copy, append):
            return self._build_outcome(append, append.epoch + 1)
        copy.last_activity = now
        if append.offset > len(copy.pieces):
            return self._build_outcome(append, copy.epoch)
        return self._append_pieces(now, copy, append)

    def locate(self, request_id: str) -> CopyLocation | None:
        """Looks up the owner and the extent of an answer.

        Args:
            request_id: Request id.

        Returns:
            Owner and extent, or None if there is no copy.
        """
        copy = self._copies.get(request_id)
        if copy is None:
            return None
        return CopyLocation(copy.owner, copy.epoch, len(copy.pieces), bool(copy.finish))

    def read(self, request_id: str, offset: int) -> CopyPart | None:
        """Reads a copy.

        Args:
            request_id: Request id.
            offset: Token offset of the first piece.

        Returns:
            The part from the offset on, or None if no copy extends to the offset.
        """
        copy = self._copies.get(request_id)
        if copy is None or not 0 <= offset <= len(copy.pieces):
            return None
        return CopyPart(offset, copy.pieces.slice(offset), copy.finish, copy.epoch)

    def events(self, request_id: str) -> str:
        """Reads the recorded events stored with a copy.

        Args:
            request_id: Request id.

        Returns:
            JSON lines; empty if there is no copy.
        """
        copy = self._copies.get(request_id)
        return "".join(copy.events) if copy is not None else ""

    def take_over(self, now: float, request_id: str, epoch: int, requester: str) -> TakeOverOutcome:
        """Transfers the ownership of an answer.

        Args:
            now: Monotonic time in seconds.
            request_id: Request id.
            epoch: Epoch that the requester read. Each epoch can be taken over only once, so one
                of two requesters fails. A requester that missed the response finds itself listed
                as the owner and retries with the new epoch.
            requester: Instance that takes the answer over.

        Returns:
            The copy with the new epoch, or the current owner and epoch.
        """
        copy = self._copies.get(request_id)
        if copy is None:
            return TakeOverOutcome(False, self._highest_epoch(request_id), "")
        if epoch != copy.epoch:
            return TakeOverOutcome(False, copy.epoch, copy.owner)
        copy.epoch += 1
        copy.owner = requester
        copy.last_activity = now
        pieces = copy.pieces.slice(0)
        events = "".join(copy.events)
        return TakeOverOutcome(
            True, copy.epoch, requester, copy.header, pieces, copy.finish, events, copy.software
        )

    def expire(self, now: float) -> tuple[str, ...]:
        """Drops expired copies; to be called every few seconds.

        Args:
            now: Monotonic time in seconds.

        Returns:
            Ids of the requests whose copies were dropped.
        """
        expired = [
            request_id for request_id, copy in self._copies.items() if self._is_expired(now, copy)
        ]
        for request_id in expired:
            self._drop(now, request_id)
        while self._retained_epochs:
            request_id, (_, until) = next(iter(self._retained_epochs.items()))
            if now < until and len(self._retained_epochs) <= MAX_RETAINED_EPOCHS:
                break
            del self._retained_epochs[request_id]
        return tuple(expired)

    def _highest_epoch(self, request_id: str) -> int:
        copy = self._copies.get(request_id)
        if copy is not None:
            return copy.epoch
        epoch, _ = self._retained_epochs.get(request_id, (0, 0.0))
        return epoch

    def _build_outcome(
        self, append: CopyAppend, epoch: int, header_missing: bool = False
    ) -> AppendOutcome:
        copy = self._copies.get(append.request_id)
        stored = len(copy.pieces) if copy and not header_missing else 0
        return AppendOutcome(append.request_id, stored, epoch, header_missing)

    def _start_copy(self, now: float, sender: str, append: CopyAppend) -> AppendOutcome:
        """Starts a copy, or replaces that of an older epoch."""
        if append.offset or not append.header:
            return self._build_outcome(append, append.epoch, header_missing=True)
        previous = self._copies.get(append.request_id)
        copy = AnswerCopy(sender, append.epoch, append.header, now)
        added = COPY_OVERHEAD + len(append.header)
        if not self._free_memory(
            now, added - (previous.size if previous else 0), append.request_id
        ):
            return AppendOutcome(append.request_id, NO_ROOM, append.epoch)
        if previous:
            self._remove(append.request_id)
        self._copies[append.request_id] = copy
        self._retained_epochs.pop(append.request_id, None)
        self._add_size(copy, added)
        return self._append_pieces(now, copy, append)

    def _append_pieces(self, now: float, copy: AnswerCopy, append: CopyAppend) -> AppendOutcome:
        new_pieces = append.pieces[len(copy.pieces) - append.offset :]
        needed = PieceStore.size_of(new_pieces) + len(append.events)
        if not self._free_memory(now, needed, append.request_id):
            return AppendOutcome(append.request_id, NO_ROOM, copy.epoch)
        if new_pieces and not copy.pieces:
            copy.software = append.software
        before = copy.pieces.size
        copy.pieces.extend(new_pieces)
        if append.events:
            copy.events.append(append.events)
        self._add_size(copy, copy.pieces.size - before + len(append.events))
        if append.finish and not copy.finish:
            copy.finish = append.finish
            copy.ended_at = now
            self._finished[append.request_id] = None
        return AppendOutcome(append.request_id, len(copy.pieces), copy.epoch)

    def _conflicts(self, copy: AnswerCopy, append: CopyAppend) -> bool:
        """Whether the append contradicts the stored copy."""
        if append.offset == len(copy.pieces) and not copy.finish:
            return False
        end = append.offset + len(append.pieces)
        if copy.finish and (end > len(copy.pieces) or append.finish not in ("", copy.finish)):
            return True
        if append.finish and end < len(copy.pieces):
            return True
        stored = copy.pieces.slice(append.offset, end) if append.offset < len(copy.pieces) else ()
        return stored != append.pieces[: len(stored)]

    def _is_expired(self, now: float, copy: AnswerCopy) -> bool:
        if copy.ended_at is not None:
            return now >= copy.ended_at + self._retention
        return now >= copy.last_activity + IDLE_RETENTION

    def _free_memory(self, now: float, needed: int, keep: str) -> bool:
        """Drops copies of finished answers, oldest first, until the needed bytes fit."""
        while self._size + needed > self._max_bytes:
            oldest = next((key for key in self._finished if key != keep), None)
            if oldest is None:
                return False
            self._drop(now, oldest)
        return True

    def _drop(self, now: float, request_id: str) -> None:
        epoch = self._copies[request_id].epoch
        self._remove(request_id)
        if epoch > 1:
            self._retained_epochs[request_id] = (epoch, now + EPOCH_RETENTION)

    def _remove(self, request_id: str) -> None:
        copy = self._copies.pop(request_id)
        self._finished.pop(request_id, None)
        self._size -= copy.size

    def _add_size(self, copy: AnswerCopy, added: int) -> None:
        copy.size += added
        self._size += added
