"""State of all backend servers as one instance sees it."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import replace
from heapq import heappop, heappush
from random import Random
from typing import TYPE_CHECKING

from sapphireledge.core.admission import Capacity
from sapphireledge.core.backpressure import BackpressureLimits, ServerBackpressure
from sapphireledge.core.routing._pool import Pool, Tier
from sapphireledge.core.routing.backend_state import BackendState
from sapphireledge.core.routing.prefix_index import PrefixIndex
from sapphireledge.core.routing.select_subset import MIN_ENTRIES, select_subset

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from sapphireledge.core.backpressure import ServerSignals
    from sapphireledge.core.routing.backend_instance import BackendInstance
    from sapphireledge.core.routing.cache_event import CacheEvent
    from sapphireledge.core.routing.load_report import LoadReport
    from sapphireledge.settings import RoutingSettings

__all__ = ["BackendView"]

PoolKey = tuple[str, str, str]
"""Model, version and role."""

LOCAL_FRACTION = 0.6
"""Fraction of the subset in the local data centre; the rest takes work when that is full."""

MAX_DEPARTED = 4096
"""Maximum number of leaving incarnations remembered after they left the instance list."""

BACKPRESSURE_LIMITS = BackpressureLimits()
"""How requests are held back from backend servers that ask for it."""

UNREACHABLE_TIME = 2.0
"""Time in seconds for which a plain service is excluded after a failed connection."""


MIN_WITNESSES = 4
"""Engines without which it cannot be told whether they have died or this instance is cut off."""


class BackendView:
    """State of all backend servers as one instance sees it.

    It combines the instance list (which lags), load reports (which are delayed and may be lost) and
    local observations. Candidate sets are updated on each event, so that the cost of a routing
    decision does not depend on the number of backend servers.
    """

    def __init__(
        self,
        cfg: RoutingSettings,
        instance: str,
        data_centre: str,
        region: str,
        rng: Random | None = None,
    ):
        self._cfg = cfg
        self._instance = instance
        self._data_centre = data_centre
        self._region = region
        self._states: dict[str, BackendState] = {}
        self._pools: dict[PoolKey, Pool] = {}
        self._entries: dict[str, str] = {instance: data_centre}
        self._report_times: OrderedDict[str, float] = OrderedDict()
        self._departed: OrderedDict[str, str] = OrderedDict()
        self._retry_times: list[tuple[float, str]] = []
        self._rng = rng or Random()
        self.prefixes = PrefixIndex(cfg.cache_half_life)
        """Hints about which engine has cached which prompt prefix."""

    def on_instances(self, now: float, instances: Iterable[BackendInstance]) -> None:
        """Applies the instance list.

        A backend server that is not listed gets no new work. Leaving is final for an engine
        incarnation: a list that lags behind the engine's own signal does not make it usable again.

        Args:
            now: Current time in seconds.
            instances: All backend servers in the list.
        """
        listed = {instance.name: instance for instance in instances}
        for name in [name for name in self._states if name not in listed]:
            self._remove(now, name)
        for name, instance in listed.items():
            state = self._states.get(name)
            if state is None:
                state = self._states[name] = BackendState(
                    instance, self._tier_of(instance), self._create_backpressure()
                )
            elif state.instance == instance:
                continue
            self._leave_pools(state)
            state.instance = instance
            state.tier = self._tier_of(instance)
            state.leaving = state.leaving or instance.leaving
            self._update_pools(state)

    def on_entries(self, now: float, entries: Mapping[str, str]) -> None:
        """Applies the set of live entry instances, among which the backend servers are divided.

        Args:
            now: Current time in seconds.
            entries: Data centre of each entry instance by name.
        """
        entries = {**entries, self._instance: self._data_centre}
        if entries == self._entries:
            return
        self._entries = entries
        for pool in self._pools.values():
            pool.selection_stale = True

    def on_load(self, now: float, report: LoadReport) -> None:
        """Applies a load report.

        Args:
            now: Current time in seconds.
            report: The report; ignored if it is not newer than the previous one.
        """
        self._apply_timeouts(now)
        state = self._states.get(report.backend)
        if state is None:
            return
        if state.report is not None and report.as_of <= state.report.as_of:
            return
        if report.boot_id != state.boot_id:
            if state.boot_id:
                self._leave_pools(state)
                state.reset(report.boot_id, self._create_backpressure())
            state.boot_id = report.boot_id
            state.leaving = state.leaving or self._departed.get(report.backend) == report.boot_id
            self.prefixes.on_boot(now, report.backend, report.boot_id)
        failed = state.unreachable_since
        if failed is not None and report.as_of > failed:
            state.unreachable_since = None
        state.leaving = state.leaving or report.leaving
        state.on_report(report)
        self._report_times[report.backend] = report.as_of
        self._report_times.move_to_end(report.backend)
        self._update_pools(state)

    def on_dispatch(
        self,
        now: float,
        backend: str,
        work_id: str,
        *,
        suspect: bool = False,
        isolate: bool = False,
        prefixes: tuple[int, ...] = (),
    ) -> None:
        """Records that this instance sent work to a backend server.

        Args:
            now: Current time in seconds.
            backend: Name of the backend server.
            work_id: Id of the attempt.
            suspect: Whether the request is a suspect in engine deaths.
            isolate: Whether the work runs isolated from other suspects.
            prefixes: Hashes of the prompt prefixes that the backend server will cache.
        """
        state = self._states.get(backend)
        if state is None or work_id in state.in_flight:
            return
        state.in_flight.add(work_id)
        if suspect or isolate:
            state.suspects.add(work_id)
        if isolate:
            state.isolated.add(work_id)
        state.backpressure.take(now)
        self._update_hold(now, state)
        state.record_load_change(now, 1)
        if prefixes:
            self.prefixes.on_stored(now, backend, prefixes)
        self._update_load(state)

    def on_end(self, now: float, backend: str, work_id: str) -> None:
        """Records that work of this instance ended.

        Args:
            now: Current time in seconds.
            backend: Name of the backend server.
            work_id: Id of the attempt; ignored if unknown.
        """
        state = self._states.get(backend)
        if state is None or work_id not in state.in_flight:
            return
        state.in_flight.discard(work_id)
        state.suspects.discard(work_id)
        state.isolated.discard(work_id)
        state.record_load_change(now, -1)
        self._update_load(state)

    def on_cache_event(self, now: float, event: CacheEvent) -> None:
        """Applies an event of an engine's prefix cache.

        Args:
            now: Current time in seconds.
            event: The event.
        """
        self.prefixes.on_cache_event(now, event)

    def on_leaving(self, now: float, backend: str, boot_id: str = "") -> None:
        """Records that a backend server announced, to this instance or a peer, that it is leaving.

        Args:
            now: Current time in seconds.
            backend: Name of the backend server.
            boot_id: Boot id of the incarnation that announced it, if known; the call is ignored if
                this is not the current one.
        """
        state = self._states.get(backend)
        if state is None or (boot_id and state.boot_id and boot_id != state.boot_id):
            return
        state.leaving = True
        self._update_pools(state)

    def on_response(self, now: float, backend: str, signals: ServerSignals) -> None:
        """Applies what a response says about the requests that its backend server takes.

        Args:
            now: Current time in seconds.
            backend: Name of the backend server.
            signals: Signals of the response.
        """
        state = self._states.get(backend)
        if state is None:
            return
        state.backpressure.on_response(now, signals, len(self._entries))
        state.leaving = state.leaving or signals.is_leaving
        self._update_hold(now, state)

    def on_software(self, backend: str, software: str) -> None:
        """Applies the software version that an engine named in a response.

        Args:
            backend: Name of the backend server.
            software: Version of its software, empty if it names none.
        """
        state = self._states.get(backend)
        if state is not None and state.report is not None and state.report.software != software:
            state.report = replace(state.report, software=software)

    @property
    def is_cut_off(self) -> bool:
        """Whether none of several engines can be reached, so that the fault is on this side.

        Engines are polled, so this does not depend on requests; plain services are not.
        """
        engines = [state for state in self._states.values() if state.instance.reports_load]
        return len(engines) >= MIN_WITNESSES and all(
            state.unreachable_since is not None for state in engines
        )

    def on_unreachable(self, now: float, backend: str) -> None:
        """Records that a connection to a backend server failed.

        An engine is excluded until a later load report arrives, a plain service for
        `UNREACHABLE_TIME`.

        Args:
            now: Current time in seconds.
            backend: Name of the backend server.
        """
        state = self._states.get(backend)
        if state is None:
            return
        state.unreachable_since = now
        if not state.instance.reports_load:
            heappush(self._retry_times, (now + UNREACHABLE_TIME, backend))
        self._update_pools(state)

    def capacity(
        self, now: float, model: str = "", version: str = "", role: str = "drafting"
    ) -> Capacity:
        """Returns the capacity of a pool.

        Args:
            now: Current time in seconds.
            model: Model name; empty for a plain service.
            version: Model version; empty for a plain service.
            role: Role of the engines, or name of the plain service.

        Returns:
            Free slots, total slots and token rate of the backend servers that this instance uses.
        """
        pool = self.pool(now, (model, version, role))
        return Capacity(0, 0) if pool is None else Capacity(pool.free, pool.total, pool.rate)

    def state(self, backend: str) -> BackendState | None:
        """Looks up one backend server.

        Args:
            backend: Name of the backend server.

        Returns:
            Its state, which must not be modified, or None if it is unknown.
        """
        return self._states.get(backend)

    def states(self) -> tuple[BackendState, ...]:
        """Lists the backend servers.

        Returns:
            Their states, which must not be modified.
        """
        return tuple(self._states.values())

    def pool(self, now: float, key: PoolKey) -> Pool | None:
        """Looks up a pool and updates its selection if needed.

        Args:
            now: Current time in seconds.
            key: Model, version and role.

        Returns:
            The pool, or None if no usable backend server belongs to it.
        """
        self._apply_timeouts(now)
        pool = self._pools.get(key)
        if pool is not None and pool.selection_stale:
            self._update_selection(pool)
        return pool

    def is_fresh(self, state: BackendState) -> bool:
        """Returns whether the load of a backend server is current or need not be reported.

        Args:
            state: Its state.
        """
        return state.instance.name in self._report_times or not state.instance.reports_load

    def _tier_of(self, instance: BackendInstance) -> Tier:
        """Computes the distance of a backend server."""
        if instance.data_centre == self._data_centre:
            return Tier.DATA_CENTRE
        return Tier.REGION if instance.region == self._region else Tier.REMOTE

    def _apply_timeouts(self, now: float) -> None:
        """Expires old load reports and ends the exclusion of unreachable plain services."""
        while self._report_times:
            name, as_of = next(iter(self._report_times.items()))
            if now - as_of <= self._cfg.report_expiry:
                break
            del self._report_times[name]
            self._update_load(self._states[name])
        while self._retry_times and self._retry_times[0][0] <= now:
            _, name = heappop(self._retry_times)
            state = self._states.get(name)
            if state is None:
                continue
            if state.held_until is not None:
                self._update_hold(now, state)
            if state.unreachable_since is None or state.instance.reports_load:
                continue
            if now - state.unreachable_since >= UNREACHABLE_TIME:
                state.unreachable_since = None
                self._update_pools(state)

    def _create_backpressure(self) -> ServerBackpressure:
        """Creates the state of a backend server that has asked for nothing."""
        return ServerBackpressure(BACKPRESSURE_LIMITS, self._rng)

    def _update_hold(self, now: float, state: BackendState) -> None:
        """Takes a backend server out of its pools until it takes requests again."""
        admitted_at = state.backpressure.next_at(now)
        held_until = admitted_at if admitted_at > now else None
        if held_until == state.held_until:
            return
        state.held_until = held_until
        if held_until is not None:
            heappush(self._retry_times, (held_until, state.instance.name))
        self._update_pools(state)

    def _remove(self, now: float, name: str) -> None:
        """Removes a backend server that is no longer listed."""
        state = self._states.pop(name)
        self._leave_pools(state)
        if state.leaving and state.boot_id:
            # A lagging list can contain the same incarnation again.
            self._departed[name] = state.boot_id
            if len(self._departed) > MAX_DEPARTED:
                self._departed.popitem(last=False)
        self._report_times.pop(name, None)
        self.prefixes.remove_backend(now, name)

    def _pool_keys(self, state: BackendState) -> tuple[PoolKey, ...]:
        """Returns the keys of the pools that a backend server can currently serve."""
        if state.leaving or state.unreachable_since is not None or state.held_until is not None:
            return ()
        if not state.instance.reports_load:
            return (("", "", state.instance.role),)
        if state.report is None:
            return ()
        role = state.report.role
        return tuple((loaded.model, loaded.version, role) for loaded in state.report.models)

    def _update_pools(self, state: BackendState) -> None:
        """Moves a backend server to the pools that it can currently serve."""
        keys = self._pool_keys(state)
        if keys != state.pools:
            self._leave_pools(state)
            state.pools = keys
            for key in keys:
                pool = self._pools.setdefault(key, Pool())
                pool.members.setdefault(state.instance.data_centre, set()).add(state.instance.name)
                pool.selection_stale = pool.selection_stale or pool.size > self._cfg.subset_size
                if pool.selected is not None:
                    pool.selection_stale = True
        self._update_load(state)

    def _leave_pools(self, state: BackendState) -> None:
        """Removes a backend server from its pools."""
        name = state.instance.name
        for key in state.pools:
            pool = self._pools[key]
            pool.deselect(name, state.tier)
            names = pool.members[state.instance.data_centre]
            names.discard(name)
            if not names:
                del pool.members[state.instance.data_centre]
            pool.selection_stale = pool.selection_stale or pool.selected is not None
            if not pool.members:
                del self._pools[key]
        state.pools = ()

    def _update_load(self, state: BackendState) -> None:
        """Updates the counts of a backend server in its pools after its load changed."""
        if not state.pools:
            return
        name = state.instance.name
        tier = state.tier
        free = max(0, state.slots - state.load) if self.is_fresh(state) else 0
        rate = state.report.token_rate if state.report is not None else 0.0
        for key in state.pools:
            pool = self._pools[key]
            if pool.selected is None or name in pool.selected:
                pool.update_member(name, tier, (free, state.slots, rate))

    def _update_selection(self, pool: Pool) -> None:
        """Recomputes the selection of a pool."""
        pool.selection_stale = False
        before = set(pool.member_counts)
        pool.selected = None if pool.size <= self._cfg.subset_size else self._select_members(pool)
        members = set().union(*pool.members.values())
        selected = members if pool.selected is None else pool.selected
        for name in before - selected:
            pool.deselect(name, self._states[name].tier)
        for name in selected - before:
            self._update_load(self._states[name])

    def _select_members(self, pool: Pool) -> set[str]:
        """Selects the members that this instance uses, most of them in its own data centre."""
        size = self._cfg.subset_size
        remote = [centre for centre in pool.members if centre != self._data_centre]
        local_size = max(1, round(LOCAL_FRACTION * size)) if remote else size
        remote_size = max(1, (size - local_size) // max(1, len(remote)))
        selected: set[str] = set()
        for centre, names in pool.members.items():
            is_local = centre == self._data_centre
            entries = [
                name for name, location in self._entries.items() if (location == centre) is is_local
            ]
            # The instances of a remote data centre, if any, already cover all of its members.
            covered = not is_local and centre in self._entries.values()
            selected.update(
                select_subset(
                    self._instance,
                    entries,
                    sorted(names),
                    local_size if is_local else remote_size,
                    0 if covered else MIN_ENTRIES,
                )
            )
        return selected
