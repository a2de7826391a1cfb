"""Stream that copies all running answers to one partner."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.errors import Failure
from sapphireledge.peers.copy_batch import CopyBatch
from sapphireledge.peers.copy_progress import CopyProgress

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from typing import Any

    from sapphireledge.core.membership import Member
    from sapphireledge.peers.peer_link import PeerLink
    from sapphireledge.peers.replicated_answer import ReplicatedAnswer
    from sapphireledge.settings import PeerSettings

__all__ = ["CopyStream"]

MAX_SYNCED_LAG = 64
"""Maximum unsent tokens of an answer that counts as up to date; the next call sends them."""

MAX_RESTARTS = 3
"""Maximum number of times that an answer is resent to a partner that loses it."""

FULL_INTERVAL_ANSWERS = 64
"""Number of running answers from which batches are spaced by the full `copy_interval`."""


class CopyStream:
    """Sends tokens to one partner, one call at a time, until the partner fails.

    Answers whose tokens wait for this partner are sent first. The backlog, which is the answers
    that the partner does not have yet, follows oldest first as far as the batch has room.
    """

    def __init__(
        self,
        partner: Member,
        link: PeerLink,
        cfg: PeerSettings,
        clock: Callable[[], float],
        on_end: Callable[[ReplicatedAnswer], None],
        answers: Iterable[ReplicatedAnswer],
    ) -> None:
        """Creates the stream; `run` sends the batches.

        Args:
            partner: Entry that receives the copies.
            link: Link to the partner.
            cfg: Settings of peer links.
            clock: Monotonic clock in seconds.
            on_end: Called with an answer that no longer needs to be copied.
            answers: Running answers, oldest first; all are sent from their start.
        """
        self.partner = partner
        """Entry that receives the copies."""
        self._link = link
        self._cfg = cfg
        self._clock = clock
        self._on_end = on_end
        self._progress = {
            answer.request_id: CopyProgress(answer, synced=False)
            for answer in answers
            if answer.is_copyable
        }
        self._backlog: dict[str, None] = dict.fromkeys(self._progress)
        self._dirty: dict[str, None] = {}
        self._wake = asyncio.Event()
        if self._backlog:
            self._wake.set()

    @property
    def synced(self) -> bool:
        """Whether the partner is up to date with all running answers."""
        return not self._backlog

    def is_synced(self, request_id: str) -> bool:
        """Whether the partner is up to date with one answer."""
        progress = self._progress.get(request_id)
        return progress is not None and progress.synced

    def includes(self, request_id: str) -> bool:
        """Whether one answer is copied to the partner."""
        return request_id in self._progress

    def add(self, answer: ReplicatedAnswer) -> None:
        """Adds a new answer, all of whose tokens wait for this partner."""
        self._progress[answer.request_id] = CopyProgress(answer, synced=True)
        self.mark_dirty(answer)

    def mark_dirty(self, answer: ReplicatedAnswer) -> None:
        """Schedules an up-to-date answer that has unsent data."""
        progress = self._progress.get(answer.request_id)
        if progress is not None and progress.synced:
            self._dirty[answer.request_id] = None
            self._wake.set()

    def remove(self, request_id: str) -> None:
        """Stops copying an answer."""
        self._progress.pop(request_id, None)
        self._backlog.pop(request_id, None)
        self._dirty.pop(request_id, None)

    async def run(self) -> str:
        """Sends batches until the partner fails.

        Returns:
            The reason for the failure.
        """
        while True:
            await self._wake.wait()
            self._wake.clear()
            started = self._clock()
            batch = self._build_batch()
            if batch:
                reason = await self._send(started, batch)
                if reason:
                    return reason
            if self._dirty or self._backlog:
                self._wake.set()
            # After an idle interval the next token is sent immediately. With few answers there is
            # little to batch, and a full pause would only delay their tokens.
            interval_share = min(1.0, len(self._progress) / FULL_INTERVAL_ANSWERS)
            pause = started + self._cfg.copy_interval * interval_share - self._clock()
            if batch and pause > 0:
                await asyncio.sleep(pause)

    def _build_batch(self) -> list[Any]:
        """Collects the next batch, within the limits of one call."""
        batch = CopyBatch()
        for pending in (self._dirty, self._backlog):
            for request_id in list(pending):
                if batch.is_full:
                    return batch.appends
                progress = self._progress[request_id]
                if progress.has_more:
                    batch.add(progress)
                if pending is self._dirty and not progress.has_more:
                    del pending[request_id]
        return batch.appends

    async def _send(self, started: float, batch: list[Any]) -> str:
        """Sends one batch and applies the acknowledgements.

        Returns:
            The reason if the partner failed, else an empty string.
        """
        limit = self._cfg.copy_timeout
        waiting_since = self._clear_waiting(batch)
        call = self._link.submit("append_answers", batch, timeout=limit)
        oldest = min(waiting_since.values(), default=started)
        # Tokens that waited during the previous call reach their timeout before this call does.
        if oldest < started:
            await asyncio.wait((call,), timeout=max(0.0, oldest + limit - started))
            if not call.done():
                self._release(name for name, at in waiting_since.items() if at < started)
        if not call.done():
            await asyncio.wait((call,), timeout=max(0.0, started + limit - self._clock()))
        if not call.done():
            call.cancel()
            return f"no acknowledgement within {limit:g} s"
        results = call.result()
        if isinstance(results, Failure):
            return results.reason
        if len(results) != len(batch):
            return f"{len(results)} acknowledgements for {len(batch)} appends"
        for append, result in zip(batch, results, strict=True):
            self._apply_result(append, result)
        self._release_overdue()
        return ""

    def _clear_waiting(self, batch: list[Any]) -> dict[str, float]:
        """Returns since when the tokens of each request have waited, and resets these times."""
        waiting_since = {}
        for append in batch:
            progress = self._progress[append.request_id]
            answer = progress.answer
            if progress.synced and answer.waiting_since is not None:
                waiting_since[append.request_id] = answer.waiting_since
                answer.waiting_since = self._clock() if progress.unsent else None
        return waiting_since

    def _release(self, request_ids: Iterable[str]) -> None:
        """Releases the tokens of some answers while their call is still in flight."""
        for request_id in request_ids:
            progress = self._progress.get(request_id)
            if progress is not None:
                progress.answer.release_all()

    def _release_overdue(self) -> None:
        """Releases tokens that timed out because the batches had no room for them."""
        overdue = self._clock() - self._cfg.copy_timeout
        for request_id in self._dirty:
            answer = self._progress[request_id].answer
            if answer.waiting_since is not None and answer.waiting_since <= overdue:
                answer.release_all()

    def _apply_result(self, append: Any, result: Any) -> None:
        """Applies the acknowledgement of one append."""
        progress = self._progress.get(append.request_id)
        if progress is None:
            return
        answer = progress.answer
        end = append.offset + len(append.pieces)
        if result.epoch > answer.epoch:
            answer.on_superseded(result.epoch)
            self._on_end(answer)
            return
        if result.header_missing or result.stored < end:
            self._restart_answer(progress)
            return
        # The partner may hold more tokens from an earlier stream; only those sent here count.
        answer.on_stored(end)
        if append.finish:
            self._on_end(answer)
            return
        self._update_synced(progress)

    def _restart_answer(self, progress: CopyProgress) -> None:
        """Resends an answer that the partner lost, or gives up after MAX_RESTARTS."""
        answer = progress.answer
        answer.protected = False
        answer.release_all()
        if progress.restarts == MAX_RESTARTS:
            self.remove(answer.request_id)
            return
        progress.restart()
        self._dirty.pop(answer.request_id, None)
        self._backlog[answer.request_id] = None

    def _update_synced(self, progress: CopyProgress) -> None:
        """Makes new tokens wait for this partner once it has caught up with an answer."""
        if progress.synced or progress.unsent > MAX_SYNCED_LAG:
            return
        answer = progress.answer
        progress.synced = True
        answer.protected = True
        self._backlog.pop(answer.request_id, None)
        if progress.has_more:
            self.mark_dirty(answer)
