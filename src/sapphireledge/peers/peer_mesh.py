"""Heartbeats between entries, and the links they run on."""

from __future__ import annotations

import asyncio
import functools
from dataclasses import replace
from typing import TYPE_CHECKING

import structlog
import uuid6

from sapphireledge.core.membership import (
    ClearingNotice,
    DeathNotice,
    EntryState,
    HeartbeatMerger,
    Member,
    Membership,
    compute_heartbeat_interval,
)
from sapphireledge.errors import ErrorKind, Failure
from sapphireledge.peers._private import (
    clearing_message,
    death_message,
    member_of,
    report_of,
    wait_at_most,
)
from sapphireledge.peers.local_state import LocalState
from sapphireledge.peers.messages import Heartbeat, HeartbeatReply, Hello, UsageDelta
from sapphireledge.peers.notice_log import NoticeLog
from sapphireledge.peers.outbox import Outbox
from sapphireledge.peers.peer_link import PeerLink
from sapphireledge.peers.usage_exchange import OWN_SCOPE, UsageExchange
from sapphireledge.telemetry import LogEvent

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable
    from typing import Any

    from sapphireledge.core.membership import MergeResult, PeerStatus
    from sapphireledge.peers.peer_events import PeerEvents
    from sapphireledge.peers.peer_state import PeerState
    from sapphireledge.settings import Settings

__all__ = ["PeerMesh"]

DEAD_PERIODS = 2.5
"""Heartbeat periods of silence that one lost heartbeat may not reach."""

USAGE_RATE = 150.0
"""Usage entries that this entry sends per second over all peers, about 34 bytes each."""

MIN_USAGE = 4
"""Usage entries that every heartbeat may carry."""

MAX_USAGE = 64
"""Usage entries that no heartbeat exceeds."""

CONFIG_DELAY = (0.2, 1.0)
"""Bounds in seconds of the wait before a peer is asked; the watch usually is faster."""

CONFIG_TIMEOUT = 5.0
"""Seconds for one config_since call."""

QUICK_METHODS = frozenset({"void_key"})
"""Methods that share the serial connection with heartbeats and copies of answers.

find_answer does not: it stands before the first token of each request whose id the caller chose,
and waited there behind batches of copies.
"""

SAMPLE_SHARE = 0.5
"""Share of the period between two samples of the usage."""

MAX_LATE_WAKE = 0.25
"""Share of the period after which the list of peers is computed again at the latest."""


