"""Registry of the backend servers that requests may be sent to."""

from __future__ import annotations

from collections import OrderedDict
from copy import copy, deepcopy
from operator import itemgetter
from random import Random
from time import time
from typing import TYPE_CHECKING

import xxhash

from sapphireledge.core.backpressure import (
    BackpressureLimits,
    ContactEstimator,
    ServerBackpressure,
)
from sapphireledge.gateway.backend_state import BackendState
from sapphireledge.gateway.server_cost import ServerCost

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterator

    from sapphireledge.core.backpressure import ServerSignals
    from sapphireledge.gateway.backend_server import BackendServer

__all__ = ["BackendRegistry"]

REMOTE_COST = 1.5
"""Cost of a server in another data centre, in requests in flight from this instance.

A remote server is chosen once a local one has two more requests of this instance in flight: a round
trip between regions takes 60 ms, and waiting for another request's prompt takes about a second.
"""

FAILURE_COST = 6.0
"""Cost of a server with a failure rate of 1, in requests in flight."""

SUSPENDED_COST = 100.0
"""Cost of a suspended server, in requests in flight; it is used only if all others failed too."""

BACKPRESSURE_LIMITS = BackpressureLimits()
"""How requests are held back from servers that ask for it."""

MAX_INCARNATIONS = 8192
"""Largest number of incarnations of servers whose requests to hold back are remembered."""

SUSPECT_CENTRE_LOSSES = 2
"""Servers of a data centre that must become unreachable within `SUSPECT_CENTRE_WINDOW` for the
whole data centre to be treated as suspect."""

SUSPECT_CENTRE_WINDOW = 0.5
"""Seconds within which such losses are counted together."""

SUSPECT_CENTRE_DURATION = 1.0
"""Seconds for which servers in a suspect data centre are avoided."""

SUSPECT_CENTRE_COST = 20.0
"""Cost of a server in a suspect data centre, in requests in flight."""


