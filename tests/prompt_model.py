"""Model of engines that keep prompts, and of instances that place streams on them."""

from __future__ import annotations

import random
from collections import OrderedDict
from dataclasses import dataclass, field

from sapphireledge.core.placement import (
    EngineView,
    FleetSize,
    KeptPromptLimits,
    KeptPrompts,
    PendingStream,
    PlacementLimits,
    PlacementRule,
    PromptPart,
    choose_candidates,
)

TOKENS_PER_S = 8_000
TYPICAL_TOKENS = 8_000
REPORT_AGE_S = 0.4
"""Age of the reports that instances see, in seconds."""
LIMITS = KeptPromptLimits()


@dataclass
class ModelEngine:
    """An engine that processes one prompt after another and evicts the oldest parts."""

    name: str
    memory: int = 88_000
    speed: float = 1.0
    free_at: float = 0.0
    cache: OrderedDict[str, int] = field(default_factory=OrderedDict)
    sent: list[tuple[float, float]] = field(default_factory=list)
    """Time of each prompt, and when the engine is done with it."""
    prompts: int = 0

    def run(self, now: float, parts: list[PromptPart]) -> tuple[float, int]:
        """Processes a prompt; returns the time of its first event and the tokens processed."""
        kept = 0
        for part in parts:
            if part.part_id not in self.cache:
                break
            kept += part.tokens
        tokens = sum(part.tokens for part in parts) - kept
        self.free_at = max(now, self.free_at) + tokens / TOKENS_PER_S / self.speed
        self.sent.append((now, self.free_at))
        self.prompts += 1
        for part in parts:
            self.cache.pop(part.part_id, None)
            self.cache[part.part_id] = part.tokens
        while sum(self.cache.values()) > self.memory:
            self.cache.popitem(last=False)
        return self.free_at, tokens

    def tokens_ahead(self, now: float) -> float:
        """What a report shows that was made `REPORT_AGE_S` ago."""
        made = now - REPORT_AGE_S
        free_at = next((end for at, end in reversed(self.sent) if at <= made), 0.0)
        return max(0.0, free_at - made) * TOKENS_PER_S * self.speed


class PromptModel:
    """Instances in front of the same engines; `uses_kept` switches the knowledge of prompts."""

    def __init__(self, seed: int, uses_kept: bool, engines: int = 12, instances: int = 8) -> None:
        self.rng = random.Random(seed)
        self.uses_kept = uses_kept
        self.engines = {f"e{index}": ModelEngine(f"e{index}") for index in range(engines)}
        self.kept = [KeptPrompts(LIMITS) for _ in range(instances)]
        self.rule = PlacementRule(PlacementLimits(), self.rng)
        self.delays: list[float] = []
        self.processed = 0

    def place(self, now: float, parts: list[PromptPart]) -> str:
        """Places a stream from a random instance; returns its engine."""
        kept = self.rng.choice(self.kept)
        fleet = FleetSize(len(self.kept), len(self.engines), TYPICAL_TOKENS / TOKENS_PER_S)
        kept.on_request(now, parts)
        order = self.rng.sample(list(self.engines), len(self.engines))
        homes = kept.list_homes(now, parts, self.engines, fleet) if self.uses_kept else {}
        keepers = [name for name in kept.list_keepers(parts) if name in self.engines]
        offered = list(dict.fromkeys([*keepers[:1], *homes]))[: LIMITS.candidates]
        offered = offered if self.uses_kept else []
        unseen = kept.estimate_unseen(now, parts, fleet)
        views = []
        for name in choose_candidates(order, lambda _: False, 0, kept=offered):
            engine, weight = self.engines[name], homes.get(name, 0.0)
            ahead = engine.tokens_ahead(now) + weight * unseen * TYPICAL_TOKENS
            tokens = kept.estimate(now, parts, name, fleet, weight, engine.memory)
            tokens = tokens if self.uses_kept else 0
            views.append(EngineView(name, False, 0, 0, 0, 0, 88_000, ahead, tokens))
        total = sum(part.tokens for part in parts)
        stream = PendingStream(total, 0, 0, 4.0, 18.0, 25.0, False, typical_tokens=TYPICAL_TOKENS)
        chosen = min(views, key=lambda view: self.rule.cost(stream, view))
        most = max(view.kept_tokens for view in views)
        if chosen.kept_tokens < most / 2:
            kept.on_crowded(now, parts)
        first_event, tokens = self.engines[chosen.engine].run(now, parts)
        kept.on_processed(now, parts, chosen.engine)
        self.delays.append(first_event - now)
        self.processed += tokens
        return chosen.engine

    @property
    def mean_delay(self) -> float:
        return sum(self.delays) / len(self.delays)

    def share_within(self, limit: float) -> float:
        return sum(delay <= limit for delay in self.delays) / len(self.delays)
