"""Model of the feed that carries load between the instances of one data centre."""

from __future__ import annotations

from sapphireledge.core.shared_load import LoadDigest, SharedLoad, SharedLoadLimits, trim_load

POLL_S = 0.7
"""Time between two requests of a follower in seconds."""


class ModelFeed:
    """The first instance is the relay of the others; each reply waits for one poll interval.

    `describe` has a function for each instance that returns its load by service at a time.
    """

    def __init__(self, rng, describe, poll_s=POLL_S):
        self.limits = SharedLoadLimits()
        self.describe = describe
        self.poll_s = poll_s
        self.shared = [SharedLoad(self.limits) for _ in describe]
        self.polls = [rng.uniform(0.0, poll_s) for _ in describe]
        self.sequence = 0

    def advance(self, now):
        """Plays the messages that are due."""
        for number in range(1, len(self.shared)):
            while self.polls[number] <= now:
                self.poll(self.polls[number], number)
                self.polls[number] += self.poll_s

    def poll(self, now, number):
        limits, relay = self.limits, self.shared[0]
        self.sequence += 1
        if self.polls[number] > self.poll_s:
            merged = relay.merge_for(now, f"i{number}", self.describe[0])
            self.shared[number].on_relayed(now, merged)
        services = trim_load(self.describe[number](now), limits.max_services, limits.digest_rows)
        relay.on_digest(now, LoadDigest(f"i{number}", 1, self.sequence, services))
