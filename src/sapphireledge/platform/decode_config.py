"""Decodes the platform's configuration object."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from sapphireledge.gateway import (
    CallerLimits,
    ReplayRule,
    Route,
    RoutingTable,
    ServiceProfile,
    WorkspaceKey,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["decode_config"]

_REPLAY_RULES = {
    "safe": ReplayRule.IDEMPOTENT,
    "unsafe": ReplayRule.ONCE,
    "streaming": ReplayRule.EVENT_STREAM,
}
"""Replay rules by kind of route; the platform calls idempotent requests safe, others unsafe."""


class _Share(msgspec.Struct):
    """Weighted share of a route's requests for one service."""

    service: str
    weight: float


class _Route(msgspec.Struct):
    """A route; `kind` determines the replay rule.

    `goal_ms` is the latency target, `gap_goal_ms` the longest pause between events on time.
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    goal_ms: float = 0.0
    gap_goal_ms: float = 0.0
    priority: int = 0
    service: str = ""
    split: list[_Share] = []
    max_attempts: int = 1
    anonymous: bool = False
    resumable: bool = False


class _Engine(msgspec.Struct):
    """Engine settings of a service.

    `backups` tells whether generations can be replicated continuously, `moves` whether they can be
    copied on request, and `handle_s` for how many seconds such a copy is kept.
    """

    backups: bool = False
    moves: bool = False
    handle_s: float = 0.0


class _Service(msgspec.Struct):
    """A service; one backend server accepts `max_conns` connections, 0 if unknown."""

    name: str
    max_conns: int = 0
    engine: _Engine | None = None


class _Limits(msgspec.Struct):
    """Limits on requests and connections of callers."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000
    idle_timeout_ms: float = 15000


class _Tenant(msgspec.Struct):
    """A workspace and its API keys."""

    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Config(msgspec.Struct):
    """The configuration object; no API key is required if `tenants` is missing."""

    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


def decode_config(spec: object) -> RoutingTable:
    """Decodes the configuration object.

    Args:
        spec: Decoded JSON value of the object.

    Returns:
        The routing table.

    Raises:
        msgspec.ValidationError: A field is missing or has another type.
        KeyError: A route has an unknown kind.
    """
    config = msgspec.convert(spec, _Config)
    limits = config.limits
    return RoutingTable(
        version=config.version,
        routes=_routes_by_host(config.routes),
        services={
            service.name: ServiceProfile(
                service.name,
                service.max_conns,
                first_rank=_first_rank(config.routes, service.name),
                can_replicate=service.engine is not None and service.engine.backups,
                copy_lifetime=_copy_lifetime(service.engine),
            )
            for service in config.services
        },
        keys={
            key: WorkspaceKey(tenant.name, tenant.priority)
            for tenant in config.tenants or ()
            for key in tenant.api_keys
        },
        keys_required=config.tenants is not None,
        limits=CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000.0,
            limits.idle_timeout_ms / 1000.0,
        ),
    )


def _copy_lifetime(engine: _Engine | None) -> float:
    """Returns for how many seconds engines keep a copy made on request, 0 if they make none."""
    return engine.handle_s if engine is not None and engine.moves else 0.0


def _first_rank(routes: Sequence[_Route], service: str) -> int:
    """Returns the most urgent rank among the routes to a service, 0 without any."""
    return min(
        (
            route.priority
            for route in routes
            if route.service == service or any(share.service == service for share in route.split)
        ),
        default=0,
    )


def _routes_by_host(routes: Sequence[_Route]) -> dict[str, tuple[Route, ...]]:
    """Groups routes by host, with the longest path prefix first."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        shares = tuple((share.service, share.weight) for share in route.split)
        by_host.setdefault(route.host.lower(), []).append(
            Route(
                name=route.name,
                host=route.host,
                path_prefix=route.path_prefix,
                replay=_REPLAY_RULES[route.kind],
                time_limit=route.timeout_ms / 1000.0,
                target=route.goal_ms / 1000.0,
                rank=route.priority,
                services=shares or ((route.service, 1.0),),
                max_attempts=route.max_attempts,
                anonymous=route.anonymous,
                resumable=route.resumable,
                pause_target=route.gap_goal_ms / 1000.0,
            )
        )
    return {
        host: tuple(sorted(host_routes, key=lambda route: -len(route.path_prefix)))
        for host, host_routes in by_host.items()
    }
