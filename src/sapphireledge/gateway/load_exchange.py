"""Exchanges the load that the instances of a data centre have seen."""

from __future__ import annotations

from random import getrandbits
from time import monotonic
from typing import TYPE_CHECKING, Any

from sapphireledge.core.shared_load import LoadDigest, ServiceLoad, trim_load
from sapphireledge.gateway.load_codec import (
    MAX_LOAD_BYTES,
    decode_digest,
    decode_merged,
    encode_digest,
    encode_merged,
)

if TYPE_CHECKING:
    from collections.abc import Collection

    from sapphireledge.core.shared_load import SharedLoad
    from sapphireledge.core.shedding import LoadShedder
    from sapphireledge.core.waiting import WaitingLine
    from sapphireledge.gateway.load_telemetry import LoadTelemetry

__all__ = ["LoadExchange"]

INCARNATION_BITS = 32
"""Size of the random number of a process."""


class LoadExchange:
    """Load fields of the messages between a relay and its followers.

    Load pattern and failures: see `SharedLoad`. A failure costs only the load field, so that it
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

    def retain_shedders(self, services: Collection[str]) -> None:
        """Forgets the load shedding of other services.

        Args:
            services: Names of the services to keep.
        """
        for name in self._shedders.keys() - services:
            del self._shedders[name]

    def remove_line(self, service: str) -> None:
        """Removes the waiting line of a service.

        Args:
            service: Name of the service.
        """
        self._lines.pop(service, None)

    def describe(self, max_bytes: int = MAX_LOAD_BYTES) -> bytes | None:
        """Encodes the load that this instance has seen.

        Args:
            max_bytes: Largest size of the field.

        Returns:
            The load field of a request to a relay, None if it is too large or cannot be encoded.
        """
        try:
            data = self._encode_own()
        except Exception as exc:
            self._telemetry.record_unreadable(f"cannot describe own load: {exc!r}")
            return None
        if len(data) > max_bytes:
            self._telemetry.record_unreadable(f"own load of {len(data)} bytes is not sent")
            return None
        self._telemetry.record_sent(len(data))
        return data

    def _encode_own(self) -> bytes:
        """Encodes the load that this instance has seen."""
        limits = self._shared.limits
        self._sequence += 1
        services = trim_load(self._own_load(monotonic()), limits.max_services, limits.digest_rows)
        return encode_digest(
            LoadDigest(self._instance, self._incarnation, self._sequence, services)
        )

    def on_request(self, data: Any, known_name: str | None = None) -> str | None:
        """Takes over the load of a follower.

        Args:
            data: Load field of its request.
            known_name: Name in earlier requests of the same connection, None before the first.

        Returns:
            Name of the follower, None if it shares no load or the field cannot be used.
        """
        if data is None:
            return None
        now = monotonic()
        try:
            digest = decode_digest(data)
            if known_name is not None and digest.instance != known_name:
                raise ValueError(f"connection of {known_name} names {digest.instance}")
            self._shared.on_digest(now, digest)
            self._telemetry.record_received(len(data), self._shared.summary(now))
        except Exception as exc:
            self._telemetry.record_unreadable(f"request: {exc!r}")
            return None
        return digest.instance

    def answer(self, follower: str) -> bytes | None:
        """Encodes the load that this instance and the other followers have seen.

        Args:
            follower: Name of the follower.

        Returns:
            The load field of the reply, None if it cannot be encoded.
        """
        try:
            data = encode_merged(self._shared.merge_for(monotonic(), follower, self._own_load))
        except Exception as exc:
            self._telemetry.record_unreadable(f"cannot answer {follower}: {exc!r}")
            return None
        self._telemetry.record_sent(len(data))
        return data

    def on_reply(self, data: Any) -> None:
        """Takes over the load of the others.

        Args:
            data: Load field of the reply of a relay.
        """
        now = monotonic()
        try:
            self._shared.on_relayed(now, decode_merged(data))
            self._telemetry.record_received(len(data), self._shared.summary(now))
        except Exception as exc:
            self._telemetry.record_unreadable(f"reply: {exc!r}")

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
