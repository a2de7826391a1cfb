"""Applies registry entries of the store to the gateway's backend servers."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import TYPE_CHECKING

import msgspec
import structlog

from sapphireledge.gateway import GatewayEvent
from sapphireledge.platform.decode_server import decode_server

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sapphireledge.feed import StoredEntry
    from sapphireledge.gateway import BackendServer, Gateway

__all__ = ["ServerListener"]


RECOVERY_GRACE = 2.2
"""Seconds for which missing entries stay in use after the store recovers; backend servers whose
entries expired register again within about 2 s."""

RETURN_HEARTBEATS = 4.0
"""Heartbeat intervals for which an entry that was removed, and that an older copy of the store
brings back, is not used. The store removes the entry of a lost server after three intervals."""

MAX_REMOVED = 4096
"""Largest number of removed incarnations that are remembered."""

EXPIRY_HEARTBEATS = 1.5
"""Heartbeat intervals that an outage of the store must last for entries to expire in it. An entry
expires after three intervals without a heartbeat, and the last one is at most one interval older
than the outage; the rest is a margin for late heartbeats."""


class ServerListener:
    """Implements `KindListener` for backend servers.

    Entries expire while the store is unavailable. After its recovery, a missing entry stays in use
    until the backend server has had time to register again. A store that comes back from an older
    copy lacks entries that were added since, which are registered again, too, and has entries that
    were removed since, which are not used until the store would have removed them again.
    """

    def __init__(
        self, gateway: Gateway, heartbeat: float, recovery_grace: float = RECOVERY_GRACE
    ) -> None:
        """Creates the listener.

        Args:
            gateway: Gateway whose registry is updated.
            heartbeat: Seconds between two heartbeats of a backend server.
            recovery_grace: Seconds for which missing entries stay in use after the store recovers.
        """
        self._context = gateway.context
        self._return_delay = RETURN_HEARTBEATS * heartbeat
        self._min_outage = EXPIRY_HEARTBEATS * heartbeat
        self._recovery_grace = recovery_grace
        self._log = structlog.get_logger()
        self._grace_until = float("-inf")
        self._removal_timers: dict[str, asyncio.TimerHandle] = {}
        self._removed: OrderedDict[tuple[str, int], None] = OrderedDict()
        self._removed_before_restore: frozenset[tuple[str, int]] = frozenset()
        self._returns_at = float("-inf")
        self._return_timers: dict[str, asyncio.TimerHandle] = {}

    def replace_all(self, entries: Sequence[StoredEntry]) -> None:
        """Applies a full listing; see `KindListener.replace_all`."""
        for server_id in self._context.registry.ids() - {entry.name for entry in entries}:
            self._schedule_removal(server_id)
        self.apply(entries)

    def apply(self, entries: Sequence[StoredEntry]) -> None:
        """Applies changes; see `KindListener.apply`."""
        for entry in entries:
            if entry.removed:
                self._schedule_removal(entry.name)
            else:
                self._update_server(entry)
        self._on_changed()

    def confirm(self, as_of: float) -> None:
        """Passes on how recent the registry is, which only take-ups of streams depend on."""
        self._context.origins.on_registry_confirmed(as_of)

    def on_store_recovered(self, outage: float) -> None:
        """Starts the grace period in which missing entries stay in use.

        After a short outage or a stall of this process, a missing entry was not lost by expiry.
        """
        if outage >= self._min_outage:
            self._grace_until = asyncio.get_running_loop().time() + self._recovery_grace

    def on_store_restored(self) -> None:
        """Starts the grace period, and holds back entries that were removed before."""
        now = asyncio.get_running_loop().time()
        self._grace_until = now + self._recovery_grace
        self._returns_at = now + self._return_delay
        self._removed_before_restore = frozenset(self._removed)

    def _on_changed(self) -> None:
        """Passes on that servers were added, changed or removed."""
        self._context.origins.on_servers_changed()
        self._context.rollouts.on_servers_changed()

    def _update_server(self, entry: StoredEntry) -> None:
        """Adds or updates a backend server; an entry that cannot be decoded removes it."""
        _cancel_timer(self._removal_timers, entry.name)
        _cancel_timer(self._return_timers, entry.name)
        try:
            server = decode_server(entry.name, entry.spec)
        except (msgspec.ValidationError, ValueError, RecursionError) as exc:
            self._log.warning(GatewayEvent.SERVER_UNREADABLE, server=entry.name, reason=str(exc))
            self._context.registry.remove(entry.name)
            return
        loop = asyncio.get_running_loop()
        if loop.time() < self._returns_at and _incarnation(server) in self._removed_before_restore:
            self._return_timers[entry.name] = loop.call_at(self._returns_at, self.apply, [entry])
            return
        self._removed.pop(_incarnation(server), None)
        self._record_replaced(server)
        if self._context.registry.put(server):
            self._log.info(
                GatewayEvent.SERVER_ADDED,
                server=server.server_id,
                service=server.service,
                address=server.address,
                data_centre=server.data_centre,
                leaving=server.draining,
                version=server.version,
            )

    def _record_replaced(self, server: BackendServer) -> None:
        """Records the end of the incarnation whose entry another one has taken over, if any."""
        state = self._context.registry.state(server.server_id)
        if (
            state is not None
            and state.server.started_at_ms
            and server.started_at_ms
            and _incarnation(state.server) != _incarnation(server)
            and not state.backpressure.is_leaving
        ):
            self._context.crashes.on_server_gone(state.server)

    def _schedule_removal(self, server_id: str) -> None:
        """Removes a backend server at once, or at the end of the grace period."""
        _cancel_timer(self._return_timers, server_id)
        loop = asyncio.get_running_loop()
        if loop.time() >= self._grace_until:
            self._remove(server_id)
        elif server_id not in self._removal_timers:
            self._removal_timers[server_id] = loop.call_at(
                self._grace_until, self._remove_late, server_id
            )

    def _remove_late(self, server_id: str) -> None:
        """Removes a backend server at the end of the grace period."""
        self._remove(server_id)
        self._on_changed()

    def _remove(self, server_id: str) -> None:
        """Removes a backend server and its pooled connections."""
        self._removal_timers.pop(server_id, None)
        state = self._context.registry.state(server_id)
        if state is not None:
            self._removed[_incarnation(state.server)] = None
            if len(self._removed) > MAX_REMOVED:
                self._removed.popitem(last=False)
            if not state.backpressure.is_leaving:
                self._context.crashes.on_server_gone(state.server)
        self._context.registry.remove(server_id)
        self._context.pool.drop(server_id)
        self._log.info(GatewayEvent.SERVER_REMOVED, server=server_id)


def _incarnation(server: BackendServer) -> tuple[str, int]:
    """Returns what tells the incarnations of a server apart: its id and its start time."""
    return server.server_id, server.started_at_ms


def _cancel_timer(timers: dict[str, asyncio.TimerHandle], server_id: str) -> None:
    """Cancels the timer of a server, if there is one."""
    timer = timers.pop(server_id, None)
    if timer is not None:
        timer.cancel()
