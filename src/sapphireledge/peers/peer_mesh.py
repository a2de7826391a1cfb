"""Mesh of links between entries, over which they exchange heartbeats."""

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
    from sapphireledge.peers.local_state_source import LocalStateSource
    from sapphireledge.peers.peer_events import PeerEvents
    from sapphireledge.settings import Settings

__all__ = ["PeerMesh"]

MIN_DEAD_AFTER_INTERVALS = 2.5
"""Minimum of `dead_after` in heartbeat intervals, so that one lost heartbeat is tolerated."""

MAX_USAGE_RATE = 150.0
"""Usage values sent per second to all peers together, about 34 bytes each."""

MIN_USAGE_ENTRIES = 4
"""Usage values that every heartbeat may carry regardless of the rate."""

MAX_USAGE_ENTRIES = 64
"""Maximum number of usage values in one heartbeat."""

CONFIG_FETCH_DELAY = (0.2, 1.0)
"""Bounds in seconds of the delay before a peer is queried; the platform watch is usually faster."""

CONFIG_FETCH_TIMEOUT = 5.0
"""Seconds allowed for one config_since call."""

SHARED_CONNECTION_METHODS = frozenset({"void_key"})
"""Methods that share the serial connection with heartbeats and answer copies.

find_answer does not: it delays the first token of each request whose id the caller chose, and on
the shared connection it queued behind batches of copies.
"""

SAMPLE_INTERVAL_SHARE = 0.5
"""Time between two samples of the usage, as a fraction of the heartbeat interval."""

PEER_UPDATE_SHARE = 0.25
"""Maximum time between two updates of the peers, as a fraction of the heartbeat interval."""


