"""Bookkeeping around one send to a backend server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.gateway_parts import GatewayParts
    from sapphireledge.gateway.outcome import Outcome

__all__ = ["observed_send"]


async def observed_send(
    parts: GatewayParts,
    work: AdmittedRequest,
    server: BackendServer,
    number: int,
    send: Callable[[], Awaitable[Outcome]],
) -> Outcome:
    """Makes one send, counts it as running meanwhile and takes its outcome into account.

    Args:
        parts: Shared parts.
        work: The request.
        server: Backend server that is asked.
        number: Number of the send, from 1.
        send: Makes the exchange.

    Returns:
        The outcome of the exchange.
    """
    state = parts.registry.state(server.server_id)
    if state is not None:
        state.running += 1
    started = asyncio.get_running_loop().time()
    try:
        outcome = await send()
    finally:
        if state is not None:
            state.running -= 1
    parts.observe(outcome)
    parts.journal.attempt_ended(work, outcome, number, started)
    return outcome
