"""Servers of a service as the decision about one request sees them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.core.explanation import ExplainedServer, ServerRole

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.gateway_context import GatewayContext

__all__ = ["explain_servers", "find_left_out"]

ROLE_ORDER = tuple(ServerRole)
"""Order in which servers are listed."""


def find_left_out(
    context: GatewayContext,
    admitted: AdmittedRequest,
    avoided: frozenset[str],
    *,
    is_retry: bool,
    origin: str | None = None,
) -> dict[str, str]:
    """Finds the servers that take no request of a kind now.

    Args:
        context: Components of the instance, before a server is chosen.
        admitted: The request.
        avoided: Ids of servers on which the request may not run beside other suspects.
        is_retry: Whether the request was sent to a server before.
        origin: Version that began the stream, None if there is none.

    Returns:
        Reasons by server id.
    """
    now = asyncio.get_running_loop().time()
    service = admitted.service.name
    versions = context.rollouts.excluded(admitted, avoided, is_retry=is_retry, origin=origin)
    cause = "of a roll-out" if origin is None else "did not begin the stream"
    reasons = {}
    for server in context.registry.list_servers(service):
        name = server.server_id
        state = context.registry.state(name)
        if state is None or state.backpressure.is_leaving:
            reasons[name] = "leaving"
        elif context.registry.is_closed(now, name):
            wait = state.backpressure.next_at(now) - now
            reasons[name] = f"asked for a pause, {wait:.1f} s left"
        elif not context.registry.admits(now, name):
            wait = state.backpressure.next_at(now) - now
            reasons[name] = f"names a limit, its next slot is in {wait:.1f} s"
        elif name in avoided:
            reasons[name] = "quarantine: the request may not run beside what runs there"
        elif name in versions:
            reasons[name] = f"version {server.version or 'unknown'} {cause}"
    return reasons


def explain_servers(
    context: GatewayContext,
    service: str,
    terms: Mapping[str, Mapping[str, float]],
    left_out: Mapping[str, str],
    roles: Mapping[str, ServerRole],
    asked: Collection[BackendServer] = (),
) -> tuple[ExplainedServer, ...]:
    """Lists the servers of a service with their part in a decision.

    Args:
        context: Components of the instance.
        service: Name of the service.
        terms: Terms of the cost of each server that was compared, by server id.
        left_out: Reasons of those that take no request, by server id.
        roles: Parts of those that were chosen, by server id.
        asked: Servers that were candidates, also those without a report.

    Returns:
        The servers, chosen ones first.
    """
    now = asyncio.get_running_loop().time()
    asked_ids = {server.server_id for server in asked}
    found = []
    for server in context.registry.list_servers(service):
        name = server.server_id
        role, reason = ServerRole.CANDIDATE, ""
        if name in left_out:
            role, reason = ServerRole.LEFT_OUT, left_out[name]
        elif name in terms:
            reason = "no room in memory for the whole stream" if terms[name].get("memory") else ""
        elif name in asked_ids:
            reason = "no report of it is known"
        else:
            role, reason = ServerRole.NOT_ASKED, _describe_state(context, now, name)
        found.append(
            ExplainedServer(
                name,
                server.data_centre,
                server.version,
                roles.get(name, role),
                reason,
                context.report_client.latest.age(now, server),
                terms.get(name, {}),
            )
        )
    return tuple(
        sorted(found, key=lambda each: (ROLE_ORDER.index(each.role), each.cost or 0.0, each.name))
    )


def _describe_state(context: GatewayContext, now: float, server_id: str) -> str:
    """Describes why a server that takes requests is ranked low, empty if it is not."""
    state = context.registry.state(server_id)
    if state is not None and now < state.suspended_until:
        return "sent no usable response recently"
    return ""
