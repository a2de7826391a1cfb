"""Tests of admission: ranks, fairness, queueing and retries."""

from __future__ import annotations

import random
import unittest
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from hypothesis import Phase, example, given, settings
from hypothesis import strategies as st

from sapphireledge.core.admission import (
    Admitted,
    Capacity,
    DroppedWork,
    QueuedWork,
    RankScheduler,
    RetryBudget,
    UsageLedger,
    backoff_delay,
)
from sapphireledge.core.declarations import Rank
from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.settings import AdmissionSettings

CFG = AdmissionSettings()
STEP_S = 0.05
TOKENS_PER_SECOND = 50.0
PREFILL_S = 0.2
"""Time from the start of a work item to its first token, in seconds."""


def ranks(reserve: float = 0.2, shares: tuple[float, float, float] = (0.5, 0.3, 0.2)):
    urgent = Rank(name="urgent", order=0, target=2.0, worth=100, share=shares[0], reserve=reserve)
    standard = Rank(name="standard", order=1, target=10.0, worth=10, share=shares[1])
    batch = Rank(name="batch", order=2, target=60.0, worth=1, share=shares[2], late=True)
    return {rank.name: rank for rank in (urgent, standard, batch)}


@dataclass
class ArrivalSource:
    """Source of work items with Poisson arrivals."""

    rank: str
    workspace: str
    load: float
    """Mean number of slots demanded."""
    length: int = 250
    """Mean output length in tokens."""
    entry: int | None = None
    """Index of the entry that receives all its work; None picks one at random."""
    start: float = 0.0
    end: float = float("inf")


@dataclass
class SchedulerSimulation:
    """Time-stepped simulation of schedulers that share a fixed number of slots."""

    sources: list[ArrivalSource]
    seed: int
    slots: int = 100
    entries: int = 1
    delay: float = 1.0
    """Delay of usage reports between entries, in seconds."""
    cfg: AdmissionSettings = CFG
    declared: dict[str, Rank] = field(default_factory=ranks)
    waits: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    tokens: Counter = field(default_factory=Counter)
    outcomes: Counter = field(default_factory=Counter)
    refused: list[tuple[float, QueuedWork, Failure]] = field(default_factory=list)

    def run(self, seconds: float, measure_from: float = 0.0) -> SchedulerSimulation:
        rng = random.Random(self.seed)
        # Each source has its own random generator, so that a flood does not change other arrivals.
        arrival_rngs = [random.Random(f"{self.seed} {i}") for i in range(len(self.sources))]
        self.schedulers = [RankScheduler(self.declared, self.cfg) for _ in range(self.entries)]
        self.running: dict[str, tuple[int, QueuedWork, float]] = {}
        self.offered: dict[str, float] = {}
        in_transit: list[tuple[float, int, int, dict]] = []
        sent = [0] * self.entries
        next_heartbeat, count, now = 0.0, 0, 0.0
        while now < seconds:
            now += STEP_S
            for work_id, (entry, work, remaining) in list(self.running.items()):
                done = min(remaining, TOKENS_PER_SECOND * STEP_S * rng.uniform(0.8, 1.2))
                self.schedulers[entry].on_consumed(now, work_id, max(1, round(done)))
                if now >= measure_from:
                    self.tokens[work.rank] += done
                    self.tokens[work.workspace] += done
                if remaining <= done:
                    del self.running[work_id]
                    self.schedulers[entry].on_ended(now, work_id)
                else:
                    self.running[work_id] = (entry, work, remaining - done)
            for source, source_rng in zip(self.sources, arrival_rngs, strict=True):
                rate = source.load * TOKENS_PER_SECOND / source.length * STEP_S
                while source_rng.random() < rate / (1 + rate):
                    length = source_rng.expovariate(1 / source.length)
                    entry = source_rng.randrange(self.entries)
                    entry = entry if source.entry is None else source.entry
                    if source.start <= now < source.end:
                        count += 1
                        self.offer(now, f"{count}", source, entry, max(1, round(length)))
            if now >= next_heartbeat:
                next_heartbeat += 1.0
                for i, scheduler in enumerate(self.schedulers):
                    changes = scheduler.ledger.changes(now, sent[i])
                    sent[i] = changes.sequence
                    in_transit += [
                        (now + self.delay, i, j, dict(changes.usage))
                        for j in range(self.entries)
                        if i != j
                    ]
            for at, i, j, usage in in_transit:
                if at <= now:
                    self.schedulers[j].ledger.merge_peer(now, f"{i}", usage)
            in_transit = [item for item in in_transit if item[0] > now]
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
        capacity = Capacity(free, self.slots, len(self.running) * TOKENS_PER_SECOND)
        for item in self.schedulers[entry].next(now, capacity):
            if isinstance(item, DroppedWork):
                self.refuse(now, item.work, item.failure)
                continue
            self.schedulers[entry].on_started(now, item.work_id)
            self.running[item.work_id] = (entry, item, float(item.output_tokens))
            if now >= measure_from:
                self.waits[item.rank].append(now - self.offered[item.work_id])
                self.waits[item.workspace].append(now - self.offered[item.work_id])

    def first_token_p95(self, name: str) -> float:
        waits = sorted(self.waits[name])
        return PREFILL_S + waits[int(0.95 * len(waits))]