class BackendRegistry:
    """Tracks the state of each backend server and ranks servers for new requests."""

    def __init__(self, data_centre: str, instance: str = "", rng: Random | None = None) -> None:
        """Creates an empty registry.

        Args:
            data_centre: Data centre of this instance.
            instance: Name of this instance.
            rng: Source of the times of first slots, by default seeded by the system.
        """
        self._data_centre = data_centre
        self._instance = instance
        self._states: dict[str, BackendState] = {}
        self._by_service: dict[str, dict[str, BackendState]] = {}
        self._orders: dict[str, list[BackendState]] = {}
        self._recent_losses: dict[str, list[tuple[float, str]]] = {}
        self._suspect_until: dict[str, float] = {}
        self._backpressures: OrderedDict[tuple[str, int], ServerBackpressure] = OrderedDict()
        self._contacts: dict[str, ContactEstimator] = {}
        self._rng = Random() if rng is None else rng
        self.on_added: Callable[[BackendServer], None] = lambda _: None
        """Called with each new or restarted server."""

        self.on_removed: Callable[[BackendServer], None] = lambda _: None
        """Called with each server that is removed, also for a restarted one."""

    def __len__(self) -> int:
        return len(self._states)

    def copy_for(self, service: str) -> BackendRegistry:
        """Copies what is known about the servers of one service.

        Args:
            service: Name of the service.

        Returns:
            A registry that can change without effect on this one.
        """
        copied = BackendRegistry(self._data_centre, self._instance, deepcopy(self._rng))
        shared: dict[int, object] = {}
        for server_id, state in self._by_service.get(service, {}).items():
            copied._states[server_id] = copied_state = copy(state)
            copied_state.backpressure = deepcopy(state.backpressure, shared)
        copied._by_service[service] = dict(copied._states)
        copied._recent_losses = {name: list(lost) for name, lost in self._recent_losses.items()}
        copied._suspect_until = dict(self._suspect_until)
        return copied

    def explain_cost(self, now: float, server_id: str) -> ServerCost | None:
        """Computes the terms of the cost by which servers are ranked.

        Args:
            now: Event loop time in seconds.
            server_id: Server id.

        Returns:
            The terms, None for an unknown server.
        """
        state = self._states.get(server_id)
        return None if state is None else ServerCost(*self._cost_terms(now, state))

    def put(self, server: BackendServer) -> bool:
        """Adds or updates a backend server.

        Args:
            server: Latest description of the server.

        Returns:
            Whether the server is new, restarted, or started draining.
        """
        state = self._states.get(server.server_id)
        if state is not None and server.is_restart_of(state.server):
            self.remove(server.server_id)
            state = None
        if state is None:
            state = BackendState(server, self._recall_backpressure(server), time())
            self._states[server.server_id] = state
            self._by_service.setdefault(server.service, {})[server.server_id] = state
            self._orders.pop(server.service, None)
            self.on_added(server)
            changed = True
        else:
            changed = server.draining and not state.backpressure.is_leaving
            state.server = server
        if server.draining:
            state.backpressure.on_leaving()
        return changed

    def remove(self, server_id: str) -> None:
        """Removes a backend server; its requests in flight continue.

        Args:
            server_id: Server id; an unknown one is ignored.
        """
        state = self._states.pop(server_id, None)
        if state is not None:
            self._by_service[state.server.service].pop(server_id, None)
            self._orders.pop(state.server.service, None)
            if state.server.service in self._contacts:
                self._contacts[state.server.service].forget(server_id)
            self.on_removed(state.server)

    def _recall_backpressure(self, server: BackendServer) -> ServerBackpressure:
        """Returns what an incarnation asked for before its entry was removed, if it is known.

        An entry can be removed and come back while its server runs.
        """
        incarnation = (server.server_id, server.started_at_ms)
        backpressure = self._backpressures.pop(incarnation, None)
        if backpressure is None:
            backpressure = ServerBackpressure(BACKPRESSURE_LIMITS, self._rng)
        if server.started_at_ms:
            self._backpressures[incarnation] = backpressure
            if len(self._backpressures) > MAX_INCARNATIONS:
                self._backpressures.popitem(last=False)
        return backpressure

    def on_response(
        self, now: float, server_id: str, signals: ServerSignals, instances: int
    ) -> bool:
        """Applies what a response says about the requests that its server takes.

        Args:
            now: Event loop time in seconds.
            server_id: Server id; an unknown one is ignored.
            signals: Signals of the response.
            instances: Number of instances that share the rate of the server.

        Returns:
            Whether the server says something else than in its latest response.
        """
        state = self._states.get(server_id)
        if state is None:
            return False
        service = state.server.service
        contacts = self._contacts.setdefault(service, ContactEstimator())
        contacts.on_response(now, server_id)
        interval = contacts.estimate_interval(now, len(self._by_service[service]))
        has_changed = state.backpressure.signals != signals
        state.backpressure.on_response(now, signals, instances, interval)
        return has_changed

    def retain_services(self, services: Collection[str]) -> None:
        """Forgets other services that have no backend server.

        Args:
            services: Names of the services to keep.
        """
        for name in self._by_service.keys() - services:
            if not self._by_service[name]:
                del self._by_service[name]
                self._contacts.pop(name, None)
                self._orders.pop(name, None)

    def count_servers(self, service: str, is_dead: Callable[[BackendServer], bool]) -> int:
        """Counts the known backend servers of a service that run.

        Args:
            service: Name of the service.
            is_dead: Returns whether a server is known to have died.

        Returns:
            Their number.
        """
        states = self._by_service.get(service, {}).values()
        return sum(1 for state in states if not is_dead(state.server))

    def services(self) -> frozenset[str]:
        """Lists the services that have or had a known backend server.

        Returns:
            Their names.
        """
        return frozenset(self._by_service)

    def list_servers(self, service: str) -> Iterator[BackendServer]:
        """Iterates over the known backend servers of a service.

        Args:
            service: Name of the service.

        Yields:
            The servers, also those that are leaving.
        """
        for state in self._by_service.get(service, {}).values():
            yield state.server

    def ids(self) -> frozenset[str]:
        """Lists the ids of all known backend servers.

        Returns:
            The server ids.
        """
        return frozenset(self._states)

    def state(self, server_id: str) -> BackendState | None:
        """Looks up the state of a backend server.

        Args:
            server_id: Server id.

        Returns:
            The state, or None if the server is unknown.
        """
        return self._states.get(server_id)

    def count(self, service: str) -> int:
        """Counts the servers of a service that accept new requests.

        Args:
            service: Name of the service.

        Returns:
            The number of servers.
        """
        return sum(1 for _ in self._iter_available(service, ()))

    def choose(
        self,
        now: float,
        service: str,
        affinity: str,
        excluded: Collection[str] = (),
        deprioritized_centres: Collection[str] = (),
    ) -> BackendServer | None:
        """Chooses the backend server with the lowest cost that takes a request now.

        Ties are broken by rendezvous hashing over the affinity key, so that a repeated request
        reaches the server whose prompt cache already holds its prompt, whichever instance
        forwards it.

        Args:
            now: Event loop time in seconds.
            service: Name of the service.
            affinity: Affinity key, equal for repetitions of the same request.
            excluded: Ids of servers that must not be chosen.
            deprioritized_centres: Data centres that are used only if no other has a server.

        Returns:
            The server, or None if none is available.
        """
        ranked = self.rank_servers(now, service, affinity, excluded, deprioritized_centres)
        return next((server for server in ranked if self.admits(now, server.server_id)), None)

    def admits(self, now: float, server_id: str) -> bool:
        """Checks whether a request may be sent to a server now.

        Args:
            now: Event loop time in seconds.
            server_id: Server id.

        Returns:
            False if the server is leaving, unknown, or takes no request now.
        """
        state = self._states.get(server_id)
        return state is not None and state.backpressure.next_at(now) <= now

    def is_closed(self, now: float, server_id: str) -> bool:
        """Checks whether not even a reserved request may be sent to a server.

        Args:
            now: Event loop time in seconds.
            server_id: Server id.

        Returns:
            Whether the server is leaving, unknown, or has asked for a pause.
        """
        state = self._states.get(server_id)
        return state is None or state.backpressure.is_closed(now)

    def try_take(self, now: float, server_id: str) -> bool:
        """Records that a request is sent to a server, if the server takes one now.

        Args:
            now: Event loop time in seconds.
            server_id: Server id.

        Returns:
            Whether the request may be sent.
        """
        if not self.admits(now, server_id):
            return False
        self._states[server_id].backpressure.take(now)
        return True

    def next_admission(self, now: float, service: str, excluded: Collection[str] = ()) -> float:
        """Computes when the next request of a service may be sent to one of its servers.

        Args:
            now: Event loop time in seconds.
            service: Name of the service.
            excluded: Ids of servers to leave out.

        Returns:
            Event loop time in seconds, infinite without a server.
        """
        states = self._iter_available(service, excluded)
        return min((state.backpressure.next_at(now) for state in states), default=float("inf"))

    def reserve(
        self, now: float, latest: float, service: str, excluded: Collection[str] = ()
    ) -> tuple[BackendServer, float] | None:
        """Reserves the next time at which a server of a service takes a request.

        Args:
            now: Event loop time in seconds.
            latest: Event loop time in seconds after which a request is of no use.
            service: Name of the service.
            excluded: Ids of servers to leave out.

        Returns:
            The server and the time at which the request may be sent, or None if there is none.
        """
        states = list(self._iter_available(service, excluded))
        if not states:
            return None
        state = min(states, key=lambda candidate: candidate.backpressure.next_at(now))
        send_at = state.backpressure.next_at(now)
        if send_at > latest:
            return None
        state.backpressure.take(now)
        return state.server, send_at

    def rank_servers(
        self,
        now: float,
        service: str,
        affinity: str,
        excluded: Collection[str] = (),
        deprioritized_centres: Collection[str] = (),
    ) -> list[BackendServer]:
        """Ranks the available backend servers of a service as described in `choose`.

        Args:
            now: Event loop time in seconds.
            service: Name of the service.
            affinity: Affinity key, equal for repetitions of the same request.
            excluded: Ids of servers to leave out.
            deprioritized_centres: Data centres whose servers are ranked last.

        Returns:
            The servers, best first.
        """
        keyed = [
            (
                state.server.data_centre in deprioritized_centres,
                round(sum(self._cost_terms(now, state)), 1),
                xxhash.xxh3_64_intdigest(f"{affinity}/{state.server.server_id}".encode()),
                state.server,
            )
            for state in self._iter_available(service, excluded)
        ]
        return [server for *_, server in sorted(keyed, key=itemgetter(0, 1, 2))]

    def list_preferred(
        self, now: float, service: str, excluded: Collection[str] = ()
    ) -> Iterator[BackendServer]:
        """Iterates over the available servers in the order of preference of this instance.

        The order is a different one on each instance, so that instances that see the same load
        reports do not all choose the same server. Servers that failed recently come last.

        Args:
            now: Event loop time in seconds.
            service: Name of the service.
            excluded: Ids of servers to leave out.

        Yields:
            The servers.
        """
        order = self._orders.get(service)
        if order is None:
            order = sorted(self._by_service.get(service, {}).values(), key=self._preference)
            self._orders[service] = order
        avoided = []
        for state in order:
            if state.backpressure.is_leaving or state.server.server_id in excluded:
                continue
            if self._was_lost_recently(now, state):
                avoided.append(state.server)
            else:
                yield state.server
        yield from avoided

    def list_sound(
        self, now: float, service: str, excluded: Collection[str] = ()
    ) -> Iterator[BackendServer]:
        """Iterates over the servers that take a request now and were not lost recently.

        Args:
            now: Event loop time in seconds.
            service: Name of the service.
            excluded: Ids of servers to leave out.

        Yields:
            The servers.
        """
        for state in self._iter_available(service, excluded):
            if state.backpressure.next_at(now) <= now and not self._was_lost_recently(now, state):
                yield state.server

    def list_rated(
        self, now: float, service: str, excluded: Collection[str] = ()
    ) -> Iterator[BackendServer]:
        """Iterates over the servers that name a rate and take a request now.

        Args:
            now: Event loop time in seconds.
            service: Name of the service.
            excluded: Ids of servers to leave out.

        Yields:
            The servers.
        """
        for server_id, state in self._by_service.get(service, {}).items():
            is_rated = state.backpressure.signals.rate_limit is not None
            if is_rated and server_id not in excluded and state.backpressure.next_at(now) <= now:
                yield state.server

    def is_available(self, server_id: str) -> bool:
        """Checks whether a server accepts new requests.

        Args:
            server_id: Server id.

        Returns:
            False if the server is leaving or unknown.
        """
        state = self._states.get(server_id)
        return state is not None and not state.backpressure.is_leaving

    def on_unreachable(self, now: float, server: BackendServer) -> None:
        """Records that a server could not be reached or sent no usable response.

        Suspends the server, and marks its data centre as suspect if `SUSPECT_CENTRE_LOSSES`
        servers there became unreachable within `SUSPECT_CENTRE_WINDOW`.

        Args:
            now: Event loop time in seconds.
            server: The unreachable server.
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
        if len({server_id for _, server_id in recent}) >= SUSPECT_CENTRE_LOSSES:
            self._suspect_until[data_centre] = now + SUSPECT_CENTRE_DURATION

    def _iter_available(self, service: str, excluded: Collection[str]) -> Iterator[BackendState]:
        """Iterates over the servers of a service that accept new requests."""
        for server_id, state in self._by_service.get(service, {}).items():
            if not state.backpressure.is_leaving and server_id not in excluded:
                yield state

    def _preference(self, state: BackendState) -> int:
        """Returns the sort key of a server in the order of this instance."""
        return xxhash.xxh3_64_intdigest(f"{self._instance}/{state.server.server_id}".encode())

    def _was_lost_recently(self, now: float, state: BackendState) -> bool:
        """Whether a server is suspended or its data centre is suspect."""
        suspect_until = self._suspect_until.get(state.server.data_centre, 0.0)
        return now < max(state.suspended_until, suspect_until)

    def _cost_terms(self, now: float, state: BackendState) -> tuple[float, ...]:
        """Computes the terms of the cost of a server, in the order of `ServerCost`."""
        server = state.server
        is_suspect = now < self._suspect_until.get(server.data_centre, 0.0)
        return (
            float(state.in_flight),
            FAILURE_COST * state.failure_rate,
            0.0 if server.data_centre == self._data_centre else REMOTE_COST,
            SUSPENDED_COST if now < state.suspended_until else 0.0,
            SUSPECT_CENTRE_COST if is_suspect else 0.0,
        )