class PeerMesh:
    """Keeps links to the peers of an entry, exchanges heartbeats and reports what they say.

    One task sends the heartbeats of all peers at spread times and each link has its own task; the
    decisions are in core.membership.
    """

    def __init__(
        self,
        cfg: Settings,
        list_instances: Callable[[], Iterable[Member]],
        state: PeerState,
        events: PeerEvents,
        apply_config: Callable[[Any], None],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Prepares the mesh.

        Args:
            cfg: Settings of the instance.
            list_instances: Returns the entries that the platform's instance list names.
            state: Source of what is sent.
            events: Receiver of what peers say.
            apply_config: Takes a ConfigPart that a peer ahead of this entry returned.
            clock: Monotonic clock in seconds.
            rng: Source of all jitter.
        """
        self.incarnation = uuid6.uuid7().hex
        """Incarnation of this process."""
        self._cfg = cfg
        self._list_instances = list_instances
        self._state = state
        self._events = events
        self._apply_config = apply_config
        self._clock = clock
        self._rng = rng
        own = Member(cfg.instance, cfg.data_centre, cfg.region, "")
        dead_after = max(cfg.peers.dead_after, DEAD_PERIODS * cfg.peers.heartbeat)
        self._dead_after = dead_after
        self._membership = Membership(own, dead_after)
        self._merge = HeartbeatMerger(dead_after)
        half_life = cfg.admission.usage_half_life
        self._usage = UsageExchange(own.name, own.data_centre, half_life)
        self._notices = NoticeLog()
        self._links: dict[str, PeerLink] = {}
        self._asides: dict[str, PeerLink] = {}
        self._outboxes: dict[str, Outbox] = {}
        self._local = LocalState()
        self._members: tuple[Member, ...] = ()
        self._live: tuple[Member, ...] = ()
        self._sequence = 0
        self._highest = 0
        self._period = cfg.peers.heartbeat
        self._next_refresh = 0.0
        self._next_sample = 0.0
        self._wake = asyncio.Event()
        self._config_behind = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._log = structlog.get_logger()

    @property
    def own(self) -> Member:
        """The entry itself."""
        return self._membership.own

    @property
    def members(self) -> tuple[Member, ...]:
        """All known entries of the fleet, the own one included."""
        return self._members

    @property
    def live(self) -> tuple[Member, ...]:
        """Entries that are taken as alive, the own one included."""
        return self._live

    @property
    def statuses(self) -> tuple[PeerStatus, ...]:
        """What each peer that sends heartbeats here said last."""
        return self._merge.statuses

    @property
    def highest_version(self) -> int:
        """Highest configuration version that this entry or any peer knows of."""
        return self._highest

    @property
    def period(self) -> float:
        """Interval of heartbeats in seconds."""
        return self._period

    @property
    def peer_names(self) -> tuple[str, ...]:
        """Peers with which heartbeats are exchanged."""
        return tuple(self._links)

    @property
    def bytes_moved(self) -> int:
        """Bytes sent and received by calls to peers since the start."""
        return sum(link.bytes_moved for link in self._links.values())

    def is_reachable(self, name: str) -> bool:
        """Tells whether a peer was heard recently."""
        return self._membership.is_reachable(self._clock(), name)

    def link(self, name: str) -> PeerLink | None:
        """Returns the link to a peer with which heartbeats are exchanged."""
        return self._links.get(name)

    def start(self, address: str) -> None:
        """Connects to the peers.

        Args:
            address: Peer address of this entry as others reach it, "IP:port".
        """
        self._membership.own = replace(self._membership.own, address=address)
        self._tasks = [
            asyncio.create_task(self._send_heartbeats(), name="peer heartbeats"),
            asyncio.create_task(self._follow_config(), name="peer configuration"),
        ]
        for task in self._tasks:
            task.add_done_callback(self._report_fault)

    async def stop(self) -> None:
        """Ends all tasks and links."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        links = (*self._links.values(), *self._asides.values())
        await asyncio.gather(*(link.stop() for link in links))
        self._links.clear()
        self._asides.clear()

    def report_death(self, death: DeathNotice) -> None:
        """Tells all peers at once about an engine death that this entry detected."""
        self._notices.add(death, to_local=True, to_remote=True)
        self.send_now()

    def report_clearing(self, clearing: ClearingNotice) -> None:
        """Tells all peers about a suspected request that was cleared here."""
        self._notices.add(clearing, to_local=True, to_remote=True)

    def send_now(self) -> None:
        """Sends heartbeats to all peers without waiting for the period."""
        for outbox in self._outboxes.values():
            outbox.due = 0.0
        self._wake.set()

    async def call(self, name: str, method: str, *args: Any, timeout: float) -> Any | Failure:
        """Calls any known entry; a call that can take long has a connection of its own.

        Args:
            name: Name of the entry, which need not be a peer for heartbeats.
            method: Method of the peer service.
            *args: Arguments in the order of the schema.
            timeout: Seconds until the reply must have arrived, the connect included.

        Returns:
            The result, or a Failure.
        """
        link = self._links.get(name) or self._aside(name)
        if link is None:
            return Failure(ErrorKind.NOT_FOUND, f"no entry is named {name}")
        if method in QUICK_METHODS and name in self._links:
            return await link.call(method, *args, timeout=timeout)
        return await link.call_waiting(method, *args, timeout=timeout)

    def own_hello(self) -> Any:
        """Returns the Hello of this entry, without the secret."""
        own = self.own
        return Hello("", own.name, own.data_centre, own.region, self.incarnation, own.address)

    def on_hello(self, hello: Any) -> None:
        """Takes the Hello of a peer that connected to this entry."""
        link = self._links.get(hello.instance)
        if link is not None:
            link.retry_now()
            return
        # Only heartbeats of a known peer count as evidence of life, as they name the incarnation.
        self._membership.on_peer_seen(self._clock(), member_of(hello))
        self._next_refresh = 0.0
        self._wake.set()

    def on_heartbeat(self, hello: Any, heartbeat: Any) -> Any | Failure:
        """Takes a heartbeat of a peer.

        Args:
            hello: Hello of the connection.
            heartbeat: The Heartbeat.

        Returns:
            A HeartbeatReply, or a failure if a newer one or a newer incarnation is known.
        """
        now = self._clock()
        report = report_of(hello, heartbeat)
        result = self._merge.merge(now, report)
        if not result.accepted:
            reason = f"a newer heartbeat or incarnation of {report.instance} is known"
            return Failure(ErrorKind.CONFLICT, reason)
        draining = report.state in (EntryState.DRAINING, EntryState.STOPPED)
        self._membership.on_peer_seen(now, member_of(hello), draining)
        self._take_usage(now, hello.data_centre, report.instance, report.scope, result)
        self._take_notices(now, hello.data_centre, result)
        if result.leaving:
            self._events.on_leaving(now, result.leaving)
        self._take_versions(now, heartbeat)
        return HeartbeatReply(self._local.config_version, self._highest)

    def _take_usage(
        self, now: float, data_centre: str, instance: str, scope: str, result: MergeResult
    ) -> None:
        """Merges the usage of one heartbeat."""
        if scope == self.own.data_centre or not (result.usage or result.restarted):
            return
        if scope:
            self._usage.on_data_centre(now, scope, result.usage)
            self._events.on_usage(now, f"data-centre/{scope}", result.usage, False)
        elif data_centre == self.own.data_centre:
            self._usage.on_peer(now, instance, result.usage, result.restarted)
            self._events.on_usage(now, instance, result.usage, result.restarted)

    def _take_notices(self, now: float, data_centre: str, result: MergeResult) -> None:
        """Reports new deaths and clearings and passes them on to the other side."""
        if result.cleared:
            self._events.on_clearings(now, result.cleared)
        if result.deaths:
            self._events.on_deaths(now, result.deaths)
        local = data_centre == self.own.data_centre
        for notice in (*result.deaths, *result.cleared):
            self._notices.add(notice, to_local=not local, to_remote=local)
        if result.deaths:
            self.send_now()

    def _take_versions(self, now: float, message: Any) -> None:
        """Notes the versions of a heartbeat or its reply."""
        highest = max(message.config_version, message.highest_version)
        if highest > self._highest:
            self._highest = highest
            self._events.on_config_versions(now, highest)
        if self._highest > self._local.config_version:
            self._config_behind.set()

    async def _send_heartbeats(self) -> None:
        """Sends each peer its heartbeat when it is due."""
        while True:
            now = self._clock()
            if now >= self._next_refresh:
                self._refresh(now)
            due = [name for name, outbox in self._outboxes.items() if outbox.due <= now]
            if due and now >= self._next_sample:
                self._sample(now)
            for name in due:
                self._send_to(now, name)
            self._wake.clear()
            next_due = min((box.due for box in self._outboxes.values()), default=now + 3600)
            pause = max(0.0, min(next_due, self._next_refresh) - self._clock())
            await wait_at_most(self._wake, pause)

    def _refresh(self, now: float) -> None:
        """Computes members and peers, and opens and closes links accordingly."""
        self._membership.on_instances(now, self._list_instances())
        self._members = self._membership.members(now)
        local = sum(member.data_centre == self.own.data_centre for member in self._members)
        self._period = compute_heartbeat_interval(self._cfg.peers.heartbeat, local)
        self._next_refresh = now + MAX_LATE_WAKE * self._period
        wanted = {member.name: member for member in self._membership.peers(now)}
        for name in [name for name in self._links if name not in wanted]:
            self._close(name)
        for name, member in wanted.items():
            known = self._links.get(name)
            if known is not None and known.peer.address != member.address:
                self._close(name)
            if name not in self._links:
                self._open(now, member)
        self._forget_gone()
        live = self._membership.live_members(now)
        if live != self._live:
            self._live = live
            self._events.on_membership(now, live)

    def _forget_gone(self) -> None:
        """Drops what is kept about entries that left; hundreds are replaced on a day."""
        known = {member.name for member in self._members}
        for status in self._merge.statuses:
            if status.instance not in known:
                self._merge.remove_peer(status.instance)
        for name in [name for name in self._asides if name not in known or name in self._links]:
            self._background(self._asides.pop(name).stop())

    def _open(self, now: float, member: Member) -> None:
        """Starts a link and plans its first heartbeat."""
        link = self._make_link(member)
        link.start()
        self._links[member.name] = link
        # Spread over the period, so that peers do not receive all heartbeats at once.
        self._outboxes[member.name] = Outbox(due=now + self._rng.uniform(0, self._period))

    def _close(self, name: str) -> None:
        """Ends a link without waiting for its task."""
        link = self._links.pop(name)
        del self._outboxes[name]
        self._background(link.stop())

    def _report_fault(self, task: asyncio.Task[None]) -> None:
        """Logs a fault that ended a task; without it the mesh would go silent unnoticed."""
        if not task.cancelled() and task.exception() is not None:
            reason = repr(task.exception())
            self._log.error(LogEvent.INTERNAL_ERROR, task=task.get_name(), reason=reason)

    def _background(self, work: Any) -> None:
        """Runs a short coroutine beside the mesh and keeps it from being collected."""
        task = asyncio.create_task(work)
        self._tasks.append(task)
        task.add_done_callback(self._tasks.remove)

    def _make_link(self, member: Member) -> PeerLink:
        """Makes a link that reports to the membership."""
        return PeerLink(
            member,
            self._hello_with_secret,
            self._cfg.peers,
            self._rng,
            on_connected=self._on_connected,
            on_lost=self._on_lost,
        )

    def _aside(self, name: str) -> PeerLink | None:
        """Returns a link for single calls to an entry that is no peer."""
        member = next((member for member in self._members if member.name == name), None)
        if member is None:
            return None
        known = self._asides.get(name)
        if known is None or known.peer.address != member.address:
            if known is not None:
                self._background(known.stop())
            self._asides[name] = self._make_link(member)
        return self._asides[name]

    def _hello_with_secret(self) -> Any:
        """Returns the Hello that this entry presents."""
        hello = self.own_hello()
        hello.secret = self._cfg.fleet_secret
        return hello

    def _on_connected(self, hello: Any) -> None:
        """Takes the Hello of a peer that this entry connected to."""
        self._membership.on_peer_seen(self._clock(), member_of(hello))
        outbox = self._outboxes.get(hello.instance)
        if outbox is None:
            return
        if outbox.incarnation != hello.incarnation:
            # A new process knows nothing of what the old one acknowledged.
            outbox.incarnation = hello.incarnation
            outbox.usage.clear()
            outbox.notices = 0
        outbox.due = 0.0
        self._next_refresh = 0.0
        self._wake.set()

    def _on_lost(self, name: str) -> None:
        """Notes that a peer cannot be connected to."""
        self._membership.on_unreachable(self._clock(), name)

    def _sample(self, now: float) -> None:
        """Reads the state of the entry and notes what changed."""
        self._local = self._state.local_state(now)
        self._highest = max(self._highest, self._local.highest_version, self._local.config_version)
        centres = {link.peer.data_centre for link in self._links.values()}
        is_representative = bool(centres - {self.own.data_centre})
        # Two samples in each period, so one heartbeat carries what both take in.
        limit = max(1, self._usage_limit() // 2)
        self._usage.sample(now, self._local.usage, is_representative, limit)
        self._next_sample = now + SAMPLE_SHARE * self._period

    def _send_to(self, now: float, name: str) -> None:
        """Sends the due heartbeat of one peer, and the sums that go with it."""
        outbox = self._outboxes[name]
        link = self._links[name]
        outbox.due = now + self._period * self._rng.uniform(0.9, 1.1)
        if link.is_down or (outbox.in_flight is not None and not outbox.in_flight.done()):
            return
        if link.peer.data_centre != self.own.data_centre:
            self._send(now, link, outbox, self.own.data_centre, with_rest=True)
            return
        self._send(now, link, outbox, OWN_SCOPE, with_rest=True)
        for scope in self._usage.relayed_scopes:
            self._send(now, link, outbox, scope, with_rest=False)

    def _send(
        self, now: float, link: PeerLink, outbox: Outbox, scope: str, with_rest: bool
    ) -> None:
        """Sends one heartbeat.

        Args:
            now: Current time.
            link: Link to the peer.
            outbox: What the peer has acknowledged.
            scope: What the usage stands for.
            with_rest: Whether to send it without usage too, and with notices.
        """
        limit = self._usage_limit()
        usage, usage_mark = self._usage.changes_after(now, scope, outbox.usage.get(scope, 0), limit)
        if not usage and not with_rest:
            return
        remote = link.peer.data_centre != self.own.data_centre
        notices, notice_mark = (), outbox.notices
        if with_rest:
            notices, notice_mark = self._notices.after(outbox.notices, remote)
        self._sequence += 1
        local = self._local
        # Empty lists and zeros are left out of the message, and read as such.
        heartbeat = Heartbeat(
            instance=self.own.name,
            sequence=self._sequence,
            state=local.state,
            config_version=local.config_version or None,
            highest_version=self._highest or None,
            usage=[UsageDelta(workspace, value) for workspace, value in usage.items()] or None,
            deaths=[death_message(n) for n in notices if isinstance(n, DeathNotice)] or None,
            cleared=(
                [clearing_message(n) for n in notices if isinstance(n, ClearingNotice)] or None
            ),
            leaving=self._leaving_for(remote) or None,
            running=local.running or None,
            queued=local.queued or None,
            platform_reachable=local.platform_reachable or None,
            scope=[scope] if scope else None,
        )
        outbox.in_flight = link.submit("heartbeat", heartbeat, timeout=self._dead_after)
        outbox.in_flight.add_done_callback(
            functools.partial(
                self._on_reply, link.peer.name, outbox, scope, usage_mark, notice_mark
            )
        )

    def _on_reply(
        self, name: str, outbox: Outbox, scope: str, usage: int, notices: int, done: Any
    ) -> None:
        """Notes what a peer has acknowledged."""
        if done.cancelled():
            return
        reply = done.result()
        if isinstance(reply, Failure):
            self._log.debug(LogEvent.PEER_REFUSED, peer=name, reason=reply.reason)
            return
        now = self._clock()
        outbox.usage[scope] = usage
        outbox.notices = max(outbox.notices, notices)
        self._membership.on_reply(now, name)
        self._take_versions(now, reply)

    def _usage_limit(self) -> int:
        """Returns the most usage entries of one heartbeat, so that all together keep the rate."""
        share = USAGE_RATE * self._period / max(1, len(self._links))
        return int(min(MAX_USAGE, max(MIN_USAGE, share)))

    def _leaving_for(self, remote: bool) -> list[str]:
        """Returns the leaving backend servers that a peer of the given side may not know."""
        names = set(self._local.leaving)
        for link in self._links.values():
            from_remote = link.peer.data_centre != self.own.data_centre
            if from_remote != remote:
                names |= self._merge.leaving(link.peer.name)
        return sorted(names)

    async def _follow_config(self) -> None:
        """Asks one peer for newer configuration whenever a peer is ahead."""
        while True:
            await self._config_behind.wait()
            await asyncio.sleep(self._rng.uniform(*CONFIG_DELAY))
            self._config_behind.clear()
            self._local = self._state.local_state(self._clock())
            if self._highest > self._local.config_version:
                await self._fetch_config()

    async def _fetch_config(self) -> None:
        """Takes what one peer has beyond the own version."""
        version = self._local.config_version
        ahead = [
            status.instance
            for status in self._merge.statuses
            if status.config_version > version and self.is_reachable(status.instance)
        ]
        local = {member.name for member in self._members if self._is_local(member)}
        candidates = [name for name in ahead if name in local] or ahead
        if not candidates:
            return
        name = self._rng.choice(candidates)
        part = await self.call(name, "config_since", version, timeout=CONFIG_TIMEOUT)
        if isinstance(part, Failure):
            self._log.warning(LogEvent.PEER_REFUSED, peer=name, reason=part.reason)
            return
        self._apply_config(part)

    def _is_local(self, member: Member) -> bool:
        """Tells whether an entry belongs to the own data centre."""
        return member.data_centre == self.own.data_centre
