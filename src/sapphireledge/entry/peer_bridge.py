"""Adapter between the peer mesh and the components of the instance."""

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
    """Provides the state sent to peers and applies theirs; see `LocalStateSource`, `PeerEvents`."""

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
            view: View of the backend servers.
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
        """Connects the components that are created after the mesh because they depend on it.

        Args:
            pool: Provides the numbers of running and queued attempts.
            suspects: Exchange of engine deaths and clearings.
        """
        self._pool = pool
        self._suspects = suspects

    def local_state(self, now: float) -> LocalState:
        """Returns the state sent in heartbeats, see `LocalStateSource`."""
        pool, suspects = self._pool, self._suspects
        usage = self._ledger.changes(now, 0).usage
        return LocalState(
            state=self._lifecycle.state,
            config_version=self._config.applied_version,
            highest_version=self._config.highest_version,
            usage=usage,
            leaving=suspects.list_leaving() if suspects is not None else (),
            running=pool.running if pool is not None else 0,
            queued=pool.queued if pool is not None else 0,
            platform_reachable=self._is_platform_reachable(),
        )

    def on_usage(
        self, now: float, source: str, usage: Mapping[str, float], restarted: bool
    ) -> None:
        """Applies the usage reported by a peer, see `PeerEvents`."""
        if restarted:
            self._ledger.remove_peer(now, source)
        self._ledger.merge_peer(now, source, usage)

    def on_deaths(self, now: float, deaths: tuple[DeathNotice, ...]) -> None:
        """Applies engine deaths, see `PeerEvents`."""
        if self._suspects is not None:
            self._suspects.on_peer_deaths(deaths)

    def on_clearings(self, now: float, clearings: tuple[ClearingNotice, ...]) -> None:
        """Applies clearings of suspected requests, see `PeerEvents`."""
        if self._suspects is not None:
            self._suspects.on_peer_clearings(clearings)

    def on_leaving(self, now: float, backends: tuple[str, ...]) -> None:
        """Marks backend servers as leaving, see `PeerEvents`."""
        for backend in backends:
            self._view.on_leaving(time.monotonic(), backend)

    def on_config_versions(self, now: float, highest: int) -> None:
        """Records the highest configuration version known to peers, see `PeerEvents`."""
        self._config.observe_version(highest)

    def on_membership(self, now: float, members: tuple[Member, ...]) -> None:
        """Applies the set of live instances, see `PeerEvents`."""
        self._view.on_entries(
            time.monotonic(), {member.name: member.data_centre for member in members}
        )

    def apply_config(self, part: Any) -> None:
        """Applies configuration from a peer that has a newer version.

        Args:
            part: A ConfigPart message.
        """
        objects = [
            StoredObject(stored.key, stored.value, stored.version, bool(stored.deleted))
            for stored in part.objects
        ]
        # Complete since the requested version, and therefore also since the current, later one.
        self._config.apply_peer_objects(self._config.applied_version, objects, part.version)
