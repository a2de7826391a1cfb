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
    to_clearing_message,
    to_death_message,
    to_member,
    to_report,
    wait_with_timeout,
)
from sapphireledge.peers.heartbeat_progress import HeartbeatProgress
from sapphireledge.peers.local_state import LocalState
from sapphireledge.peers.messages import Heartbeat, HeartbeatReply, Hello, UsageDelta
from sapphireledge.peers.notice_log import NoticeLog
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

MIN_DEAD_AFTER_INTERVALS = 2.5
"""Heartbeat periods of silence that one lost heartbeat may not reach."""

MAX_USAGE_RATE = 150.0
"""Usage entries that this entry sends per second over all peers, about 34 bytes each."""

MIN_USAGE_ENTRIES = 4
"""Usage entries that every heartbeat may carry."""

MAX_USAGE_ENTRIES = 64
"""Usage entries that no heartbeat exceeds."""

CONFIG_FETCH_DELAY = (0.2, 1.0)
"""Bounds in seconds of the wait before a peer is asked; the watch usually is faster."""

CONFIG_FETCH_TIMEOUT = 5.0
"""Seconds for one config_since call."""

SHARED_CONNECTION_METHODS = frozenset({"void_key"})
"""Methods that share the serial connection with heartbeats and copies of answers.

find_answer does not: it stands before the first token of each request whose id the caller chose,
and waited there behind batches of copies.
"""

SAMPLE_INTERVAL_SHARE = 0.5
"""Share of the period between two samples of the usage."""

