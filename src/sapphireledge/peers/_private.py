"""Helpers of the package."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from sapphireledge.core.membership import ClearingNotice, DeathNotice, HeartbeatReport, Member
from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.peers.messages import EngineDeath, PeerError, RequestClearing

if TYPE_CHECKING:
    import random
    from typing import Any

__all__ = [
    "backoff_delay",
    "to_clearing_message",
    "to_death_message",
    "to_failure",
    "to_member",
    "to_report",
    "wait_with_timeout",
]

INITIAL_DELAY = 0.1
"""Seconds before the second attempt to connect."""

MAX_DELAY = 5.0
"""Upper bound of the delay in seconds."""

_ERROR_KINDS = frozenset(kind.value for kind in ErrorKind)


def backoff_delay(failures: int, rng: random.Random) -> float:
    """Computes the wait before the next attempt to connect.

    Args:
        failures: Failed attempts in a row, at least 1.
        rng: Source of the jitter, which keeps peers from connecting in step.

    Returns:
        Seconds, between half and all of an exponentially growing delay.
    """
    return min(MAX_DELAY, INITIAL_DELAY * 2 ** min(failures - 1, 16)) * rng.uniform(0.5, 1.0)


def to_failure(exc: Any, peer: str) -> Failure:
    """Turns an exception that a peer sent into a failure.

    Args:
        exc: PeerError, or TApplicationException for a fault of the peer.
        peer: Name of the peer.

    Returns:
        The failure; the call reached the peer, so its effect is unknown unless the kind says no.
    """
    if isinstance(exc, PeerError) and exc.kind in _ERROR_KINDS:
        return Failure(ErrorKind(exc.kind), f"peer {peer}: {exc.reason}")
    return Failure(ErrorKind.INTERNAL, f"peer {peer}: {exc}", Ran.UNKNOWN)


def to_member(hello: Any) -> Member:
    """Reads the member that a Hello describes."""
    return Member(hello.instance, hello.data_centre, hello.region, hello.peer_address)


def to_report(hello: Any, heartbeat: Any) -> HeartbeatReport:
    """Reads a Heartbeat.

    Args:
        hello: Hello of the connection, which names the incarnation.
        heartbeat: The message.

    Returns:
        The heartbeat for the decisions.
    """
    return HeartbeatReport(
        instance=heartbeat.instance,
        incarnation=hello.incarnation,
        sequence=heartbeat.sequence,
        state=heartbeat.state,
        config_version=heartbeat.config_version,
        highest_version=heartbeat.highest_version,
        usage={delta.workspace: delta.usage for delta in heartbeat.usage},
        scope=heartbeat.scope[0] if heartbeat.scope else "",
        deaths=tuple(
            DeathNotice(
                death.backend,
                death.boot_id,
                death.time_unix,
                tuple(death.suspects),
                tuple(death.isolated),
            )
            for death in heartbeat.deaths
        ),
        cleared=tuple(
            ClearingNotice(clearing.fingerprint, clearing.time_unix, clearing.who, clearing.why)
            for clearing in heartbeat.cleared
        ),
        leaving=tuple(heartbeat.leaving),
        running=heartbeat.running,
        queued=heartbeat.queued,
        platform_reachable=heartbeat.platform_reachable,
    )


def to_death_message(death: DeathNotice) -> Any:
    """Makes the message of an engine death."""
    return EngineDeath(
        death.backend,
        death.boot_id,
        death.time_unix,
        list(death.suspects),
        list(death.isolated),
    )


def to_clearing_message(clearing: ClearingNotice) -> Any:
    """Makes the message of a clearing."""
    return RequestClearing(clearing.fingerprint, clearing.time_unix, clearing.who, clearing.why)


async def wait_with_timeout(event: asyncio.Event, timeout: float) -> None:
    """Waits for an event, at most the given seconds."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout):
            await event.wait()
