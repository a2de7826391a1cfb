"""Tests of ranks, fairness, the queue and retries."""

from __future__ import annotations

import random
import unittest
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from sapphireledge.core.admission import (
    Capacity,
    Expired,
    QueuedWork,
    RankScheduler,
)
from sapphireledge.core.declarations import Rank
from sapphireledge.errors import Failure
from sapphireledge.settings import AdmissionSettings

CFG = AdmissionSettings()
STEP = 0.05
SPEED = 50.0
PREFILL = 0.2
"""Time from the start of work to its first token, in seconds."""


def ranks(reserve: float = 0.2, shares: tuple[float, float, float] = (0.5, 0.3, 0.2)):
    urgent = Rank(name="urgent", order=0, target=2.0, worth=100, share=shares[0], reserve=reserve)
    standard = Rank(name="standard", order=1, target=10.0, worth=10, share=shares[1])
    batch = Rank(name="batch", order=2, target=60.0, worth=1, share=shares[2], late=True)
    return {rank.name: rank for rank in (urgent, standard, batch)}


@dataclass
class Source:
    """Poisson arrivals of one kind of work."""

    rank: str
    workspace: str
    load: float
    """Wanted slots on average."""
    length: int = 250
    """Mean output in tokens."""
    start: float = 0.0
    end: float = float("inf")


@dataclass
class Loop:
    """Time-stepped loop of schedulers that share a fixed number of slots."""

    sources: list[Source]
    seed: int
    slots: int = 100
    entries: int = 1
    delay: float = 1.0
    cfg: AdmissionSettings = CFG
    declared: dict[str, Rank] = field(default_factory=ranks)
    waits: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    tokens: Counter = field(default_factory=Counter)
    outcomes: Counter = field(default_factory=Counter)
    refused: list[tuple[float, QueuedWork, Failure]] = field(default_factory=list)

    def run(self, seconds: float, measure_from: float = 0.0) -> Loop:
        rng = random.Random(self.seed)
        # Arrivals have their own source, so that a flood does not change those of other work.
        arrival_rngs = [random.Random(f"{self.seed} {i}") for i in range(len(self.sources))]
        self.schedulers = [RankScheduler(self.declared, self.cfg) for _ in range(self.entries)]
        self.running: dict[str, tuple[int, QueuedWork, float]] = {}
        self.offered: dict[str, float] = {}
        mail: list[tuple[float, int, int, dict]] = []
        sent = [0] * self.entries
        beat, count, now = 0.0, 0, 0.0
        while now < seconds:
            now += STEP
            for work_id, (entry, work, left) in list(self.running.items()):
                done = min(left, SPEED * STEP * rng.uniform(0.8, 1.2))
                self.schedulers[entry].on_consumed(now, work_id, max(1, round(done)))
                if now >= measure_from:
                    self.tokens[work.rank] += done
                    self.tokens[work.workspace] += done
                if left <= done:
                    del self.running[work_id]
                    self.schedulers[entry].on_ended(now, work_id)
                else:
                    self.running[work_id] = (entry, work, left - done)
            for source, source_rng in zip(self.sources, arrival_rngs, strict=True):
                rate = source.load * SPEED / source.length * STEP
                while source_rng.random() < rate / (1 + rate):
                    length = source_rng.expovariate(1 / source.length)
                    entry = source_rng.randrange(self.entries)
                    if source.start <= now < source.end:
                        count += 1
                        self.offer(now, f"{count}", source, entry, max(1, round(length)))
            if now >= beat:
                beat += 1.0
                for i, scheduler in enumerate(self.schedulers):
                    changes = scheduler.ledger.changes(now, sent[i])
                    sent[i] = changes.sequence
                    mail += [
                        (now + self.delay, i, j, dict(changes.usage))
                        for j in range(self.entries)
                        if i != j
                    ]
            for at, i, j, usage in mail:
                if at <= now:
                    self.schedulers[j].ledger.merge_peer(now, f"{i}", usage)
            mail = [item for item in mail if item[0] > now]
            for entry in rng.sample(range(self.entries), self.entries):
                self.start(now, entry, measure_from)
        return self

    def offer(self, now, work_id, source, entry, length):
        work = QueuedWork(work_id, source.rank, source.workspace, 0, length)
        result = self.schedulers[entry].offer(now, work)
        if isinstance(result, Failure):
            self.refuse(now, work, result)
        else:
            self.offered[work_id] = now

    def refuse(self, now, work, failure):
        self.outcomes[failure.kind, failure.ran] += 1
        self.refused.append((now, work, failure))

    def start(self, now, entry, measure_from):
        free = self.slots - len(self.running)
        capacity = Capacity(free, self.slots, len(self.running) * SPEED)
        for item in self.schedulers[entry].next(now, capacity):
            if isinstance(item, Expired):
                self.refuse(now, item.work, item.failure)
                continue
            self.schedulers[entry].on_started(now, item.work_id)
            self.running[item.work_id] = (entry, item, float(item.output_tokens))
            if now >= measure_from:
                self.waits[item.rank].append(now - self.offered[item.work_id])
                self.waits[item.workspace].append(now - self.offered[item.work_id])

    def first_token_p95(self, name: str) -> float:
        waits = sorted(self.waits[name])
        return PREFILL + waits[int(0.95 * len(waits))]


