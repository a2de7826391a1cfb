"""Simulated fleet whose plain servers die of requests or of another cause."""

from __future__ import annotations

import heapq
from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import count
from random import Random

from sapphireledge.core.quarantine import (
    DeathRecord,
    Quarantine,
    RequestContent,
    RunningRequests,
    ServiceSize,
)
from sapphireledge.errors import Failure
from sapphireledge.gateway import QuarantineSettings

START = 1_000_000.0

RUN_TIME = 0.09
"""Seconds that a request takes; one that crashes its server does so after half of it."""

RESTART_TIME = 3.0
"""Seconds until a server is back."""

REMOVAL_TIME = 4.0
"""Seconds until instances see that a server without requests is gone."""


@dataclass
class ScopeFleet:
    """Instances that send requests of several scopes to the servers of one service."""

    rng: Random
    instances: int
    servers: int
    rates: dict[str, float]
    """Requests a second of each scope, over all instances."""

    bad_share: dict[str, float] = field(default_factory=dict)
    """Share of the requests of a scope that crash the servers that run them."""

    delay: float = 0.5
    """Longest time in seconds until other instances know of a death."""

    weights: Sequence[float] | None = None
    """How many callers each instance has, in proportion; None if all have the same number."""

    def __post_init__(self) -> None:
        self.deaths: list[float] = []
        """Times at which servers died."""

        self.bad_sends: list[float] = []
        """Times at which requests that crash servers were sent."""

        self.refused: dict[str, int] = dict.fromkeys(self.rates, 0)
        """Requests of each scope that were refused."""

        self._quarantines = [Quarantine(QuarantineSettings()) for _ in range(self.instances)]
        self._running = [RunningRequests() for _ in range(self.instances)]
        self._up = set(range(self.servers))
        self._boots = [0] * self.servers
        self._on_server: list[set[tuple[int, str]]] = [set() for _ in range(self.servers)]
        self._events: list[tuple[float, int, object]] = []
        self._ids = count()

    def run(self, seconds: float, losses: list[tuple[float, int]] = ()) -> None:
        """Plays a time span.

        Args:
            seconds: Length of the time span.
            losses: Times of losses with a cause outside of requests, each with how many servers
                are lost.
        """
        for scope, rate in self.rates.items():
            at = self.rng.expovariate(rate)
            while at < seconds:
                self._at(at, lambda now, scope=scope: self._send(now, scope))
                at += self.rng.expovariate(rate)
        for at, size in losses:
            self._at(at, lambda now, size=size: self._lose(now, size))
        while self._events and self._events[0][0] < seconds:
            now, _, action = heapq.heappop(self._events)
            action(now)

    def count_late_sends(self) -> int:
        """Counts the requests that crash servers sent later than 4 s after the fifth death."""
        if len(self.deaths) < 5:
            return 0
        return sum(at > self.deaths[4] + 4.0 for at in self.bad_sends)

    def _at(self, time: float, action: object) -> None:
        heapq.heappush(self._events, (time, next(self._ids), action))

    def _send(self, now: float, scope: str) -> None:
        if self.weights is None:
            instance = self.rng.randrange(self.instances)
        else:
            instance = self.rng.choices(range(self.instances), self.weights)[0]
        work_id = f"{scope}-{next(self._ids)}"
        is_bad = self.rng.random() < self.bad_share.get(scope, 0.0)
        verdict = self._quarantines[instance].verdict(START + now, work_id, (), scope)
        if isinstance(verdict, Failure):
            self.refused[scope] += 1
            return
        if not self._up:
            return
        server = self.rng.choice(sorted(self._up))
        content = RequestContent(work_id, (), "app", scope)
        running = self._running[instance]
        running.add(now, work_id, self._name(server), content)
        running.on_begun(work_id)
        self._on_server[server].add((instance, work_id))
        boot = self._boots[server]
        if is_bad:
            self.bad_sends.append(now)
            self._at(now + RUN_TIME / 2, lambda at: self._crash(at, server, boot))
        self._at(now + RUN_TIME, lambda at: self._end(at, server, instance, work_id))

    def _end(self, now: float, server: int, instance: int, work_id: str) -> None:
        self._on_server[server].discard((instance, work_id))
        self._running[instance].remove(now, work_id)

    def _lose(self, now: float, size: int) -> None:
        for server in self.rng.sample(range(self.servers), min(size, self.servers)):
            self._crash(now, server, self._boots[server])

    def _crash(self, now: float, server: int, boot: int) -> None:
        if server not in self._up or boot != self._boots[server]:
            return
        self.deaths.append(now)
        self._up.discard(server)
        size = ServiceSize("app", len(self._up) + 1, self.instances)
        for instance in {instance for instance, _ in self._on_server[server]}:
            record = self._running[instance].record_death(
                now, START + now, self._name(server), str(boot), size
            )
            for other in range(self.instances):
                delay = 0.0 if other == instance else self.delay * self.rng.random()
                self._at(now + delay, lambda at, other=other, r=record: self._learn(at, other, r))
        for instance, work_id in list(self._on_server[server]):
            self._end(now, server, instance, work_id)
        gone = DeathRecord(self._name(server), str(boot), START + now + REMOVAL_TIME, service="app")
        for other in range(self.instances):
            self._at(now + REMOVAL_TIME, lambda at, other=other: self._learn(at, other, gone))
        self._at(now + RESTART_TIME, lambda at: self._restart(server))

    def _learn(self, now: float, instance: int, record: DeathRecord) -> None:
        self._quarantines[instance].on_engine_death(START + now, record)

    def _restart(self, server: int) -> None:
        self._boots[server] += 1
        self._up.add(server)

    @staticmethod
    def _name(server: int) -> str:
        return f"s{server}"