class FloodTest(unittest.TestCase):
    """Guards against a rank or workspace that takes capacity guaranteed to others."""

    @settings(max_examples=6, phases=(Phase.generate,))
    @given(st.integers(0, 2**32), st.sampled_from((1, 9)))
    def test_flood_of_least_urgent_rank_does_not_delay_urgent_rank(self, seed, entries):
        baseline_sources = [
            ArrivalSource("urgent", "court", 10.0),
            ArrivalSource("standard", "clerks", 20.0),
        ]
        flood_sources = [*baseline_sources, ArrivalSource("batch", "archive", 1000.0, start=10.0)]
        before = SchedulerSimulation(baseline_sources, seed, entries=entries).run(70.0, 15.0)
        during = SchedulerSimulation(flood_sources, seed, entries=entries).run(70.0, 15.0)
        allowed = 1.2 * before.first_token_p95("urgent")
        self.assertLessEqual(during.first_token_p95("urgent"), allowed)
        self.assertFalse([work for _, work, _ in during.refused if work.rank == "urgent"])

    @settings(max_examples=6, phases=(Phase.generate,))
    @given(st.integers(0, 2**32), st.sampled_from((1, 9)), st.sampled_from((100, 250, 1000)))
    def test_flood_of_most_urgent_rank_does_not_reduce_other_shares(self, seed, entries, length):
        sources = [
            ArrivalSource("urgent", "court", 1000.0, length),
            ArrivalSource("standard", "clerks", 60.0),
            ArrivalSource("batch", "archive", 40.0, 500),
        ]
        simulation = SchedulerSimulation(sources, seed, entries=entries).run(120.0, 40.0)
        total = sum(simulation.tokens[name] for name in simulation.declared)
        for name in ("standard", "batch"):
            share = simulation.declared[name].share
            self.assertGreaterEqual(simulation.tokens[name] / total, 0.9 * share, name)
        self.assertGreaterEqual(total, 0.95 * simulation.slots * TOKENS_PER_SECOND * 80.0)

    @settings(max_examples=8, phases=(Phase.generate, Phase.explicit))
    @given(st.integers(0, 2**32), st.floats(0.05, 1.0))
    @example(11964, 0.8745543132714269)
    @example(362, 0.35210504679690974)
    def test_heavy_workspace_does_not_reduce_throughput_of_small_ones(self, seed, delay):
        """Guards against a caller that spreads a flood of long work items over all entries.

        Each small workspace uses a single entry, so the flood is visible only through the exchange
        of usage.
        """
        small_sources = [ArrivalSource("standard", f"small-{i}", 6.0, entry=i) for i in range(9)]
        flooded = [*small_sources, ArrivalSource("standard", "heavy", 500.0, 1000)]
        alone = SchedulerSimulation(small_sources, seed, entries=9, delay=delay).run(100.0, 20.0)
        together = SchedulerSimulation(flooded, seed, entries=9, delay=delay).run(100.0, 20.0)
        got = sum(together.tokens[source.workspace] for source in small_sources)
        self.assertGreaterEqual(got, 0.95 * sum(alone.tokens[s.workspace] for s in small_sources))


