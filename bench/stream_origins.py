"""Cost of the versions of streams that instances share: python -m bench.stream_origins."""

from __future__ import annotations

import time
import tracemalloc
from random import Random
from typing import TYPE_CHECKING

import msgspec

from sapphireledge.core.origins import Origin, OriginReport
from sapphireledge.feed import StoredEntry
from sapphireledge.gateway import GatewayMetrics, OriginTelemetry, StreamOrigins
from sapphireledge.gateway.backend_registry import BackendRegistry
from sapphireledge.platform.stream_origin_listener import StreamOriginListener

if TYPE_CHECKING:
    from collections.abc import Sequence

SERVICE = "models"

VERSIONS = ("v1", "v2")

LIFETIME_S = 30.0
"""Seconds for which an instance keeps the origin of a stream."""

FLEET_WRITES = 100.0
"""Writes of origins a second at the smallest store."""

LEAST_INTERVAL_S = 0.3
"""Shortest time between two writes of an instance."""


def build_report(rng: Random, count: int) -> OriginReport:
    """Report of an instance with a number of origins, half of them of each version."""
    origins = {
        Origin(SERVICE, version): tuple(rng.getrandbits(64) for _ in range(count // 2))
        for version in VERSIONS
    }
    return OriginReport({SERVICE: frozenset(VERSIONS)}, origins)


def take_in(listener: StreamOriginListener, entries: Sequence[StoredEntry]) -> float:
    """Returns the processor time in seconds of applying reports one after another."""
    started = time.process_time()
    for entry in entries:
        listener.apply([entry])
    return time.process_time() - started


def measure(instances: int, streams_per_second: float) -> None:
    """Prints what an instance receives and spends while versions are mixed."""
    rng = Random(1)
    count = int(streams_per_second * LIFETIME_S)
    interval = max(LEAST_INTERVAL_S, instances / FLEET_WRITES, 1.0 / streams_per_second)
    specs = [build_report(rng, count).to_builtins() for _ in range(instances)]
    size = sum(len(msgspec.msgpack.encode(spec)) for spec in specs) / instances
    origins = StreamOrigins(BackendRegistry("dc-a"), OriginTelemetry(GatewayMetrics()), "front-0")
    origins.on_config({SERVICE: LIFETIME_S})
    listener = StreamOriginListener(origins)
    entries = [StoredEntry(f"front-{n}", spec) for n, spec in enumerate(specs, 1)]
    tracemalloc.start()
    take_in(listener, entries)
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    spent = take_in(listener, entries) / instances
    writes = instances / interval
    print(
        f"{instances:4} instances, {streams_per_second:4.1f} streams/s each: {writes:5.1f} writes/s"
        f" of {size:5.0f} B, {writes * size / 1e3:6.1f} kB/s to each follower,"
        f" {100 * spent * writes:5.2f}% of a core, {memory / 1e6:5.1f} MB"
    )


def main() -> None:
    """Measures fleets of several sizes."""
    for instances, streams_per_second in ((9, 0.5), (195, 0.5), (360, 0.5), (360, 11.0)):
        measure(instances, streams_per_second)


if __name__ == "__main__":
    main()
