"""One attempt to have a request executed by a backend server."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from sapphireledge.gateway.attempt_progress import AttemptProgress
from sapphireledge.gateway.backend_response_error import BackendResponseError
from sapphireledge.gateway.judge_attempt import (
    compare_seconds,
    is_first_run,
    judge_attempt,
)
from sapphireledge.gateway.outcome import Outcome, OutcomeKind
from sapphireledge.gateway.replay_rule import ReplayRule

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.backend_connection import BackendConnection
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.gateway_context import GatewayContext

__all__ = ["run_attempt"]


async def run_attempt(
    context: GatewayContext,
    admitted: AdmittedRequest,
    server: BackendServer,
    number: int,
    run: Callable[[BackendConnection, AttemptProgress], Awaitable[Outcome]],
    *,
    isolated: bool = False,
    can_move: Callable[[float, BackendServer], bool] | None = None,
    origin: str | None = None,
) -> Outcome:
    """Sends a request to a backend server and records the outcome.

    The attempt counts as in flight at the server until it ends.

    Args:
        context: Shared components.
        admitted: The request.
        server: Backend server to send the request to.
        number: Number of the attempt, from 1.
        run: Sends the request on a connection, reads the response and records its progress.
        isolated: Whether the request runs isolated from others that may crash servers.
        can_move: Returns whether the request can begin at a server of another version at a time,
            None if it never can.
        origin: Version that began the stream, None if there is none.

    Returns:
        The outcome of the attempt.
    """
    state = context.registry.state(server.server_id)
    if state is not None:
        state.in_flight += 1
    started = asyncio.get_running_loop().time()
    work_id = context.crashes.begin(admitted, server, isolated=isolated)
    is_stream = admitted.route.replay is ReplayRule.EVENT_STREAM
    attempt = AttemptProgress(context.crashes, work_id, runs_at_once=not is_stream)
    limit = asyncio.timeout(None)
    counted = context.rollouts.begin(
        admitted,
        server,
        is_retry=number > 1,
        move=None if can_move is None else partial(_move, limit, server, can_move),
    )
    if counted is not None and is_first_run(admitted, number):
        attempt.on_first_event = partial(context.rollouts.on_first_event, counted)
    outcome: Outcome | None = None
    try:
        outcome = await _run_until_moved(
            limit, context, admitted, server, origin, partial(run, attempt=attempt)
        )
        if outcome.connection_lost:
            context.crashes.on_connection_lost(server)
        elif outcome.kind is OutcomeKind.ANSWERED:
            context.crashes.on_answered(work_id)
        elif outcome.silent:
            context.crashes.on_unanswered(work_id)
    finally:
        now = asyncio.get_running_loop().time()
        quality = judge_attempt(context.crashes, admitted, outcome, attempt, now - started)
        seconds = compare_seconds(admitted, attempt, number, now)
        context.rollouts.finish(counted, quality, seconds, is_sent=attempt.is_sent)
        context.crashes.end(work_id)
        if state is not None:
            state.in_flight -= 1
    context.record_outcome(outcome)
    context.telemetry.record_attempt(
        admitted, outcome, attempt.stage, attempt.events, number, started
    )
    return outcome


def _move(
    limit: asyncio.Timeout, server: BackendServer, can_move: Callable[[float, BackendServer], bool]
) -> bool:
    """Ends an attempt if its request can begin at another version now; returns whether it does."""
    now = asyncio.get_running_loop().time()
    moves = limit.when() is None and can_move(now, server)
    if moves:
        limit.reschedule(now)
    return moves


async def _run_until_moved(
    limit: asyncio.Timeout,
    context: GatewayContext,
    admitted: AdmittedRequest,
    server: BackendServer,
    origin: str | None,
    run: Callable[[BackendConnection], Awaitable[Outcome]],
) -> Outcome:
    """Runs the attempt until it ends, or is to begin at a server of another version."""
    try:
        async with limit:
            return await _connect_and_run(context, admitted, server, origin, run)
    except TimeoutError:
        if not limit.expired():
            raise
        reason = "the stream begins at a server of another version"
        return Outcome(OutcomeKind.LOST, server, reason, is_given_up=True, is_moved=True)


async def _connect_and_run(
    context: GatewayContext,
    admitted: AdmittedRequest,
    server: BackendServer,
    origin: str | None,
    run: Callable[[BackendConnection], Awaitable[Outcome]],
) -> Outcome:
    """Runs the attempt on a pooled connection, reused only after a complete, valid response."""
    try:
        conn = await context.pool.acquire(
            server,
            at_most_once=not admitted.route.repeatable,
            request_id=admitted.request.request_id,
        )
    except (OSError, TimeoutError) as exc:
        return Outcome(OutcomeKind.NOT_EXECUTED, server, f"cannot connect: {exc!r}")
    if not context.rollouts.may_send(admitted, server, origin):
        context.pool.release(server, conn)
        reason = "the version of the server may no longer be used"
        return Outcome(OutcomeKind.NOT_EXECUTED, server, reason, is_withheld=True)
    reusable = False
    try:
        async with asyncio.timeout_at(admitted.deadline):
            outcome = await run(conn)
        reusable = outcome.head is not None
        return outcome
    except BackendResponseError as exc:
        return Outcome(
            OutcomeKind.LOST,
            server,
            str(exc),
            connection_lost=exc.connection_lost,
            silent=exc.silent,
            is_given_up=exc.is_given_up,
        )
    except TimeoutError:
        return Outcome(
            OutcomeKind.OUT_OF_TIME, server, "no response before the deadline", silent=True
        )
    finally:
        if reusable:
            context.pool.release(server, conn)
        else:
            conn.abort()