class SchedulerTest(unittest.TestCase):
    """Guards against work that is lost, run twice, or refused with a wrong `ran` or retry time."""

    @settings(max_examples=60)
    @given(st.integers(0, 2**32), st.integers(1, 12), st.integers(1, 40))
    def test_each_work_item_ends_once_and_frees_its_slot(self, seed, slots, max_queued):
        rng = random.Random(seed)
        scheduler = RankScheduler(ranks(reserve=0.0), AdmissionSettings(max_queued=max_queued))
        waiting: set[str] = set()
        running: set[str] = set()
        now = 0.0
        for i in range(300):
            now += rng.expovariate(4.0)
            action = rng.random()
            if action < 0.5:
                work = QueuedWork(
                    f"{i}",
                    rng.choice(("urgent", "standard", "batch")),
                    f"w{rng.randrange(4)}",
                    rng.randrange(50),
                    rng.randrange(200),
                    deadline=now + rng.random() * 3 if rng.random() < 0.3 else None,
                    delivered=rng.choice((0, 0, 0, 20)),
                )
                result = scheduler.offer(now, work)
                if isinstance(result, Admitted):
                    waiting.add(work.work_id)
                else:
                    self.assertIs(result.ran, Ran.NO)
                    self.assertFalse(work.is_resume)
            elif action < 0.6 and waiting | running:
                work_id = rng.choice(sorted(waiting | running))
                self.assertTrue(scheduler.withdraw(work_id))
                waiting.discard(work_id)
                running.discard(work_id)
            elif action < 0.75 and running:
                work_id = rng.choice(sorted(running))
                scheduler.on_started(now, work_id)
                scheduler.on_consumed(now, work_id, rng.randrange(300))
                scheduler.on_ended(now, work_id)
                running.discard(work_id)
            items = scheduler.next(now, Capacity(slots - len(running), slots, 100.0))
            for item in items:
                if isinstance(item, DroppedWork):
                    resume = item.work.is_resume
                    self.assertIs(item.failure.ran, Ran.YES if resume else Ran.NO)
                    waiting.remove(item.work.work_id)
                else:
                    waiting.remove(item.work_id)
                    running.add(item.work_id)
            # Work-conserving: no slot is free while work waits.
            self.assertTrue(len(running) == slots or not waiting)
            loads = scheduler.loads()
            self.assertEqual(sum(load.running for load in loads), len(running))
            self.assertEqual(sum(load.queued for load in loads), len(waiting))
        for work_id in sorted(waiting | running):
            scheduler.withdraw(work_id)
        self.assertEqual((scheduler.queued, scheduler._running), (0, {}))
        for state in scheduler._states_by_urgency:
            queue = state.queue
            self.assertEqual((queue.size, queue.backlog, queue.total_weight), (0, 0, 0.0))
            self.assertFalse(queue._waiting or queue._by_length or queue._backlogs)

    @settings(max_examples=5, phases=(Phase.generate,))
    @given(st.integers(0, 2**32))
    def test_refused_work_is_admitted_after_the_retry_time(self, seed):
        """Guards against announcing a retry time at which the request is refused again."""
        sources = [ArrivalSource("standard", f"w{i}", 100.0, end=30.0) for i in range(10)]
        simulation = SchedulerSimulation(sources, seed).run(30.0)
        scheduler = simulation.schedulers[0]
        late = [item for item in simulation.refused if item[2].kind is ErrorKind.WOULD_BE_LATE]
        self.assertTrue(all(0.0 < failure.retry_after <= 60.0 for _, _, failure in late))
        now, work, failure = late[-1]
        end = now + failure.retry_after
        rng = random.Random(seed)
        while now < end:
            now += STEP_S
            for work_id in list(simulation.running):
                if rng.random() < STEP_S * TOKENS_PER_SECOND / 250:
                    del simulation.running[work_id]
                    scheduler.on_ended(now, work_id)
            simulation.start(now, 0, 0.0)
        self.assertIsInstance(scheduler.offer(now, work), Admitted)

    def test_most_admitted_work_starts_before_its_deadline(self):
        """Guards against admitting work whose deadline passes in the queue."""
        sources = [ArrivalSource("standard", f"w{i}", 100.0) for i in range(10)]
        simulation = SchedulerSimulation(sources, 1).run(60.0, 20.0)
        expired = simulation.outcomes[ErrorKind.DEADLINE_EXCEEDED, Ran.NO]
        self.assertLess(expired, 0.5 * len(simulation.waits["standard"]))

    def test_resumes_start_by_rank_and_delivered_tokens_within_resume_share(self):
        """Guards against resumes that starve first attempts, or that queue behind them."""
        scheduler = RankScheduler(ranks(reserve=0.0, shares=(0.0, 0.0, 0.0)), CFG)
        for i, (rank, delivered) in enumerate(
            [("batch", 900), ("urgent", 5), ("urgent", 80), ("standard", 0), ("urgent", 0)]
        ):
            scheduler.offer(0.0, QueuedWork(f"{i}", rank, f"w{i}", 0, 10, delivered=delivered))
        started = [work.work_id for work in scheduler.next(0.0, Capacity(10, 10))]
        self.assertEqual(started, ["2", "1", "0", "4", "3"])
        scheduler = RankScheduler(ranks(reserve=0.0), CFG)
        for i in range(50):
            scheduler.offer(0.0, QueuedWork(f"r{i}", "urgent", "a", 0, 10, delivered=9))
            scheduler.offer(0.0, QueuedWork(f"f{i}", "standard", "b", 0, 10))
        started = [work.work_id[0] for work in scheduler.next(0.0, Capacity(20, 20))]
        self.assertEqual(Counter(started), {"r": 6, "f": 14})

    def test_reserve_is_withheld_only_from_less_urgent_ranks(self):
        scheduler = RankScheduler(ranks(reserve=0.2), CFG)
        for i in range(20):
            scheduler.offer(0.0, QueuedWork(f"b{i}", "batch", "a", 0, 10))
        self.assertEqual(len(scheduler.next(0.0, Capacity(10, 10))), 8)
        scheduler.offer(0.0, QueuedWork("u", "urgent", "a", 0, 10))
        self.assertEqual([w.work_id for w in scheduler.next(0.0, Capacity(2, 10))], ["u"])

    def test_reserve_counts_work_of_other_instances_only_if_reported(self):
        """Guards against a reserve that is given away on an estimate, or withheld twice."""
        for running, expected in (({}, 3), ({"urgent": 2}, 5)):
            scheduler = RankScheduler(ranks(reserve=0.2), CFG)
            for i in range(20):
                scheduler.offer(0.0, QueuedWork(f"b{i}", "batch", "a", 0, 10))
            capacity = Capacity(5, 10, running=running)
            self.assertEqual(scheduler.next(0.0, capacity), [])
            # The slots are shared, so the least urgent rank first yields to other instances.
            wake = 0.0
            while not (started := scheduler.next(wake, capacity)):
                wake = scheduler.next_wake(wake)
            self.assertLess(wake, 1.0)
            self.assertEqual(len(started), expected)

    def test_next_wake_is_the_next_expiry(self):
        scheduler = RankScheduler(ranks(), CFG)
        self.assertIsNone(scheduler.next_wake(0.0))
        scheduler.offer(0.0, QueuedWork("u", "urgent", "a", 0, 10, deadline=1.5))
        scheduler.next(0.0, Capacity(0, 10))
        self.assertEqual(scheduler.next_wake(0.0), 1.5)

    def test_full_queue_displaces_work_of_lowest_worth(self):
        """Guards against refusing urgent work because the queue is full of less urgent work."""
        scheduler = RankScheduler(ranks(), AdmissionSettings(max_queued=3))
        for i, workspace in enumerate(("many", "many", "one")):
            scheduler.offer(0.0, QueuedWork(f"{i}", "batch", workspace, 0, 10))
        self.assertIsInstance(scheduler.offer(0.0, QueuedWork("u", "urgent", "x", 0, 9)), Admitted)
        rejected = scheduler.offer(0.0, QueuedWork("b", "batch", "many", 0, 10))
        self.assertIs(rejected.kind, ErrorKind.OVERLOADED)
        (displaced,) = [
            x for x in scheduler.next(0.0, Capacity(0, 1)) if isinstance(x, DroppedWork)
        ]
        self.assertEqual((displaced.work.work_id, displaced.failure.ran), ("1", Ran.NO))

    def test_workspace_with_lower_corrected_usage_starts_first(self):
        """Guards against a workspace that stays charged for an estimate that was too high."""
        scheduler = RankScheduler(ranks(reserve=0.0), CFG)
        scheduler.offer(0.0, QueuedWork("a1", "standard", "a", 0, 10_000))
        scheduler.offer(0.0, QueuedWork("b1", "standard", "b", 0, 500))
        self.assertEqual(len(scheduler.next(0.0, Capacity(2, 2))), 2)
        scheduler.offer(0.0, QueuedWork("b2", "standard", "b", 0, 500))
        scheduler.offer(0.0, QueuedWork("a2", "standard", "a", 0, 500))
        scheduler.on_started(0.0, "a1")
        scheduler.on_consumed(1.0, "a1", 20)
        scheduler.on_ended(1.0, "a1")
        self.assertEqual([w.work_id for w in scheduler.next(1.0, Capacity(1, 2))], ["a2"])


