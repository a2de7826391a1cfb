"""Model of engines that process prompts in order of arrival, for tests of the placement."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from sapphireledge.core.placement import (
    EngineView,
    FirstEventEstimator,
    PendingStream,
    PlacementLimits,
    PlacementRule,
    RefuseStream,
    StartStream,
)

PROMPT_S = 1.0
"""Time that an engine takes for a prompt, in seconds."""
GENERATION_S = 5.0
"""Time from the first event of a stream to its last one, in seconds."""
TARGET_S = 4.5
DEADLINE_S = 25.0
REPORT_AGE_S = 0.4
"""Age of the reports that instances see, in seconds."""
PROMPT_TOKENS = 8_000
OUTPUT_TOKENS = 800
MEMORY_TOKENS = 88_000
CANDIDATES = 5


@dataclass
class ModelEngine:
    """An engine that processes one prompt after another, the lowest class first."""

    queue: list[tuple[int, float, int]] = field(default_factory=list)
    """Waiting prompts: class, time of arrival, stream."""
    busy_until: float = 0.0
    active: int | None = None
    generating: list[float] = field(default_factory=list)
    """Ends of the running generations."""
    history: list[tuple[float, int, int]] = field(default_factory=list)
    """Time, prompts ahead and running generations, for old reports."""

    def advance(self, now: float, first_events: dict[int, float]) -> None:
        if self.active is not None and now >= self.busy_until:
            first_events[self.active] = self.busy_until
            self.generating.append(self.busy_until + GENERATION_S)
            self.active = None
        self.generating = [end for end in self.generating if end > now]
        if self.active is None and self.queue:
            self.queue.sort()
            _, _, self.active = self.queue.pop(0)
            self.busy_until = now + PROMPT_S
        ahead = len(self.queue) + (self.active is not None)
        self.history.append((now, ahead, len(self.generating)))

    def report(self, now: float) -> tuple[int, int]:
        for at, ahead, running in reversed(self.history):
            if at <= now - REPORT_AGE_S:
                return ahead, running
        return 0, 0


@dataclass
class FloodModel:
    """A flood of streams at several instances in front of the same engines.

    With `hold`, the placement rule decides; without, each stream is sent at once to the candidate
    that its report shows with the fewest prompts.
    """

    seed: int
    hold: bool
    per_s: float
    """Arrivals per second during the flood."""
    instances: int = 9
    engines: int = 9
    flood_s: float = 20.0
    step_s: float = 0.05

    def run(self) -> FloodModel:
        rng = random.Random(self.seed)
        arrivals_rng = random.Random(f"arrivals {self.seed}")
        engines = [ModelEngine() for _ in range(self.engines)]
        rules = [PlacementRule(PlacementLimits(), rng) for _ in range(self.instances)]
        estimators = [FirstEventEstimator() for _ in range(self.instances)]
        self.arrived: dict[int, float] = {}
        self.first_events: dict[int, float] = {}
        self.refused: set[int] = set()
        pending: list[tuple[float, int, int, int]] = []
        now = 0.0
        while now < self.flood_s + DEADLINE_S:
            now += self.step_s
            if now < self.flood_s and arrivals_rng.random() < self.per_s * self.step_s:
                stream = len(self.arrived)
                self.arrived[stream] = now
                pending.append((now, stream, arrivals_rng.randrange(self.instances), 0))
            for engine in engines:
                engine.advance(now, self.first_events)
            due = [item for item in pending if item[0] <= now]
            pending = [item for item in pending if item[0] > now]
            for _, stream, instance, attempt in due:
                views = self.view(rng, now, engines)
                if not self.hold:
                    best = min(views, key=lambda view: view.prompts_ahead)
                    engines[int(best.engine)].queue.append((0, now, stream))
                    continue
                decision = rules[instance].decide(
                    now,
                    self.describe(stream),
                    views,
                    estimators[instance],
                    start_share=0.4 if attempt else 1.0,
                )
                if isinstance(decision, StartStream):
                    entry = (5 * decision.is_late, now, stream)
                    engines[int(decision.engine)].queue.append(entry)
                elif isinstance(decision, RefuseStream):
                    self.refused.add(stream)
                else:
                    pending.append((now + decision.delay, stream, instance, attempt + 1))
        return self

    def view(self, rng, now, engines):
        """Builds the views of a few random engines from their old reports."""
        views = []
        for index in rng.sample(range(len(engines)), CANDIDATES):
            ahead, running = engines[index].report(now)
            used = (ahead + running) * (PROMPT_TOKENS + OUTPUT_TOKENS)
            views.append(EngineView(f"{index}", True, ahead, 0, running, 0, MEMORY_TOKENS - used))
        return views

    def describe(self, stream):
        arrived = self.arrived[stream]
        return PendingStream(
            PROMPT_TOKENS,
            OUTPUT_TOKENS,
            0,
            arrived + TARGET_S,
            arrived + 4 * TARGET_S,
            arrived + DEADLINE_S,
            False,
        )

    @property
    def on_time(self) -> float:
        """Share of the streams whose first event was on time."""
        return self._share(TARGET_S)

    @property
    def served(self) -> float:
        """Share of the streams that began early enough to complete before the deadline."""
        return self._share(DEADLINE_S - GENERATION_S)

    def _share(self, limit):
        events = self.first_events
        return sum(
            stream in events and events[stream] - at <= limit for stream, at in self.arrived.items()
        ) / len(self.arrived)