class PeerMesh:
    """Maintains links to the peers, exchanges heartbeats and publishes their contents.

    One task sends the heartbeats to all peers, spread over the interval, and each link has its own
    task. The decisions are made in core.membership.
    """

    def __init__(
        self,
        cfg: Settings,
        list_instances: Callable[[], Iterable[Member]],
        state: LocalStateSource,
        events: PeerEvents,
        apply_config: Callable[[Any], None],
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Creates the mesh; `start` connects it.

        Args:
            cfg: Settings of the instance.
            list_instances: Returns the entries in the platform's instance list.
            state: Source of the state that heartbeats report.
            events: Receiver of peer reports.
            apply_config: Applies a ConfigPart returned by a peer with newer configuration.
            clock: Monotonic clock in seconds.
            rng: Source of jitter and of random choices.
        """
        self.incarnation = uuid6.uuid7().hex
        """Identifier of this process, a UUIDv7 and thus ordered by start time."""
        self._cfg = cfg
        self._list_instances = list_instances
        self._state = state
        self._events = events
        self._apply_config = apply_config
        self._clock = clock
        self._rng = rng
        local_member = Member(cfg.instance, cfg.data_centre, cfg.region, "")
        dead_after = max(cfg.peers.dead_after, MIN_DEAD_AFTER_INTERVALS * cfg.peers.heartbeat)
        self._dead_after = dead_after
        self._membership = Membership(local_member, dead_after)
        self._merger = HeartbeatMerger(dead_after)
        half_life = cfg.admission.usage_half_life
        self._usage_exchange = UsageExchange(local_member.name, local_member.data_centre, half_life)
        self._notice_log = NoticeLog()
        self._links: dict[str, PeerLink] = {}
        self._on_demand_links: dict[str, PeerLink] = {}
        self._progress: dict[str, HeartbeatProgress] = {}
        self._local_state = LocalState()
        self._members: tuple[Member, ...] = ()
        self._live: tuple[Member, ...] = ()
        self._sequence = 0
        self._highest_version = 0
        self._heartbeat_interval = cfg.peers.heartbeat
        self._next_peer_update = 0.0
        self._next_sample = 0.0
        self._wake = asyncio.Event()
        self._config_outdated = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._log = structlog.get_logger()

    @property
    def local_member(self) -> Member:
        """This entry."""
        return self._membership.local_member

    @property
    def members(self) -> tuple[Member, ...]:
        """All known entries of the fleet, including this one."""
        return self._members

    @property
    def live(self) -> tuple[Member, ...]:
        """Entries that are presumed alive, including this one."""
        return self._live

    @property
    def statuses(self) -> tuple[PeerStatus, ...]:
        """Latest status reported by each peer that sends heartbeats to this entry."""
        return self._merger.statuses

    @property
    def highest_version(self) -> int:
        """Highest configuration version known to this entry or any peer."""
        return self._highest_version

    @property
    def heartbeat_interval(self) -> float:
        """Heartbeat interval in seconds."""
        return self._heartbeat_interval

    @property
    def peer_names(self) -> tuple[str, ...]:
        """Names of the peers that exchange heartbeats with this entry."""
        return tuple(self._links)

    @property
    def bytes_transferred(self) -> int:
        """Bytes sent and received on the serial connections of the current links."""
        return sum(link.bytes_transferred for link in self._links.values())

    def is_reachable(self, name: str) -> bool:
        """Whether a peer has sent anything within the dead-after time."""
        return self._membership.is_reachable(self._clock(), name)

    def link(self, name: str) -> PeerLink | None:
        """Returns the link to a peer that exchanges heartbeats with this entry, or None."""
        return self._links.get(name)

    def start(self, address: str) -> None:
        """Starts the tasks of the mesh, which connect to the peers.

        Args:
            address: Peer address under which others reach this entry, "IP:port".
        """
        self._membership.local_member = replace(self._membership.local_member, address=address)
        self._tasks = [
            asyncio.create_task(self._send_heartbeats(), name="peer heartbeats"),
            asyncio.create_task(self._sync_config(), name="peer configuration"),
        ]
        for task in self._tasks:
            task.add_done_callback(self._log_task_failure)

    async def stop(self) -> None:
        """Stops all tasks and links."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        links = (*self._links.values(), *self._on_demand_links.values())
        await asyncio.gather(*(link.stop() for link in links))
        self._links.clear()
        self._on_demand_links.clear()

    def report_death(self, death: DeathNotice) -> None:
        """Reports an engine death that this entry detected to all peers immediately."""
        self._notice_log.add(death, to_local=True, to_remote=True)
        self.send_now()

    def report_clearing(self, clearing: ClearingNotice) -> None:
        """Reports a suspected request that was cleared on this entry with the next heartbeats."""
        self._notice_log.add(clearing, to_local=True, to_remote=True)

    def send_now(self) -> None:
        """Sends heartbeats to all peers without waiting for the interval."""
        for progress in self._progress.values():
            progress.due = 0.0
        self._wake.set()

    async def call(self, name: str, method: str, *args: Any, timeout: float) -> Any | Failure:
        """Calls any known entry, on a dedicated connection if the call can take long.

        Args:
            name: Name of the entry, which need not exchange heartbeats with this one.
            method: Name of the method of the peer service.
            *args: Arguments in schema order.
            timeout: Seconds within which the reply must arrive, including the connect.

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
        local_member = self.local_member
        return Hello(
            "",
            local_member.name,
            local_member.data_centre,
            local_member.region,
            self.incarnation,
            local_member.address,
        )

    def on_hello(self, hello: Any) -> None:
        """Handles the Hello of a peer that connected to this entry."""
        link = self._links.get(hello.instance)
        if link is not None:
            link.retry_now()
            return
        # For a peer with a link only heartbeats count as contact, because their incarnation is
        # checked.
        self._membership.on_peer_seen(self._clock(), to_member(hello))
        self._next_peer_update = 0.0
        self._wake.set()

    def on_heartbeat(self, hello: Any, heartbeat: Any) -> Any | Failure:
        """Handles a heartbeat of a peer.

        Args:
            hello: Hello received on the same connection.
            heartbeat: The Heartbeat.

        Returns:
            A HeartbeatReply, or a Failure if a newer heartbeat or incarnation was already received.
        """
        now = self._clock()
        report = to_report(hello, heartbeat)
        result = self._merger.merge(now, report)
        if not result.accepted:
            reason = f"a newer heartbeat or incarnation of {report.instance} was already received"
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
        """Merges and publishes the usage in one heartbeat."""
        if scope == self.local_member.data_centre or not (result.usage or result.restarted):
            return
        if scope:
            self._usage_exchange.merge_data_centre(now, scope, result.usage)
            self._events.on_usage(now, f"data-centre/{scope}", result.usage, False)
        elif data_centre == self.local_member.data_centre:
            self._usage_exchange.merge_peer(now, instance, result.usage, result.restarted)
            self._events.on_usage(now, instance, result.usage, result.restarted)

    def _relay_notices(self, now: float, data_centre: str, result: MergeResult) -> None:
        """Publishes new deaths and clearings and relays them between data centres."""
        if result.cleared:
            self._events.on_clearings(now, result.cleared)
        if result.deaths:
            self._events.on_deaths(now, result.deaths)
        local = data_centre == self.local_member.data_centre
        for notice in (*result.deaths, *result.cleared):
            self._notice_log.add(notice, to_local=not local, to_remote=local)
        if result.deaths:
            self.send_now()

    def _record_versions(self, now: float, message: Any) -> None:
        """Records the configuration versions in a heartbeat or its reply."""
        highest = max(message.config_version, message.highest_version)
        if highest > self._highest_version:
            self._highest_version = highest
            self._events.on_config_versions(now, highest)
        if self._highest_version > self._local_state.config_version:
            self._config_outdated.set()

    async def _send_heartbeats(self) -> None:
        """Sends each peer its heartbeats when they are due."""
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
        """Updates the members and peers, and opens and closes links accordingly."""
        self._membership.on_instances(now, self._list_instances())
        self._members = self._membership.members(now)
        local = sum(member.data_centre == self.local_member.data_centre for member in self._members)
        self._heartbeat_interval = compute_heartbeat_interval(self._cfg.peers.heartbeat, local)
        self._next_peer_update = now + PEER_UPDATE_SHARE * self._heartbeat_interval
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
        """Removes the state of entries that left, as hundreds are replaced per day."""
        known = {member.name for member in self._members}
        for status in self._merger.statuses:
            if status.instance not in known:
                self._merger.remove_peer(status.instance)
        for name in [
            name for name in self._on_demand_links if name not in known or name in self._links
        ]:
            self._run_in_background(self._on_demand_links.pop(name).stop())

    def _open_link(self, now: float, member: Member) -> None:
        """Starts a link and schedules its first heartbeat."""
        link = self._make_link(member)
        link.start()
        self._links[member.name] = link
        # Spread over the interval, so that peers do not receive all heartbeats at once.
        self._progress[member.name] = HeartbeatProgress(
            due=now + self._rng.uniform(0, self._heartbeat_interval)
        )

    def _close_link(self, name: str) -> None:
        """Stops a link without waiting for its task."""
        link = self._links.pop(name)
        del self._progress[name]
        self._run_in_background(link.stop())

    def _log_task_failure(self, task: asyncio.Task[None]) -> None:
        """Logs the exception of a failed task, which would otherwise stop the mesh unnoticed."""
        if not task.cancelled() and task.exception() is not None:
            reason = repr(task.exception())
            self._log.error(LogEvent.INTERNAL_ERROR, task=task.get_name(), reason=reason)

    def _run_in_background(self, coroutine: Any) -> None:
        """Runs a short coroutine as a task, referenced so that it is not garbage-collected."""
        task = asyncio.create_task(coroutine)
        self._tasks.append(task)
        task.add_done_callback(self._tasks.remove)

    def _make_link(self, member: Member) -> PeerLink:
        """Creates a link that reports its connection state to the membership."""
        return PeerLink(
            member,
            self._authenticated_hello,
            self._cfg.peers,
            self._rng,
            on_connected=self._on_connected,
            on_lost=self._on_lost,
        )

    def _on_demand_link(self, name: str) -> PeerLink | None:
        """Returns a link for calls to a member without a heartbeat link, or None if unknown."""
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
        """Returns the Hello of this entry, including the secret."""
        hello = self.own_hello()
        hello.secret = self._cfg.fleet_secret
        return hello

    def _on_connected(self, hello: Any) -> None:
        """Handles the Hello of a peer that this entry connected to."""
        self._membership.on_peer_seen(self._clock(), to_member(hello))
        progress = self._progress.get(hello.instance)
        if progress is None:
            return
        if progress.incarnation != hello.incarnation:
            # The new process does not have the state that the old one acknowledged.
            progress.incarnation = hello.incarnation
            progress.acked_usage.clear()
            progress.acked_notices = 0
        progress.due = 0.0
        self._next_peer_update = 0.0
        self._wake.set()

    def _on_lost(self, name: str) -> None:
        """Records a failed attempt to connect to a peer."""
        self._membership.on_unreachable(self._clock(), name)

    def _sample_state(self, now: float) -> None:
        """Samples the state of this entry and records the changes of usage."""
        self._local_state = self._state.local_state(now)
        self._highest_version = max(
            self._highest_version,
            self._local_state.highest_version,
            self._local_state.config_version,
        )
        data_centres = {link.peer.data_centre for link in self._links.values()}
        is_representative = bool(data_centres - {self.local_member.data_centre})
        # There are two samples per interval, and one heartbeat carries the changes of both.
        limit = max(1, self._usage_limit() // 2)
        self._usage_exchange.record_sample(now, self._local_state.usage, is_representative, limit)
        self._next_sample = now + SAMPLE_INTERVAL_SHARE * self._heartbeat_interval

    def _send_due_heartbeats(self, now: float, name: str) -> None:
        """Sends one peer its regular heartbeat, and a local peer also the relayed totals."""
        progress = self._progress[name]
        link = self._links[name]
        progress.due = now + self._heartbeat_interval * self._rng.uniform(0.9, 1.1)
        if link.is_down or (progress.in_flight is not None and not progress.in_flight.done()):
            return
        if link.peer.data_centre != self.local_member.data_centre:
            self._send_heartbeat(
                now, link, progress, self.local_member.data_centre, is_regular=True
            )
            return
        self._send_heartbeat(now, link, progress, OWN_SCOPE, is_regular=True)
        for scope in self._usage_exchange.relayed_scopes:
            self._send_heartbeat(now, link, progress, scope, is_regular=False)

    def _send_heartbeat(
        self,
        now: float,
        link: PeerLink,
        progress: HeartbeatProgress,
        scope: str,
        is_regular: bool,
    ) -> None:
        """Sends one heartbeat.

        Args:
            now: Current time in seconds.
            link: Link to the peer.
            progress: Positions that the peer has acknowledged.
            scope: Data centre that the usage covers, or OWN_SCOPE for this entry.
            is_regular: Whether to include notices, and to send it even without usage.
        """
        limit = self._usage_limit()
        usage, usage_position = self._usage_exchange.changes_after(
            now, scope, progress.acked_usage.get(scope, 0), limit
        )
        if not usage and not is_regular:
            return
        remote = link.peer.data_centre != self.local_member.data_centre
        notices, notice_position = (), progress.acked_notices
        if is_regular:
            notices, notice_position = self._notice_log.after(progress.acked_notices, remote)
        self._sequence += 1
        local = self._local_state
        # Empty lists and zeros are omitted from the message; readers get them as defaults.
        heartbeat = Heartbeat(
            instance=self.local_member.name,
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
        """Records the positions that a peer acknowledged with its reply."""
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
        """Returns the maximum usage values per heartbeat that keep to MAX_USAGE_RATE overall."""
        share = MAX_USAGE_RATE * self._heartbeat_interval / max(1, len(self._links))
        return int(min(MAX_USAGE_ENTRIES, max(MIN_USAGE_ENTRIES, share)))

    def _leaving_backends(self, remote: bool) -> list[str]:
        """Returns the leaving backend servers to report to local or remote peers.

        Reports are relayed between data centres, not within one.
        """
        names = set(self._local_state.leaving)
        for link in self._links.values():
            from_remote = link.peer.data_centre != self.local_member.data_centre
            if from_remote != remote:
                names |= self._merger.leaving(link.peer.name)
        return sorted(names)

    async def _sync_config(self) -> None:
        """Fetches configuration from a peer whenever one has a newer version."""
        while True:
            await self._config_outdated.wait()
            await asyncio.sleep(self._rng.uniform(*CONFIG_FETCH_DELAY))
            self._config_outdated.clear()
            self._local_state = self._state.local_state(self._clock())
            if self._highest_version > self._local_state.config_version:
                await self._fetch_config()

    async def _fetch_config(self) -> None:
        """Fetches and applies the configuration that one peer has beyond the local version."""
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
        """Whether an entry is in the data centre of this entry."""
        return member.data_centre == self.local_member.data_centre
