"""Choice of a backend server."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING

from sapphireledge.core.routing._pool import Tier
from sapphireledge.core.routing.route_choice import RouteChoice
from sapphireledge.errors import ErrorKind, Failure, Ran

if TYPE_CHECKING:
    from random import Random

    from sapphireledge.core.routing._indexed_set import IndexedSet
    from sapphireledge.core.routing._pool import Pool
    from sapphireledge.core.routing.backend_state import BackendState
    from sapphireledge.core.routing.backend_view import BackendView
    from sapphireledge.core.routing.route_request import RouteRequest
    from sapphireledge.settings import RoutingSettings

__all__ = ["Router"]

FULL_LOAD_COST = 1000.0
"""Cost of a full backend server against an empty one, as prompt tokens.

Between the penalties for another data centre and for another region: work leaves a busy data centre
but not a region before it queues.
"""

FULL_QUEUE_COST = 8000.0
"""Cost of a whole batch waiting before the request, as prompt tokens."""

DRAWS_PER_TIER = 2
"""Random candidates of each distance."""

MAX_DRAWS_PER_TIER = 8
"""Draws per distance before candidates that may not be used force a scan."""

CACHE_CANDIDATES = 2
"""Candidates taken because they hold a prefix of the prompt."""

ISOLATION_RETRY = 1.0
"""Retry time in seconds when no backend server is free of other suspects."""


class Router:
    """Chooses a backend server for a request."""

    def __init__(self, cfg: RoutingSettings):
        self._cfg = cfg

    def choose(
        self, now: float, request: RouteRequest, view: BackendView, rng: Random
    ) -> RouteChoice | Failure:
        """Chooses a backend server.

        Args:
            now: Time in seconds.
            request: What the request needs.
            view: What the instance knows.
            rng: Random source.

        Returns:
            The choice, or a failure: no_backend, version_gone for a resume, or overloaded if the
            request must run isolated and every backend server runs another suspect.
        """
        pool = view.pool(now, (request.model, request.version, request.role))
        if pool is None or not pool.member_counts:
            return _no_backend_failure(request)
        for name in request.prefer:
            state = view.state(name)
            if state is not None and pool.is_selected(name) and _isolation_allows(state, request):
                return _make_choice(state, self.score(state, request, view, 0.0), 0.0)
        cached = view.prefixes.holders(now, request.prefixes, CACHE_CANDIDATES)
        candidates = self._candidates(pool, request, view, rng, cached)
        if not candidates:
            candidates = _scan_candidates(pool, request, view)
        if not candidates:
            reason = "every backend server runs another suspect request"
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
            request: What the request needs.
            view: What the instance knows.
            cached_tokens: Prompt tokens expected in its cache.

        Returns:
            Cost in prompt tokens.
        """
        slots = max(1, state.slots)
        load = state.load if view.is_fresh(state) else max(slots, state.load)
        if load < slots:
            cost = FULL_LOAD_COST * load / slots
        else:
            cost = FULL_LOAD_COST + FULL_QUEUE_COST * (load - slots + 1) / slots
        cost += max(0.0, request.prompt_tokens - cached_tokens)
        tier = state.tier
        if tier is Tier.REGION:
            cost += self._cfg.region_penalty
        elif tier is Tier.REMOTE:
            cost += self._cfg.remote_penalty + self._cfg.volume_price * request.output_tokens
        return cost

    def _candidates(
        self,
        pool: Pool,
        request: RouteRequest,
        view: BackendView,
        rng: Random,
        cached: dict[str, float],
    ) -> list[BackendState]:
        """Collects the holders of a prefix and two random members of each distance."""
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
    """Adds up to two different members of a group that the request may use."""
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
    """Builds the choice of a backend server."""
    instance = state.instance
    return RouteChoice(instance.name, instance.address, state.boot_id, score, cached_tokens)


def _is_eligible(state: BackendState, request: RouteRequest) -> bool:
    """Whether a request may use a backend server, its avoid list included."""
    return state.instance.name not in request.avoid and _isolation_allows(state, request)


def _isolation_allows(state: BackendState, request: RouteRequest) -> bool:
    """Whether isolation permits a request on a backend server."""
    if request.isolate:
        return not state.suspects
    return not (request.suspect and state.isolated)


def _scan_candidates(pool: Pool, request: RouteRequest, view: BackendView) -> list[BackendState]:
    """Collects members by a scan after random draws found none.

    First those outside the avoid list, then, except for an isolated request, any of them: a backend
    server that failed this request once may still be the only one left.
    """
    states = [state for name in pool.member_counts if (state := view.state(name)) is not None]
    found = [state for state in states if _is_eligible(state, request)]
    if not found:
        found = [state for state in states if _isolation_allows(state, request)]
    if not found and not request.isolate:
        found = states
    return found


def _no_backend_failure(request: RouteRequest) -> Failure:
    """Builds the failure of a request without any backend server."""
    what = f"{request.model} {request.version}".strip() or request.role
    if request.resume:
        reason = f"no backend server with {what} is left"
        return _refusal(ErrorKind.VERSION_GONE, reason, request, None)
    return _refusal(ErrorKind.NO_BACKEND, f"no backend server serves {what}", request, None)


def _refusal(
    kind: ErrorKind, reason: str, request: RouteRequest, retry_after: float | None
) -> Failure:
    """Builds a failure; part of a resumed request has run."""
    return Failure(kind, reason, Ran.YES if request.resume else Ran.NO, retry_after)
