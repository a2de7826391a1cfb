"""Backend servers that may receive work."""

from __future__ import annotations

from operator import itemgetter
from typing import TYPE_CHECKING

import xxhash

from sapphireledge.gateway.backend_state import BackendState

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

    from sapphireledge.gateway.backend_server import BackendServer

__all__ = ["BackendRegistry"]

REMOTE_COST = 1.5
"""Cost of another data centre, in requests in flight of this instance at a local server.

Work leaves the data centre when a local server has two more requests of this instance than a remote
one: a round trip between regions is 60 ms, a prompt before an own one is about a second.
"""

FAILURE_COST = 6.0
"""Cost of a server that fails every request, in requests in flight."""

SUSPENDED_COST = 100.0
"""Cost of a server that recently did not answer; it is used only if all others failed, too."""

SUSPECT_CENTRE_LOSSES = 2
"""Servers of a data centre that must fail together for the others there to count as suspect."""

SUSPECT_CENTRE_WINDOW = 0.5
"""Seconds within which such failures count as one event."""

SUSPECT_CENTRE_DURATION = 1.0
"""Seconds for which the rest of such a data centre is avoided."""

SUSPECT_CENTRE_COST = 20.0
"""Cost of a server in such a data centre, in requests in flight."""


class BackendRegistry:
    """Holds the state of each backend server and chooses among them."""

    def __init__(self, data_centre: str) -> None:
        """Creates an empty registry.

        Args:
            data_centre: Data centre of this instance.
        """
        self._data_centre = data_centre
        self._states: dict[str, BackendState] = {}
        self._by_service: dict[str, dict[str, BackendState]] = {}
        self._recent_losses: dict[str, list[tuple[float, str]]] = {}
        self._suspect_until: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._states)

    def put(self, server: BackendServer) -> bool:
        """Adds or changes a backend server.

        Args:
            server: Latest description.

        Returns:
            Whether something that matters for routing changed.
        """
        state = self._states.get(server.server_id)
        if state is not None and _is_restart(state.server, server):
            self.remove(server.server_id)
            state = None
        if state is None:
            state = BackendState(server)
            self._states[server.server_id] = state
            self._by_service.setdefault(server.service, {})[server.server_id] = state
            return True
        changed = state.server.leaving != server.leaving
        state.server = server
        return changed

    def remove(self, server_id: str) -> None:
        """Removes a backend server; requests in flight continue.

        Args:
            server_id: Identity; an unknown one is ignored.
        """
        state = self._states.pop(server_id, None)
        if state is not None:
            self._by_service[state.server.service].pop(server_id, None)

    def ids(self) -> frozenset[str]:
        """Lists the known backend servers.

        Returns:
            Their identities.
        """
        return frozenset(self._states)

    def state(self, server_id: str) -> BackendState | None:
        """Finds the state of a backend server.

        Args:
            server_id: Identity.

        Returns:
            The state, or None if the server is not known.
        """
        return self._states.get(server_id)

    def count(self, service: str) -> int:
        """Counts the servers of a service that take new work.

        Args:
            service: Name of the service.

        Returns:
            Their number.
        """
        return sum(1 for _ in self._available(service, ()))

    def choose(
        self,
        now: float,
        service: str,
        affinity: str,
        excluded: Collection[str] = (),
        deprioritized_centres: Collection[str] = (),
    ) -> BackendServer | None:
        """Chooses a backend server.

        Servers of equal cost are ordered by rendezvous hashing over the affinity, so that a
        repetition of a request meets the prompt cache that its first attempt filled, also from
        another instance.

        Args:
            now: Time in seconds.
            service: Name of the service.
            affinity: What a repetition of the request has in common with it.
            avoid: Identities that must not be chosen.
            avoid_centres: Data centres that are used only if no other has a server.

        Returns:
            The server, or None if none is left.
        """
        ranked = self.rank_servers(now, service, affinity, excluded, deprioritized_centres)
        return ranked[0] if ranked else None

    def rank_servers(
        self,
        now: float,
        service: str,
        affinity: str,
        excluded: Collection[str] = (),
        deprioritized_centres: Collection[str] = (),
    ) -> list[BackendServer]:
        """Orders the backend servers of a service; see `choose`.

        Args:
            now: Time in seconds.
            service: Name of the service.
            affinity: What a repetition of the request has in common with it.
            avoid: Identities that must not be chosen.
            avoid_centres: Data centres that come last.

        Returns:
            The servers, the best first.
        """
        found = [
            (
                state.server.data_centre in deprioritized_centres,
                self._cost(now, state),
                xxhash.xxh3_64_intdigest(f"{affinity}/{state.server.server_id}".encode()),
                state.server,
            )
            for state in self._available(service, excluded)
        ]
        return [server for *_, server in sorted(found, key=itemgetter(0, 1, 2))]

    def is_available(self, server_id: str) -> bool:
        """Whether a server takes new work.

        Args:
            server_id: Identity.

        Returns:
            False also for an unknown server.
        """
        state = self._states.get(server_id)
        return state is not None and not state.server.leaving

    def on_unreachable(self, now: float, server: BackendServer) -> None:
        """Notes that a server reset its connections or fell silent.

        Args:
            now: Time in seconds.
            server: The server.
        """
        state = self._states.get(server.server_id)
        if state is not None:
            state.on_failure(now, suspend=True)
        data_centre = server.data_centre
        recent = [
            entry
            for entry in self._recent_losses.get(data_centre, ())
            if entry[0] > now - SUSPECT_CENTRE_WINDOW
        ]
        recent.append((now, server.server_id))
        self._recent_losses[data_centre] = recent
        if len({name for _, name in recent}) >= SUSPECT_CENTRE_LOSSES:
            self._suspect_until[data_centre] = now + SUSPECT_CENTRE_DURATION

    def _available(self, service: str, excluded: Collection[str]) -> Iterator[BackendState]:
        """Iterates over the servers of a service that take new work."""
        for server_id, state in self._by_service.get(service, {}).items():
            if not state.server.leaving and server_id not in excluded:
                yield state

    def _cost(self, now: float, state: BackendState) -> float:
        """Computes the cost of a server in requests in flight."""
        server = state.server
        cost = float(state.running) + FAILURE_COST * state.failure_rate
        if server.data_centre != self._data_centre:
            cost += REMOTE_COST
        if now < state.suspended_until:
            cost += SUSPENDED_COST
        if now < self._suspect_until.get(server.data_centre, 0.0):
            cost += SUSPECT_CENTRE_COST
        return round(cost, 1)


def _is_restart(old: BackendServer, new: BackendServer) -> bool:
    """Whether a description belongs to another incarnation under the same identity."""
    return bool(old.born and new.born and old.born != new.born) or (
        (old.service, old.host, old.port) != (new.service, new.host, new.port)
    )
