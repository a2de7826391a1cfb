"""Connects the mesh to the parts of the instance."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from sapphireledge.objects import StoredObject
from sapphireledge.peers import LocalState

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    from typing import Any

    from sapphireledge.core.admission import UsageLedger
    from sapphireledge.core.config import ConfigState
    from sapphireledge.core.membership import ClearingNotice, DeathNotice, Member
    from sapphireledge.core.routing import BackendView
    from sapphireledge.entry.backend_pool import BackendPool
    from sapphireledge.entry.lifecycle import Lifecycle
    from sapphireledge.entry.suspect_exchange import SuspectExchange

__all__ = ["PeerBridge"]


class PeerBridge:
    """Tells peers about this instance and takes what they say; see `PeerState`, `PeerEvents`."""

    def __init__(
        self,
        lifecycle: Lifecycle,
        config: ConfigState,
        ledger: UsageLedger,
        view: BackendView,
        is_platform_reachable: Callable[[], bool],
    ) -> None:
        """Creates the bridge; `connect` completes it.

        Args:
            lifecycle: State of the process.
            config: Declarations in force.
            ledger: Usage of workspaces.
            view: What the instance knows about backend servers.
            is_platform_reachable: Whether calls to the platform succeed.
        """
        self._lifecycle = lifecycle
        self._config = config
        self._ledger = ledger
        self._view = view
        self._is_platform_reachable = is_platform_reachable
        self._pool: BackendPool | None = None
        self._suspects: SuspectExchange | None = None

    def connect(self, pool: BackendPool, suspects: SuspectExchange) -> None:
        """Completes the bridge with the parts that need the mesh themselves.

        Args:
            pool: Queues and backend servers.
            suspects: Exchange of engine deaths.
        """
        self._pool = pool
        self._suspects = suspects

    def local_state(self, now: float) -> LocalState:
        """Returns what heartbeats carry, see `PeerState`."""
        pool, suspects = self._pool, self._suspects
        usage = self._ledger.changes(now, 0).usage
        return LocalState(
            state=self._lifecycle.state,
            config_version=self._config.applied_version,
            highest_version=self._config.highest_version,
            usage=usage,
            leaving=suspects.leaving_backends() if suspects is not None else (),
            running=pool.running if pool is not None else 0,
            queued=pool.queued if pool is not None else 0,
            platform_reachable=self._is_platform_reachable(),
        )

    def on_usage(
        self, now: float, source: str, usage: Mapping[str, float], restarted: bool
    ) -> None:
        """Takes the usage that a peer reports, see `PeerEvents`."""
        if restarted:
            self._ledger.remove_peer(now, source)
        self._ledger.merge_peer(now, source, usage)

    def on_deaths(self, now: float, deaths: tuple[DeathNotice, ...]) -> None:
        """Takes engine deaths, see `PeerEvents`."""
        if self._suspects is not None:
            self._suspects.on_peer_deaths(deaths)

    def on_clearings(self, now: float, clearings: tuple[ClearingNotice, ...]) -> None:
        """Takes clearings of suspects, see `PeerEvents`."""
        if self._suspects is not None:
            self._suspects.on_peer_clearings(clearings)

    def on_leaving(self, now: float, backends: tuple[str, ...]) -> None:
        """Takes leaving backend servers, see `PeerEvents`."""
        for backend in backends:
            self._view.on_leaving(time.monotonic(), backend)

    def on_config_versions(self, now: float, highest: int) -> None:
        """Takes the highest configuration version that peers know of, see `PeerEvents`."""
        self._config.observe_version(highest)

    def on_membership(self, now: float, members: tuple[Member, ...]) -> None:
        """Takes the live instances, see `PeerEvents`."""
        self._view.on_entries(
            time.monotonic(), {member.name: member.data_centre for member in members}
        )

    def apply_config(self, part: Any) -> None:
        """Takes configuration that a peer ahead of this instance has.

        Args:
            part: A ConfigPart message.
        """
        objects = [
            StoredObject(stored.key, stored.value, stored.version, bool(stored.deleted))
            for stored in part.objects
        ]
        # What a peer has beyond an earlier version is also complete beyond the present one.
        self._config.apply_peer_objects(self._config.applied_version, objects, part.version)
