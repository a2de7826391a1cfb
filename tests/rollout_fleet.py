"""Instances in a roll-out that hear each other late, with requests, servers and a store."""

from __future__ import annotations

import bisect
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from sapphireledge.core.rollout import (
    AnswerQuality,
    Rollout,
    RolloutLimits,
    RolloutOrder,
    RolloutReport,
    RolloutState,
    VersionChoice,
)

STEP = 0.1
ROUTES = {"book": (False, False, 0.045), "lookup": (True, False, 0.045), "draft": (True, True, 8.0)}
"""Whether a request may be repeated, whether it is a stream, and its usual seconds."""


@dataclass
class Answer:
    """What a server does with a request."""

    failed: bool = False
    factor: float = 1.0


Behaviour = Callable[["RolloutFleet", str, str, int, str], Answer]
"""Answers by version, route, instance and server."""


@dataclass
class Node:
    """An instance and what it has of the store."""

    rollout: Rollout
    delay: float
    next_decision: float
    state: RolloutState = RolloutState.RUNNING
    first_events: list[tuple[float, float, str, str, str]] = field(default_factory=list)
    in_flight: list[tuple[float, str, str, str, float, Answer, bool]] = field(default_factory=list)


class RolloutFleet:
    """Times are in seconds since the order; `rate` is the requests of the fleet per second."""

    def __init__(
        self,
        behaviour: Behaviour,
        *,
        seed=1,
        nodes=9,
        rate=90.0,
        duration=120.0,
        limits=RolloutLimits(),  # noqa: B008, it is frozen
        weights=(5, 4, 1),
    ):
        self.rng, self.behaviour, self.rate, self.duration = (
            random.Random(seed),
            behaviour,
            rate,
            duration,
        )
        self.limits, self.now, self.count = limits, 0.0, nodes
        self.order = RolloutOrder("booking", "v2", duration, f"order-{seed}")
        self.stored: dict[str, list[tuple[float, RolloutReport]]] = {}
        self.status = [(0.0, RolloutState.RUNNING)]
        self.store_up: Callable[[float], bool] = lambda now: True
        self.is_cut: Callable[[int, float], bool] = lambda node, now: False
        self.is_deaf: Callable[[int, float], bool] = lambda node, now: False
        self.is_mute: Callable[[int, float], bool] = lambda node, now: False
        self.status_write_delay = 0.05
        self.kill_deciders = 0
        self.late_status: list[tuple[float, RolloutState]] = []
        self.requests = self.new_sent = self.lost_at_old = 0
        self.sent_new_at: list[float] = []
        self.sent_old_at: list[float] = []
        self.bad_at: list[float] = []
        self.weights: tuple[int, ...] = weights
        self.nodes = {i: self.start(i, self.rng.uniform(0.5, 3.0)) for i in range(nodes)}

    def start(self, number: int, learns_in: float = 1.0) -> Node:
        """Starts an instance, or starts it again."""
        at = self.now + learns_in
        rollout = Rollout(self.limits, self.order, f"node-{number}", at, self.rng)
        return Node(rollout, self.rng.uniform(0.5, 2.0), at)

    def replace_order(self, order_id: str) -> None:
        """Replaces the order; counts and deadline begin anew."""
        self.order = RolloutOrder("booking", "v2", self.duration, order_id)
        self.duration += self.now
        self.requests = self.new_sent = 0
        self.nodes = {number: self.start(number) for number in self.nodes}

    def rate_of(self, version: str) -> float:
        """Requests for a version a second, over the last two."""
        sent_at = self.sent_new_at if version == "v2" else self.sent_old_at
        return 0.5 * (len(sent_at) - bisect.bisect(sent_at, self.now - 2.0))

    def run(self, until: float) -> RolloutFleet:
        """Runs until a time or, some seconds after it, the final status."""
        while self.now < until:
            self.now = round(self.now + STEP, 3)
            for number, node in list(self.nodes.items()):
                self._end_requests(node)
                self._hear(number, node)
                if self.now >= node.next_decision:
                    self._evaluate(number, node)
                for _ in range(self._arrivals()):
                    self._send(number, node)
            for at, state in list(self.late_status):
                if at <= self.now:
                    self.late_status.remove((at, state))
                    self._apply_status(state)
        return self

    def _arrivals(self) -> int:
        mean = self.rate * STEP / self.count
        return int(mean) + (self.rng.random() < mean % 1)

    def _reaches_store(self, number: int, now: float) -> bool:
        return self.store_up(now) and not self.is_cut(number, now)

    def _hear(self, number: int, node: Node) -> None:
        """An instance hears what the store held some time ago."""
        if self.rng.random() < 0.005:
            node.delay = self.rng.uniform(0.5, 3.0)
        as_of = self.now - node.delay
        is_deaf = self.is_deaf(number, as_of)
        if (
            not is_deaf
            and self._reaches_store(number, self.now)
            and self._reaches_store(number, as_of)
        ):
            heard = [[r for at, r in log if at <= as_of][-1:] for log in self.stored.values()]
            node.rollout.on_reports(self.now, [r for item in heard for r in item])
            node.rollout.on_feed_confirmed(as_of)
            if self.status[-1][0] <= as_of and self.status[-1][1] is not RolloutState.RUNNING:
                node.rollout.on_status(self.now, self.status[-1][1])

    def _evaluate(self, number: int, node: Node) -> None:
        node.next_decision = self.now + 0.5
        reaches = self._reaches_store(number, self.now) and not self.is_mute(number, self.now)
        decision = node.rollout.decide(self.now)
        if decision.proposed and self.kill_deciders:
            self.kill_deciders -= 1
            self.nodes[number] = self.start(number)
        elif decision.proposed and reaches:
            self.late_status.append((self.now + self.status_write_delay, decision.proposed))
        if node.rollout.is_report_due(self.now):
            report = node.rollout.report(self.now)
            if reaches and self.rng.random() > 0.1:
                self.stored.setdefault(report.instance, []).append((self.now + 0.1, report))
                node.rollout.on_report_written(self.now, report.sequence)

    def _apply_status(self, state: RolloutState) -> None:
        """The store accepts the first final status only."""
        if self.store_up(self.now) and self.status[-1][1] is RolloutState.RUNNING:
            self.status.append((self.now, state))
            if state is RolloutState.COMPLETED:
                self.lost_at_old += sum(
                    version == "v1"
                    for n in self.nodes.values()
                    for _, _, version, *_ in n.in_flight
                )

    def _send(self, number: int, node: Node, route: str = "", is_retry: bool = False) -> None:
        route = route or self.rng.choices(list(ROUTES), self.weights)[0]
        may_repeat, is_stream, seconds = ROUTES[route]
        rule = node.rollout.choose(
            self.now, may_repeat=may_repeat, is_stream=is_stream, is_retry=is_retry
        )
        is_new = rule.choice in (VersionChoice.NEW_ONLY, VersionChoice.NEW_FIRST)
        version = "v2" if is_new else "v1"
        if self.now <= self.duration:
            self.requests += not is_retry
            self.new_sent += is_new
        (self.sent_new_at if is_new else self.sent_old_at).append(self.now)
        if not is_new and self.status[-1][1] is RolloutState.COMPLETED:
            self.lost_at_old += 1
        server = f"{version}-{self.rng.randrange(6)}"
        answer = self.behaviour(self, version, route, number, server)
        seconds *= answer.factor * self.rng.lognormvariate(0.0, 0.3)
        node.rollout.on_sent(self.now, route, version, is_retry=is_retry)
        if is_stream:
            node.first_events.append(
                (self.now + 0.2 * seconds, 0.2 * seconds, route, version, server)
            )
        end = self.now + (0.3 * seconds if answer.failed else seconds)
        node.in_flight.append((end, route, version, server, seconds, answer, is_retry))

    def _end_requests(self, node: Node) -> None:
        for event in [item for item in node.first_events if item[0] <= self.now]:
            node.first_events.remove(event)
            _, seconds, route, version, server = event
            node.rollout.on_first_event(self.now, route, version, seconds, server=server)
        ended = [item for item in node.in_flight if item[0] <= self.now]
        node.in_flight = [item for item in node.in_flight if item[0] > self.now]
        for _, route, version, server, seconds, answer, is_retry in ended:
            quality = AnswerQuality.FAILED if answer.failed else AnswerQuality.GOOD
            node.rollout.on_result(self.now, route, version, quality, seconds, server=server)
            if version == "v2" and (answer.failed or answer.factor >= 3.0):
                self.bad_at.append(self.now)
            if answer.failed and ROUTES[route][0] and not is_retry:
                number = next(i for i, other in self.nodes.items() if other is node)
                self._send(number, node, route, is_retry=True)