class FloodTest(unittest.TestCase):
    """Guards against one rank or workspace that takes what others were promised."""

    @settings(max_examples=6, phases=(Phase.generate,))
    @given(st.integers(0, 2**32), st.sampled_from((1, 9)))
    def test_flood_of_the_least_urgent_leaves_the_urgent_wait(self, seed, entries):
        quiet = [Source("urgent", "court", 10.0), Source("standard", "clerks", 20.0)]
        flood = [*quiet, Source("batch", "archive", 1000.0, start=10.0)]
        before = Loop(quiet, seed, entries=entries).run(70.0, 15.0)
        during = Loop(flood, seed, entries=entries).run(70.0, 15.0)
        allowed = 1.2 * before.first_token_p95("urgent")
        self.assertLessEqual(during.first_token_p95("urgent"), allowed)
        self.assertFalse([work for _, work, _ in during.refused if work.rank == "urgent"])

    @settings(max_examples=6, phases=(Phase.generate,))
    @given(st.integers(0, 2**32), st.sampled_from((1, 9)), st.sampled_from((100, 250, 1000)))
    def test_flood_of_the_most_urgent_leaves_the_shares(self, seed, entries, length):
        sources = [
            Source("urgent", "court", 1000.0, length),
            Source("standard", "clerks", 60.0),
            Source("batch", "archive", 40.0, 500),
        ]
        loop = Loop(sources, seed, entries=entries).run(120.0, 40.0)
        total = sum(loop.tokens[name] for name in loop.declared)
        for name in ("standard", "batch"):
            share = loop.declared[name].share
            self.assertGreaterEqual(loop.tokens[name] / total, 0.9 * share, name)
        self.assertGreaterEqual(total, 0.95 * loop.slots * SPEED * 80.0)

    @settings(max_examples=4, phases=(Phase.generate,))
    @given(st.integers(0, 2**32), st.floats(0.05, 1.0))
    def test_greedy_workspace_leaves_small_ones_what_they_got_alone(self, seed, delay):
        """Guards against a caller that spreads its flood over all entries."""
        small = [Source("standard", f"small-{i}", 6.0) for i in range(9)]
        greedy = [*small, Source("standard", "greedy", 500.0)]
        alone = Loop(small, seed, entries=9, delay=delay).run(100.0, 20.0)
        together = Loop(greedy, seed, entries=9, delay=delay).run(100.0, 20.0)
        got = sum(together.tokens[source.workspace] for source in small)
        self.assertGreaterEqual(got, 0.95 * sum(alone.tokens[s.workspace] for s in small))


if __name__ == "__main__":
    unittest.main()
