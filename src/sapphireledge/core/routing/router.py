"""Routing of requests to backend servers."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from sapphireledge.core.routing._pool import Tier
from sapphireledge.core.routing.route_choice import RouteChoice
from sapphireledge.core.routing.score_terms import ScoreTerms
from sapphireledge.errors import ErrorKind, Failure, Ran

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from sapphireledge.core.routing._indexed_set import IndexedSet
    from sapphireledge.core.routing._pool import Pool
    from sapphireledge.core.routing.backend_state import BackendState
    from sapphireledge.core.routing.backend_view import BackendView
    from sapphireledge.core.routing.route_request import RouteRequest
    from sapphireledge.settings import RoutingSettings

__all__ = ["Router"]

FULL_LOAD_COST = 1000.0
"""Cost of a fully loaded backend server relative to an idle one, in prompt tokens.

It lies between the penalties for another data centre and for another region, so that work leaves a
busy data centre, but not its region, before it queues.
"""

FULL_QUEUE_COST = 8000.0
"""Cost of a full batch queued ahead of the request, in prompt tokens."""

DRAWS_PER_TIER = 2
"""Number of random candidates drawn per tier."""

MAX_DRAWS_PER_TIER = 8
"""Maximum number of draws per tier; if all candidates drawn are ineligible, a scan follows."""

CACHE_CANDIDATES = 2
"""Maximum number of candidates taken because they hold a prefix of the prompt."""

ISOLATION_RETRY = 1.0
"""Retry time in seconds if no backend server is free of other suspects."""


class Router:
    """Chooses a backend server for each request by load, cached prefix and distance."""

    def __init__(self, cfg: RoutingSettings):
        self._cfg = cfg

    def choose(
        self, now: float, request: RouteRequest, view: BackendView, rng: Random
    ) -> RouteChoice | Failure:
        """Chooses a backend server for a request.

        Args:
            now: Current time in seconds.
            request: Requirements of the request.
            view: State of the backend servers.
            rng: Random source.

        Returns:
            The choice, or a failure: no_backend, version_gone for a resume, or overloaded if the
            request must run isolated and every backend server is running another suspect.
        """
        pool = view.pool(now, (request.model, request.version, request.role))
        if pool is None or not pool.member_counts:
            return _no_backend_failure(request)
        for name in request.prefer:
            state = view.state(name)
            if state is None or not pool.is_selected(name) or not _runs_software(state, request):
                continue
            if _isolation_allows(state, request):
                return _make_choice(state, self.score(state, request, view, 0.0), 0.0)
        cached = self.find_cached(now, request, view)
        candidates = self._candidates(pool, request, view, rng, cached)
        if not candidates:
            candidates = _scan_candidates(pool, request, view)
        if not candidates and not _list_continuing(pool, request, view):
            return _no_backend_failure(request)
        if not candidates:
            reason = "every backend server is running another suspect request"
            return _refusal(ErrorKind.OVERLOADED, reason, request, ISOLATION_RETRY)
        best, best_score = candidates[0], inf
        for state in candidates:
            score = self.score(state, request, view, cached.get(state.instance.name, 0.0))
            if score < best_score:
                best, best_score = state, score
        return _make_choice(best, best_score, cached.get(best.instance.name, 0.0))

    def score(
        self, state: BackendState, request: RouteRequest, view: BackendView, cached_tokens: float
    ) -> float:
        """Computes the cost of a backend server for a request.

        Args:
            state: The backend server.
            request: Requirements of the request.
            view: State of the backend servers.
            cached_tokens: Number of prompt tokens that are expected in its cache.

        Returns:
            Cost in prompt tokens; lower is better.
        """
        return self.explain(state, request, view, cached_tokens).total

    def explain(
        self, state: BackendState, request: RouteRequest, view: BackendView, cached_tokens: float
    ) -> ScoreTerms:
        """Computes the terms of the cost of a backend server for a request.

        Args:
            state: The backend server.
            request: Requirements of the request.
            view: State of the backend servers.
            cached_tokens: Number of prompt tokens that are expected in its cache.

        Returns:
            The terms.
        """
        slots = max(1, state.slots)
        load = state.load if view.is_fresh(state) else max(slots, state.load)
        if load < slots:
            load_cost = FULL_LOAD_COST * load / slots
        else:
            load_cost = FULL_LOAD_COST + FULL_QUEUE_COST * (load - slots + 1) / slots
        distance = 0.0
        if state.tier is Tier.REGION:
            distance = self._cfg.region_penalty
        elif state.tier is Tier.REMOTE:
            distance = self._cfg.remote_penalty + self._cfg.volume_price * request.output_tokens
        own_work = max(0.0, request.prompt_tokens - cached_tokens)
        return ScoreTerms(load_cost, own_work, distance)

    def find_cached(self, now: float, request: RouteRequest, view: BackendView) -> dict[str, float]:
        """Finds the backend servers that have a prefix of the prompt in their caches.

        Args:
            now: Current time in seconds.
            request: Requirements of the request.
            view: State of the backend servers.

        Returns:
            Expected tokens by name.
        """
        return view.prefixes.holders(now, request.prefixes, CACHE_CANDIDATES)

    def _candidates(
        self,
        pool: Pool,
        request: RouteRequest,
        view: BackendView,
        rng: Random,
        cached: dict[str, float],
    ) -> list[BackendState]:
        """Collects the holders of a prefix and random members of each tier.

        Busy members are drawn only if no available one is eligible.
        """
        found: dict[str, BackendState] = {}
        for name in cached:
            state = view.state(name)
            if state is not None and pool.is_selected(name) and _is_eligible(state, request):
                found[name] = state
        count = len(found)
        for group in pool.available:
            if group:
                _draw_candidates(group, request, view, rng, found)
        if len(found) == count:
            for group in pool.busy:
                if group:
                    _draw_candidates(group, request, view, rng, found)
        return list(found.values())


def _draw_candidates(
    group: IndexedSet,
    request: RouteRequest,
    view: BackendView,
    rng: Random,
    found: dict[str, BackendState],
) -> None:
    """Adds up to `DRAWS_PER_TIER` distinct eligible members of a group to `found`."""
    wanted = len(found) + min(DRAWS_PER_TIER, len(group))
    for _ in range(MAX_DRAWS_PER_TIER if len(group) > 1 else 1):
        name = group.choice(rng)
        if name in found:
            continue
        state = view.state(name)
        assert state is not None
        if _is_eligible(state, request):
            found[name] = state
            if len(found) >= wanted:
                return


def _make_choice(state: BackendState, score: float, cached_tokens: float) -> RouteChoice:
    """Builds the result for a chosen backend server."""
    instance = state.instance
    return RouteChoice(instance.name, instance.address, state.boot_id, score, cached_tokens)


def _is_eligible(state: BackendState, request: RouteRequest) -> bool:
    """Returns whether isolation and the avoid list of a request permit a backend server."""
    if state.instance.name in request.avoid or not _runs_software(state, request):
        return False
    return _isolation_allows(state, request)


def _runs_software(state: BackendState, request: RouteRequest) -> bool:
    """Returns whether a backend server may continue what another one has generated."""
    if not request.resume:
        return True
    return state.report is not None and state.report.software == (request.software or "")


def _list_continuing(pool: Pool, request: RouteRequest, view: BackendView) -> list[BackendState]:
    """Lists the members that may run a request; of those not selected only if there is no other."""
    states = _list_states(pool.member_counts, view)
    if not request.resume:
        return states
    found = [state for state in states if _runs_software(state, request)]
    if not found:
        members = _list_states(set().union(*pool.members.values()), view)
        found = [state for state in members if _runs_software(state, request)]
    return found


def _list_states(names: Iterable[str], view: BackendView) -> list[BackendState]:
    """Looks up backend servers by name."""
    return [state for name in names if (state := view.state(name)) is not None]


def _isolation_allows(state: BackendState, request: RouteRequest) -> bool:
    """Returns whether isolation permits a request on a backend server."""
    if request.isolate:
        return not state.suspects
    return not (request.suspect and state.isolated)


def _scan_candidates(pool: Pool, request: RouteRequest, view: BackendView) -> list[BackendState]:
    """Scans all selected members after the random draws found no candidate.

    Members on the avoid list are considered if no other is eligible, because a backend server that
    failed this request once may be the only one left. If isolation permits none, a request that
    need not run isolated may use any member.
    """
    states = _list_continuing(pool, request, view)
    found = [state for state in states if _is_eligible(state, request)]
    if not found:
        found = [state for state in states if _isolation_allows(state, request)]
    if not found and not request.isolate:
        found = states
    return found


def _no_backend_failure(request: RouteRequest) -> Failure:
    """Builds the failure for a request that no backend server can serve."""
    target = f"{request.model} {request.version}".strip() or request.role
    if request.resume:
        target = f"{target} and software {request.software}" if request.software else target
        reason = f"no backend server with {target} is left to resume the answer"
        return _refusal(ErrorKind.VERSION_GONE, reason, request, None)
    return _refusal(ErrorKind.NO_BACKEND, f"no backend server serves {target}", request, None)


def _refusal(
    kind: ErrorKind, reason: str, request: RouteRequest, retry_after: float | None
) -> Failure:
    """Builds a failure; a resume has already run in part."""
    return Failure(kind, reason, Ran.YES if request.resume else Ran.NO, retry_after)
