"""Cost of the load that instances share: python -m bench.shared_load."""

from __future__ import annotations

import time
from dataclasses import replace
from itertools import count
from random import Random
from typing import TYPE_CHECKING

from sapphireledge.core.shared_load import (
    LoadDigest,
    ServiceLoad,
    SharedLoad,
    SharedLoadLimits,
    WorkspaceStreams,
    trim_load,
)
from sapphireledge.gateway.load_codec import (
    decode_digest,
    decode_merged,
    encode_digest,
    encode_merged,
)

if TYPE_CHECKING:
    from collections.abc import Callable

WORKSPACES = 200
"""Workspaces of the data centre; an instance has seen a few of them."""

SEEN = 24
"""Workspaces that an instance has seen; a digest holds fewer."""

POLL_S = 0.7
"""Seconds between two requests of a follower."""

LIMITS = SharedLoadLimits()


def build_load(rng: Random) -> dict[str, ServiceLoad]:
    """Load that one instance has seen of a service with streams and of one with plain requests."""
    names = [f"tenant-{number:03}" for number in rng.sample(range(WORKSPACES), SEEN)]
    return {
        "engines": ServiceLoad({name: WorkspaceStreams(8_000.0, 1.2, 1.1) for name in names}),
        "app": ServiceLoad({}, {(rng.randrange(3), name): 1.4 for name in names}, 0.3, 4.0, 2.2),
    }


def time_call(call: Callable[[], object], seconds: float = 0.4) -> float:
    """Returns the processor time of a call in microseconds."""
    calls, started = 0, time.process_time()
    while (spent := time.process_time() - started) < seconds:
        call()
        calls += 1
    return 1e6 * spent / calls


def measure(instances: int) -> None:
    """Prints the cost at a relay with a number of instances in its data centre."""
    rng = Random(1)
    loads = [build_load(rng) for _ in range(instances)]
    shared = SharedLoad(LIMITS)
    trimmed = [trim_load(load, LIMITS.max_services, LIMITS.digest_rows) for load in loads]
    digests = [LoadDigest(f"front-{n:03}", 1 << 30, 7, load) for n, load in enumerate(trimmed)]
    for digest in digests[1:]:
        shared.on_digest(0.0, digest)
    request = encode_digest(digests[1])
    merged = shared.merge_for(0.1, "front-001", lambda now: loads[0])
    reply = encode_merged(merged)
    sequence = count(8)
    receive_us = time_call(
        lambda: shared.on_digest(0.0, replace(decode_digest(request), sequence=next(sequence)))
    )
    answer_us = time_call(
        lambda: encode_merged(shared.merge_for(0.1, "front-001", lambda now: loads[0]))
    )
    merge_us = time_call(lambda: shared._build_reply_view(0.1, loads[0]))
    follower_us = time_call(
        lambda: (
            encode_digest(
                LoadDigest("f", 1, 1, trim_load(loads[1], LIMITS.max_services, LIMITS.digest_rows))
            ),
            decode_merged(reply),
        )
    )
    followers = instances - 1
    polls = followers / POLL_S
    merges = 1.0 / LIMITS.merge_interval
    relay = polls * (receive_us + answer_us) + merges * merge_us
    print(
        f"{instances} instances: request {len(request)} B, reply {len(reply)} B;"
        f" relay {polls * len(request) / 1e3:.0f} KB/s in, {polls * len(reply) / 1e3:.0f} KB/s out;"
        f" receive {receive_us:.0f} us, answer {answer_us:.0f} us, merge {merge_us / 1e3:.2f} ms,"
        f" follower {follower_us:.0f} us a poll;"
        f" core: relay {relay / 1e4:.2f}%, follower {follower_us / POLL_S / 1e4:.3f}%"
    )


def main() -> None:
    """Measures data centres of several sizes."""
    for instances in (2, 14, 33, 50, 60, 128):
        measure(instances)


if __name__ == "__main__":
    main()
