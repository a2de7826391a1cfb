"""Replication of running answers to a partner entry."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from sapphireledge.core.membership import choose_partner
from sapphireledge.peers.copy_stream import CopyStream
from sapphireledge.peers.replicated_answer import ReplicatedAnswer
from sapphireledge.telemetry import LogEvent

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge.core.membership import Member
    from sapphireledge.peers.peer_links import PeerLinks
    from sapphireledge.settings import PeerSettings

__all__ = ["AnswerCopies"]

PARTNER_RETRY_DELAY = 10.0
"""Seconds for which a failed partner is avoided if another one is available."""

MIN_PARTNER_RETRY_DELAY = 1.0
"""Seconds for which a failed partner is avoided even if there is no other."""

PARTNER_CHECK_INTERVAL = 0.1
"""Seconds between checks of the partner."""


class AnswerCopies:
    """Copies the tokens of all running answers to one partner in the same data centre.

    Each entry has one partner; while a leaving partner is being replaced, both receive the tokens.
    A failed partner is replaced immediately; until its successor has caught up with an answer, the
    tokens of that answer are released unprotected.
    """

    def __init__(self, cfg: PeerSettings, links: PeerLinks, clock: Callable[[], float]) -> None:
        """Creates the copies; `start` begins to look for a partner.

        Args:
            cfg: Settings of peer links.
            links: Live entries and links to them, usually the mesh.
            clock: Monotonic clock in seconds.
        """
        self._cfg = cfg
        self._links = links
        self._clock = clock
        self._answers: dict[str, ReplicatedAnswer] = {}
        self._streams: dict[CopyStream, asyncio.Task[str]] = {}
        self._failed_at: dict[str, float] = {}
        self._task: asyncio.Task[None] | None = None
        self._log = structlog.get_logger()

    @property
    def partner(self) -> Member | None:
        """Partner to which new answers are copied, None if there is none."""
        stream = self._newest_stream()
        return stream.partner if stream is not None else None

    @property
    def running(self) -> int:
        """Number of answers that are being copied."""
        return len(self._answers)

    def start(self) -> None:
        """Starts the task that selects and checks the partner."""
        self._task = asyncio.create_task(self._watch_partner(), name="answer copies")

    async def stop(self) -> None:
        """Stops all tasks and releases waiting tokens unprotected."""
        tasks = [*self._streams.values()]
        if self._task is not None:
            tasks.append(self._task)
        self._streams.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for answer in self._answers.values():
            answer.protected = False
            answer.release_all()

    def open(self, request_id: str, epoch: int, header: str) -> ReplicatedAnswer:
        """Starts to copy an answer.

        Args:
            request_id: Id of the request; an open answer with the same id is replaced.
            epoch: Epoch under which this entry owns the answer.
            header: Request as JSON.

        Returns:
            The answer, to which the session that generates it appends tokens.
        """
        answer = ReplicatedAnswer(request_id, epoch, header, self._on_change, self._on_end)
        # A header beyond the message limit would make every partner close the connection.
        answer.is_copyable = len(header) <= self._cfg.max_message // 4
        replaced = self._answers.get(request_id)
        if replaced is not None:
            self._on_end(replaced)
        self._answers[request_id] = answer
        stream = self._newest_stream()
        if stream is not None and answer.is_copyable:
            answer.protected = True
            for open_stream in self._streams:
                open_stream.add(answer)
        return answer

    def _on_change(self, answer: ReplicatedAnswer) -> None:
        """Schedules an answer for sending, or removes it from the streams if it is not copyable.

        A finished answer that no stream includes is ended.
        """
        for stream in self._streams:
            if answer.is_copyable:
                stream.mark_dirty(answer)
            else:
                stream.remove(answer.request_id)
        if answer.finish_reason and not any(s.includes(answer.request_id) for s in self._streams):
            self._on_end(answer)

    def _on_end(self, answer: ReplicatedAnswer) -> None:
        """Stops copying an answer."""
        if self._answers.get(answer.request_id) is not answer:
            return
        del self._answers[answer.request_id]
        for stream in self._streams:
            stream.remove(answer.request_id)
        answer.protected = False
        answer.release_all()

    def _newest_stream(self) -> CopyStream | None:
        """Returns the stream to the most recently chosen partner, or None."""
        return next(reversed(self._streams), None)

    async def _watch_partner(self) -> None:
        """Checks the partner periodically."""
        while True:
            self._check_partner()
            await asyncio.sleep(PARTNER_CHECK_INTERVAL)

    def _check_partner(self) -> None:
        """Selects a partner if there is none, and replaces one that is unreachable or leaving."""
        stream = self._newest_stream()
        if stream is None:
            self._start_stream()
            return
        if len(self._streams) > 1:
            if stream.synced:
                self._end_older_streams(stream)
            return
        live = {member.name: member for member in self._links.live}
        current = live.get(stream.partner.name)
        if current is None or not self._is_connected(current.name):
            # Otherwise the first tokens after an idle period would have to wait for the timeout.
            self._replace_partner(stream, "is unreachable")
        elif current.leaving:
            self._start_stream()

    def _start_stream(self) -> None:
        """Chooses a partner and starts a stream of all running answers to it."""
        partner = self._choose_partner()
        link = self._links.link(partner.name) if partner is not None else None
        if partner is None or link is None:
            return
        answers = list(self._answers.values())
        stream = CopyStream(partner, link, self._cfg, self._clock, self._on_end, answers)
        task = asyncio.create_task(stream.run(), name=f"answer copies {partner.name}")
        self._streams[stream] = task
        task.add_done_callback(lambda done: self._on_stream_end(stream, done))

    def _choose_partner(self) -> Member | None:
        """Chooses a connected partner, preferably one that has not failed recently."""
        now = self._clock()
        in_use = {stream.partner.name for stream in self._streams}
        unusable = in_use | {
            member.name for member in self._links.live if not self._is_connected(member.name)
        }
        for retry_delay in (PARTNER_RETRY_DELAY, MIN_PARTNER_RETRY_DELAY):
            failed = {name for name, at in self._failed_at.items() if now - at < retry_delay}
            partner = choose_partner(self._links.local_member, self._links.live, unusable | failed)
            if partner is not None:
                return partner
        return None

    def _is_connected(self, name: str) -> bool:
        """Whether the link to an entry is established."""
        link = self._links.link(name)
        return link is not None and link.reachable

    def _end_older_streams(self, newest: CopyStream) -> None:
        """Cancels the streams to replaced partners."""
        for stream in [stream for stream in self._streams if stream is not newest]:
            self._streams.pop(stream).cancel()

    def _on_stream_end(self, stream: CopyStream, task: asyncio.Task[str]) -> None:
        """Replaces a partner whose stream ended without being cancelled here."""
        if stream in self._streams:
            reason = repr(task.exception()) if task.exception() else task.result()
            self._replace_partner(stream, reason)

    def _replace_partner(self, stream: CopyStream, reason: str) -> None:
        """Cancels the stream to a failed partner, releases tokens and starts another if needed."""
        self._streams.pop(stream).cancel()
        self._failed_at[stream.partner.name] = self._clock()
        self._log.warning(LogEvent.PEER_LOST, partner=stream.partner.name, reason=reason)
        for answer in list(self._answers.values()):
            answer.protected = any(s.is_synced(answer.request_id) for s in self._streams)
            answer.release_all()
            if answer.finish_reason:
                self._on_end(answer)
        if not self._streams:
            self._start_stream()