PEER_UPDATE_SHARE = 0.25
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
        dead_after = max(cfg.peers.dead_after, MIN_DEAD_AFTER_INTERVALS * cfg.peers.heartbeat)
        self._dead_after = dead_after
        self._membership = Membership(own, dead_after)
        self._merger = HeartbeatMerger(dead_after)
        half_life = cfg.admission.usage_half_life
        self._usage_exchange = UsageExchange(own.name, own.data_centre, half_life)
        self._notice_log = NoticeLog()
        self._links: dict[str, PeerLink] = {}
        self._on_demand_links: dict[str, PeerLink] = {}
        self._progress: dict[str, HeartbeatProgress] = {}
        self._local_state = LocalState()
        self._members: tuple[Member, ...] = ()
        self._live: tuple[Member, ...] = ()
        self._sequence = 0
        self._highest_version = 0
        self._interval = cfg.peers.heartbeat
        self._next_peer_update = 0.0
        self._next_sample = 0.0
        self._wake = asyncio.Event()
        self._config_outdated = asyncio.Event()
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
        return self._merger.statuses

    @property
    def highest_version(self) -> int:
        """Highest configuration version that this entry or any peer knows of."""
        return self._highest_version

    @property
    def period(self) -> float:
        """Interval of heartbeats in seconds."""
        return self._interval

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
            asyncio.create_task(self._sync_config(), name="peer configuration"),
        ]
        for task in self._tasks:
            task.add_done_callback(self._log_task_failure)

    async def stop(self) -> None:
        """Ends all tasks and links."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        links = (*self._links.values(), *self._on_demand_links.values())
        await asyncio.gather(*(link.stop() for link in links))
        self._links.clear()
        self._on_demand_links.clear()

    def report_death(self, death: DeathNotice) -> None:
        """Tells all peers at once about an engine death that this entry detected."""
        self._notice_log.add(death, to_local=True, to_remote=True)
        self.send_now()

    def report_clearing(self, clearing: ClearingNotice) -> None:
        """Tells all peers about a suspected request that was cleared here."""
        self._notice_log.add(clearing, to_local=True, to_remote=True)

    def send_now(self) -> None:
        """Sends heartbeats to all peers without waiting for the period."""
        for progress in self._progress.values():
            progress.due = 0.0
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
        link = self._links.get(name) or self._on_demand_link(name)
        if link is None:
            return Failure(ErrorKind.NOT_FOUND, f"no entry is named {name}")
        if method in SHARED_CONNECTION_METHODS and name in self._links:
            return await link.call(method, *args, timeout=timeout)
        return await link.call_on_dedicated_connection(method, *args, timeout=timeout)

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
        self._membership.on_peer_seen(self._clock(), to_member(hello))
        self._next_peer_update = 0.0
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
        report = to_report(hello, heartbeat)
        result = self._merger.merge(now, report)
        if not result.accepted:
            reason = f"a newer heartbeat or incarnation of {report.instance} is known"
            return Failure(ErrorKind.CONFLICT, reason)
        draining = report.state in (EntryState.DRAINING, EntryState.STOPPED)
        self._membership.on_peer_seen(now, to_member(hello), draining)
        self._merge_usage(now, hello.data_centre, report.instance, report.scope, result)
        self._relay_notices(now, hello.data_centre, result)
        if result.leaving:
            self._events.on_leaving(now, result.leaving)
        self._record_versions(now, heartbeat)
        return HeartbeatReply(self._local_state.config_version, self._highest_version)

    def _merge_usage(
        self, now: float, data_centre: str, instance: str, scope: str, result: MergeResult
    ) -> None:
        """Merges the usage of one heartbeat."""
        if scope == self.own.data_centre or not (result.usage or result.restarted):
            return
        if scope:
            self._usage_exchange.merge_data_centre(now, scope, result.usage)
            self._events.on_usage(now, f"data-centre/{scope}", result.usage, False)
        elif data_centre == self.own.data_centre:
            self._usage_exchange.merge_peer(now, instance, result.usage, result.restarted)
            self._events.on_usage(now, instance, result.usage, result.restarted)

    def _relay_notices(self, now: float, data_centre: str, result: MergeResult) -> None:
        """Reports new deaths and clearings and passes them on to the other side."""
        if result.cleared:
            self._events.on_clearings(now, result.cleared)
        if result.deaths:
            self._events.on_deaths(now, result.deaths)
        local = data_centre == self.own.data_centre
        for notice in (*result.deaths, *result.cleared):
            self._notice_log.add(notice, to_local=not local, to_remote=local)
        if result.deaths:
            self.send_now()

    def _record_versions(self, now: float, message: Any) -> None:
        """Notes the versions of a heartbeat or its reply."""
        highest = max(message.config_version, message.highest_version)
        if highest > self._highest_version:
            self._highest_version = highest
            self._events.on_config_versions(now, highest)
        if self._highest_version > self._local_state.config_version:
            self._config_outdated.set()

    async def _send_heartbeats(self) -> None:
        """Sends each peer its heartbeat when it is due."""
        while True:
            now = self._clock()
            if now >= self._next_peer_update:
                self._update_peers(now)
            due = [name for name, progress in self._progress.items() if progress.due <= now]
            if due and now >= self._next_sample:
                self._sample_state(now)
            for name in due:
                self._send_due_heartbeats(now, name)
            self._wake.clear()
            next_due = min(
                (progress.due for progress in self._progress.values()), default=now + 3600
            )
            pause = max(0.0, min(next_due, self._next_peer_update) - self._clock())
            await wait_with_timeout(self._wake, pause)

    def _update_peers(self, now: float) -> None:
        """Computes members and peers, and opens and closes links accordingly."""
        self._membership.on_instances(now, self._list_instances())
        self._members = self._membership.members(now)
        local = sum(member.data_centre == self.own.data_centre for member in self._members)
        self._interval = compute_heartbeat_interval(self._cfg.peers.heartbeat, local)
        self._next_peer_update = now + PEER_UPDATE_SHARE * self._interval
        wanted = {member.name: member for member in self._membership.peers(now)}
        for name in [name for name in self._links if name not in wanted]:
            self._close_link(name)
        for name, member in wanted.items():
            known = self._links.get(name)
            if known is not None and known.peer.address != member.address:
                self._close_link(name)
            if name not in self._links:
                self._open_link(now, member)
        self._remove_departed()
        live = self._membership.live_members(now)
        if live != self._live:
            self._live = live
            self._events.on_membership(now, live)

    def _remove_departed(self) -> None:
        """Drops what is kept about entries that left; hundreds are replaced on a day."""
        known = {member.name for member in self._members}
        for status in self._merger.statuses:
            if status.instance not in known:
                self._merger.remove_peer(status.instance)
        for name in [
            name for name in self._on_demand_links if name not in known or name in self._links
        ]:
            self._run_in_background(self._on_demand_links.pop(name).stop())

    def _open_link(self, now: float, member: Member) -> None:
        """Starts a link and plans its first heartbeat."""
        link = self._make_link(member)
        link.start()
        self._links[member.name] = link
        # Spread over the period, so that peers do not receive all heartbeats at once.
        self._progress[member.name] = HeartbeatProgress(
            due=now + self._rng.uniform(0, self._interval)
        )

    def _close_link(self, name: str) -> None:
        """Ends a link without waiting for its task."""
        link = self._links.pop(name)
        del self._progress[name]
        self._run_in_background(link.stop())

    def _log_task_failure(self, task: asyncio.Task[None]) -> None:
        """Logs a fault that ended a task; without it the mesh would go silent unnoticed."""
        if not task.cancelled() and task.exception() is not None:
            reason = repr(task.exception())
            self._log.error(LogEvent.INTERNAL_ERROR, task=task.get_name(), reason=reason)

    def _run_in_background(self, coroutine: Any) -> None:
        """Runs a short coroutine beside the mesh and keeps it from being collected."""
        task = asyncio.create_task(coroutine)
        self._tasks.append(task)
        task.add_done_callback(self._tasks.remove)

    def _make_link(self, member: Member) -> PeerLink:
        """Makes a link that reports to the membership."""
        return PeerLink(
            member,
            self._authenticated_hello,
            self._cfg.peers,
            self._rng,
            on_connected=self._on_connected,
            on_lost=self._on_lost,
        )

    def _on_demand_link(self, name: str) -> PeerLink | None:
        """Returns a link for single calls to an entry that is no peer."""
        member = next((member for member in self._members if member.name == name), None)
        if member is None:
            return None
        known = self._on_demand_links.get(name)
        if known is None or known.peer.address != member.address:
            if known is not None:
                self._run_in_background(known.stop())
            self._on_demand_links[name] = self._make_link(member)
        return self._on_demand_links[name]

    def _authenticated_hello(self) -> Any:
        """Returns the Hello that this entry presents."""
        hello = self.own_hello()
        hello.secret = self._cfg.fleet_secret
        return hello

    def _on_connected(self, hello: Any) -> None:
        """Takes the Hello of a peer that this entry connected to."""
        self._membership.on_peer_seen(self._clock(), to_member(hello))
        progress = self._progress.get(hello.instance)
        if progress is None:
            return
        if progress.incarnation != hello.incarnation:
            # A new process knows nothing of what the old one acknowledged.
            progress.incarnation = hello.incarnation
            progress.acked_usage.clear()
            progress.acked_notices = 0
        progress.due = 0.0
        self._next_peer_update = 0.0
        self._wake.set()

    def _on_lost(self, name: str) -> None:
        """Notes that a peer cannot be connected to."""
        self._membership.on_unreachable(self._clock(), name)

    def _sample_state(self, now: float) -> None:
        """Reads the state of the entry and notes what changed."""
        self._local_state = self._state.local_state(now)
        self._highest_version = max(
            self._highest_version,
            self._local_state.highest_version,
            self._local_state.config_version,
        )
        data_centres = {link.peer.data_centre for link in self._links.values()}
        is_representative = bool(data_centres - {self.own.data_centre})
        # Two samples in each period, so one heartbeat carries what both take in.
        limit = max(1, self._usage_limit() // 2)
        self._usage_exchange.record_sample(now, self._local_state.usage, is_representative, limit)
        self._next_sample = now + SAMPLE_INTERVAL_SHARE * self._interval

    def _send_due_heartbeats(self, now: float, name: str) -> None:
        """Sends the due heartbeat of one peer, and the sums that go with it."""
        progress = self._progress[name]
        link = self._links[name]
        progress.due = now + self._interval * self._rng.uniform(0.9, 1.1)
        if link.is_down or (progress.in_flight is not None and not progress.in_flight.done()):
            return
        if link.peer.data_centre != self.own.data_centre:
            self._send_heartbeat(now, link, progress, self.own.data_centre, include_state=True)
            return
        self._send_heartbeat(now, link, progress, OWN_SCOPE, include_state=True)
        for scope in self._usage_exchange.relayed_scopes:
            self._send_heartbeat(now, link, progress, scope, include_state=False)

    def _send_heartbeat(
        self,
        now: float,
        link: PeerLink,
        progress: HeartbeatProgress,
        scope: str,
        include_state: bool,
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
        usage, usage_position = self._usage_exchange.changes_after(
            now, scope, progress.acked_usage.get(scope, 0), limit
        )
        if not usage and not include_state:
            return
        remote = link.peer.data_centre != self.own.data_centre
        notices, notice_position = (), progress.acked_notices
        if include_state:
            notices, notice_position = self._notice_log.after(progress.acked_notices, remote)
        self._sequence += 1
        local = self._local_state
        # Empty lists and zeros are left out of the message, and read as such.
        heartbeat = Heartbeat(
            instance=self.own.name,
            sequence=self._sequence,
            state=local.state,
            config_version=local.config_version or None,
            highest_version=self._highest_version or None,
            usage=[UsageDelta(workspace, value) for workspace, value in usage.items()] or None,
            deaths=[to_death_message(n) for n in notices if isinstance(n, DeathNotice)] or None,
            cleared=(
                [to_clearing_message(n) for n in notices if isinstance(n, ClearingNotice)] or None
            ),
            leaving=self._leaving_backends(remote) or None,
            running=local.running or None,
            queued=local.queued or None,
            platform_reachable=local.platform_reachable or None,
            scope=[scope] if scope else None,
        )
        progress.in_flight = link.submit("heartbeat", heartbeat, timeout=self._dead_after)
        progress.in_flight.add_done_callback(
            functools.partial(
                self._on_reply, link.peer.name, progress, scope, usage_position, notice_position
            )
        )

    def _on_reply(
        self,
        name: str,
        progress: HeartbeatProgress,
        scope: str,
        usage_position: int,
        notice_position: int,
        done: Any,
    ) -> None:
        """Notes what a peer has acknowledged."""
        if done.cancelled():
            return
        reply = done.result()
        if isinstance(reply, Failure):
            self._log.debug(LogEvent.PEER_REFUSED, peer=name, reason=reply.reason)
            return
        now = self._clock()
        progress.acked_usage[scope] = usage_position
        progress.acked_notices = max(progress.acked_notices, notice_position)
        self._membership.on_reply(now, name)
        self._record_versions(now, reply)

    def _usage_limit(self) -> int:
        """Returns the most usage entries of one heartbeat, so that all together keep the rate."""
        share = MAX_USAGE_RATE * self._interval / max(1, len(self._links))
        return int(min(MAX_USAGE_ENTRIES, max(MIN_USAGE_ENTRIES, share)))

    def _leaving_backends(self, remote: bool) -> list[str]:
        """Returns the leaving backend servers that a peer of the given side may not know."""
        names = set(self._local_state.leaving)
        for link in self._links.values():
            from_remote = link.peer.data_centre != self.own.data_centre
            if from_remote != remote:
                names |= self._merger.leaving(link.peer.name)
        return sorted(names)

    async def _sync_config(self) -> None:
        """Asks one peer for newer configuration whenever a peer is ahead."""
        while True:
            await self._config_outdated.wait()
            await asyncio.sleep(self._rng.uniform(*CONFIG_FETCH_DELAY))
            self._config_outdated.clear()
            self._local_state = self._state.local_state(self._clock())
            if self._highest_version > self._local_state.config_version:
                await self._fetch_config()

    async def _fetch_config(self) -> None:
        """Takes what one peer has beyond the own version."""
        version = self._local_state.config_version
        ahead = [
            status.instance
            for status in self._merger.statuses
            if status.config_version > version and self.is_reachable(status.instance)
        ]
        local = {member.name for member in self._members if self._is_local(member)}
        candidates = [name for name in ahead if name in local] or ahead
        if not candidates:
            return
        name = self._rng.choice(candidates)
        part = await self.call(name, "config_since", version, timeout=CONFIG_FETCH_TIMEOUT)
        if isinstance(part, Failure):
            self._log.warning(LogEvent.PEER_REFUSED, peer=name, reason=part.reason)
            return
        self._apply_config(part)

    def _is_local(self, member: Member) -> bool:
        """Tells whether an entry belongs to the own data centre."""
        return member.data_centre == self.own.data_centre
