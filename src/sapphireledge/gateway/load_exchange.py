"""Exchanges the load that the instances of a data centre have seen."""

from __future__ import annotations

from random import getrandbits
from time import monotonic
from typing import TYPE_CHECKING, Any

from sapphireledge.core.shared_load import LoadDigest, ServiceLoad, trim_load
from sapphireledge.gateway.load_codec import (
    decode_digest,
    decode_merged,
    encode_digest,
    encode_merged,
)

if TYPE_CHECKING:
    from sapphireledge.core.shared_load import SharedLoad
    from sapphireledge.core.shedding import LoadShedder
    from sapphireledge.core.waiting import WaitingLine
    from sapphireledge.gateway.load_telemetry import LoadTelemetry

__all__ = ["LoadExchange"]

INCARNATION_BITS = 32
"""Size of the random number of a process."""


class LoadExchange:
    """Load fields of the messages between a relay and its followers.

    Load pattern and failures: see `SharedLoad`. What cannot be decoded is dropped, so that it
    never ends the connection on which objects of the store arrive.
    """

    def __init__(self, instance: str, shared: SharedLoad, telemetry: LoadTelemetry) -> None:
        """Creates the exchange of an instance that has seen nothing.

        Args:
            instance: Name of the instance.
            shared: Load that the other instances have seen.
            telemetry: Logging and metrics.
        """
        self._instance = instance
        self._shared = shared
        self._telemetry = telemetry
        self._incarnation = getrandbits(INCARNATION_BITS)
        self._sequence = 0
        self._lines: dict[str, WaitingLine] = {}
        self._shedders: dict[str, LoadShedder] = {}
        telemetry.watch(shared)

    def add_line(self, service: str, line: WaitingLine) -> None:
        """Adds the waiting line of a service to what is described to others.

        Args:
            service: Name of the service.
            line: Its waiting line.
        """
        self._lines[service] = line

    def add_shedder(self, service: str, shedder: LoadShedder) -> None:
        """Adds the load shedding of a service to what is described to others.

        Args:
            service: Name of the service.
            shedder: Its load shedding.
        """
        self._shedders[service] = shedder

    def describe(self) -> bytes:
        """Encodes the load that this instance has seen.

        Returns:
            The load field of a request to a relay.
        """
        limits = self._shared.limits
        self._sequence += 1
        services = trim_load(self._own_load(monotonic()), limits.max_services, limits.digest_rows)
        data = encode_digest(
            LoadDigest(self._instance, self._incarnation, self._sequence, services)
        )
        self._telemetry.record_sent(len(data))
        return data

    def on_request(self, data: Any) -> str | None:
        """Takes over the load of a follower.

        Args:
            data: Load field of its request.

        Returns:
            Name of the follower, None if it shares no load or the field cannot be used.
        """
        if data is None:
            return None
        now = monotonic()
        try:
            digest = decode_digest(data)
        except ValueError as exc:
            self._telemetry.record_unreadable(str(exc))
            return None
        self._shared.on_digest(now, digest)
        self._telemetry.record_received(len(data), self._shared.summary(now))
        return digest.instance

    def answer(self, follower: str) -> bytes:
        """Encodes the load that this instance and the other followers have seen.

        Args:
            follower: Name of the follower.

        Returns:
            The load field of the reply.
        """
        merged = self._shared.merge_for(monotonic(), follower, self._own_load)
        data = encode_merged(merged)
        self._telemetry.record_sent(len(data))
        return data

    def on_reply(self, data: Any) -> None:
        """Takes over the load of the others.

        Args:
            data: Load field of the reply of a relay.
        """
        now = monotonic()
        try:
            merged = decode_merged(data)
        except ValueError as exc:
            self._telemetry.record_unreadable(str(exc))
            return
        self._shared.on_relayed(now, merged)
        self._telemetry.record_received(len(data), self._shared.summary(now))

    def _own_load(self, now: float) -> dict[str, ServiceLoad]:
        """Describes the load that this instance has seen by service."""
        services: dict[str, ServiceLoad] = {}
        for name in {*self._lines, *self._shedders}:
            plain = self._shedders[name].describe(now) if name in self._shedders else ServiceLoad()
            streams = self._lines[name].streams(now) if name in self._lines else {}
            services[name] = ServiceLoad(
                streams, plain.arrivals, plain.rejections, plain.responses, plain.response_time
            )
        return services