class UsageLedgerTest(unittest.TestCase):
    """Guards against usage that is counted twice, lost, or does not decay."""

    def test_usage_decays_and_can_be_corrected(self):
        ledger = UsageLedger(30.0)
        ledger.charge(0.0, "a", 1000.0)
        self.assertAlmostEqual(ledger.usage(30.0, "a"), 500.0)
        ledger.charge(30.0, "a", -400.0)
        self.assertAlmostEqual(ledger.usage(30.0, "a"), 100.0)
        ledger.charge(30.0, "a", -400.0)
        self.assertEqual(ledger.usage(30.0, "a"), 0.0)

    @given(st.integers(0, 2**32))
    def test_lost_and_repeated_reports_do_not_distort_usage(self, seed):
        rng = random.Random(seed)
        ledgers = [UsageLedger(30.0) for _ in range(3)]
        reference = UsageLedger(30.0)
        confirmed = [0, 0, 0]
        now = 0.0
        for _ in range(60):
            now += rng.random()
            ledger = rng.randrange(3)
            name, tokens = f"w{rng.randrange(4)}", rng.uniform(1.0, 500.0)
            ledgers[ledger].charge(now, name, tokens)
            reference.charge(now, name, tokens)
            for sender in (1, 2):
                changes = ledgers[sender].changes(now, confirmed[sender])
                for _ in range(rng.randrange(3)):
                    ledgers[0].merge_peer(now, f"{sender}", changes.usage)
                    confirmed[sender] = changes.sequence
        for sender in (1, 2):
            changes = ledgers[sender].changes(now, confirmed[sender])
            ledgers[0].merge_peer(now, f"{sender}", changes.usage)
        for name in reference.workspaces():
            expected = reference.usage(now, name)
            self.assertLess(abs(ledgers[0].usage(now, name) - expected), 1.0 + 0.01 * expected)

    def test_partitioned_instance_extrapolates_local_usage(self):
        ledger = UsageLedger(30.0)
        ledger.charge(0.0, "a", 100.0)
        ledger.merge_peer(0.0, "p", {"a": 500.0})
        ledger.set_coverage(0.0, reporting=1, known=9, lost=("p",))
        self.assertAlmostEqual(ledger.usage(0.0, "a"), 900.0)
        ledger.set_coverage(0.0, reporting=2, known=2)
        self.assertAlmostEqual(ledger.usage(0.0, "a"), 600.0)

    def test_scope_usage_sums_local_and_member_usage(self):
        """Guards against a report that omits usage of members or includes usage of others."""
        ledger = UsageLedger(30.0)
        ledger.charge(0.0, "a", 100.0)
        for source, tokens in (("member", 10.0), ("far", 1000.0)):
            ledger.merge_peer(0.0, source, {"a": tokens})
        sums = ledger.scope_usage(0.0, ["a", "b"], ["member", "unknown"])
        self.assertAlmostEqual(sums["a"], 110.0)
        self.assertEqual(sums["b"], 0.0)
        ledger.remove_peer(0.0, "member")
        self.assertAlmostEqual(ledger.usage(30.0, "a"), 555.0)

    def test_decayed_workspaces_are_pruned(self):
        ledger = UsageLedger(1.0)
        for i in range(20_000):
            ledger.charge(i * 0.1, f"w{i}", 100.0)
        self.assertLess(len(ledger._local) + len(ledger._total) + len(ledger._changed), 9000)


class RetryTest(unittest.TestCase):
    """Guards against retries that multiply the load of a failing fleet."""

    def test_budget_is_a_share_of_first_attempts_after_the_burst(self):
        budget = RetryBudget(CFG)
        self.assertEqual(sum(budget.try_spend(0.0) for _ in range(100)), CFG.retry_burst)
        spent = 0
        for _ in range(1000):
            budget.on_first_attempt(1.0)
            spent += budget.try_spend(1.0)
        self.assertLessEqual(spent, CFG.retry_ratio * 1000)
        self.assertGreaterEqual(spent, CFG.retry_ratio * 1000 - 1)

    def test_backoff_grows_to_its_cap_with_full_jitter(self):
        rng = random.Random(1)
        for attempt in (1, 2, 5, 10_000):
            delays = [backoff_delay(attempt, 0.2, 5.0, rng) for _ in range(200)]
            limit = min(5.0, 0.2 * 2 ** min(attempt - 1, 10))
            self.assertLessEqual(max(delays), limit)
            self.assertGreater(max(delays), 0.9 * limit)
            self.assertLess(min(delays), 0.1 * limit)
