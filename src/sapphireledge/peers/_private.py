"""Internal helpers: backoff, and conversion of messages and failures."""

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
    "reconnect_delay",
    "to_clearing_message",
    "to_death_message",
    "to_failure",
    "to_member",
    "to_report",
    "wait_with_timeout",
]

INITIAL_DELAY = 0.1
"""Seconds of backoff after the first failed attempt to connect, before jitter."""

MAX_DELAY = 5.0
"""Maximum backoff in seconds."""

_ERROR_KINDS = frozenset(kind.value for kind in ErrorKind)


def reconnect_delay(failures: int, rng: random.Random) -> float:
    """Computes the backoff before the next attempt to connect.

    Args:
        failures: Number of consecutive failed attempts, at least 1.
        rng: Source of the jitter, which keeps peers from reconnecting at the same time.

    Returns:
        Seconds, between half of an exponentially growing delay and all of it.
    """
    return min(MAX_DELAY, INITIAL_DELAY * 2 ** min(failures - 1, 16)) * rng.uniform(0.5, 1.0)


def to_failure(exc: Any, peer: str) -> Failure:
    """Converts an exception sent by a peer to a Failure.

    Args:
        exc: PeerError, or TApplicationException for an internal error of the peer.
        peer: Name of the peer.

    Returns:
        The Failure. Its `ran` is NO for a PeerError of a known kind; otherwise it is UNKNOWN,
        because the call reached the peer.
    """
    if isinstance(exc, PeerError) and exc.kind in _ERROR_KINDS:
        return Failure(ErrorKind(exc.kind), f"peer {peer}: {exc.reason}")
    return Failure(ErrorKind.INTERNAL, f"peer {peer}: {exc}", Ran.UNKNOWN)


def to_member(hello: Any) -> Member:
    """Returns the member described by a Hello."""
    return Member(hello.instance, hello.data_centre, hello.region, hello.peer_address)


def to_report(hello: Any, heartbeat: Any) -> HeartbeatReport:
    """Converts a Heartbeat message.

    Args:
        hello: Hello of the connection, which holds the incarnation.
        heartbeat: Heartbeat message.

    Returns:
        The report that core.membership merges.
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
                # An instance of an earlier version does not send this field and those after it.
                tuple(sorted((name, tuple(parts)) for name, parts in (death.begun or {}).items())),
                death.service_name or "",
                death.load or 0.0,
                tuple(sorted((name, tuple(ids)) for name, ids in (death.scopes or {}).items())),
                tuple(sorted((death.presence or {}).items())),
                death.servers or 0,
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
    """Converts an engine death to its message."""
    return EngineDeath(
        death.backend,
        death.boot_id,
        death.time_unix,
        list(death.suspects),
        list(death.isolated),
        {name: list(parts) for name, parts in death.begun},
        death.service,
        death.load,
        {name: list(fingerprints) for name, fingerprints in death.scopes},
        dict(death.presence),
        death.servers,
    )


def to_clearing_message(clearing: ClearingNotice) -> Any:
    """Converts a clearing to its message."""
    return RequestClearing(clearing.fingerprint, clearing.time_unix, clearing.who, clearing.why)


async def wait_with_timeout(event: asyncio.Event, timeout: float) -> None:
    """Waits until an event is set or the timeout in seconds has passed."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout):
            await event.wait()
