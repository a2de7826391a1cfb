"""Tests of the ledger that decides what callers may hold, replayed without a network."""

from __future__ import annotations

import unittest
from dataclasses import replace

from sapphireledge.gateway.caller_connection import MAX_UNPARSED_BYTES
from sapphireledge.limits import (
    CONNECTION_BYTES,
    INCLUDED_BYTES,
    LOG_INTERVAL,
    BufferBudget,
    BufferShare,
    CallerBudgets,
    CallerLedger,
    LedgerLimits,
    LimitLog,
    LimitReason,
    estimate_head_memory,
)

LEGAL_BODY = 4_194_304
LEGAL_HEAD = 16_384
SMALLEST_MACHINES = (CallerBudgets(88 << 20, 3_900), CallerBudgets(128 << 20, 1_335))
LIMITS = LedgerLimits(
    connections=100,
    total_bytes=6_000_000,
    large_bytes=3_000_000,
    stall_time=2.0,
    least_progress=4_096,
)


class LedgerTest(unittest.TestCase):
    """Guards against crowds that take the memory or the places of ordinary callers."""

    def setUp(self):
        self.reasons = []
        self.evicted = []
        self.ledger = CallerLedger(LIMITS, self.reasons.append)

    def open(self, now, name="", limits=None):
        return self.ledger.open(now, lambda reason: self.evicted.append(name))

    def test_crowd_of_bodies_that_stop_short(self):
        """A crowd takes no more than the limit, and gives way to a body that arrives later."""
        granted = 0
        for number in range(60):
            account = self.open(0.0, number)
            granted += account.try_resize(0.0, 1_000_000)
        self.assertEqual(granted, 3)
        body = self.open(1.0, "ordinary")
        self.assertFalse(body.try_resize(1.0, 1_000_000))
        self.assertEqual(self.evicted, [])
        self.assertTrue(body.try_resize(2.5, 1_000_000))
        self.assertEqual(self.evicted, [0])
        self.assertEqual(self.reasons, [LimitReason.STALLED])

    def test_small_requests_beside_large_ones(self):
        """Large holdings leave memory for the small requests of all others."""
        for _ in range(3):
            self.assertTrue(self.open(0.0).try_resize(0.0, 1_000_000))
        small = [self.open(0.0) for _ in range(60)]
        self.assertTrue(all(account.try_resize(0.0, 20_000) for account in small))

    def test_slow_but_steady_body_is_kept(self):
        """A caller at the least rate keeps its memory, one that drips loses it."""
        steady, dripping = self.open(0.0, "steady"), self.open(0.0, "dripping")
        for account in (steady, dripping):
            self.assertTrue(account.try_resize(0.0, 1_500_000))
        for tenth in range(1, 51):
            steady.on_moved(tenth / 10, LIMITS.least_progress // 19)
            dripping.on_moved(tenth / 10, 1)
        self.assertTrue(self.open(5.0).try_resize(5.0, 1_000_000))
        self.assertEqual(self.evicted, ["dripping"])

    def test_nobody_gives_way_without_need(self):
        stalled = self.open(0.0, "stalled")
        self.assertTrue(stalled.try_resize(0.0, 1_000_000))
        self.assertTrue(self.open(60.0).try_resize(60.0, 1_000_000))
        self.assertEqual(self.evicted, [])

    def test_longest_wait_gives_way_to_a_new_connection(self):
        accounts = [self.open(float(number), number) for number in range(100)]
        accounts[0].serve(100.0)
        accounts[1].touch(101.0)
        self.assertIsNotNone(self.open(102.0, "new"))
        self.assertEqual(self.evicted, [2])
        self.assertEqual(self.ledger.connections, 100)

    def test_served_requests_never_give_way(self):
        accounts = [self.open(0.0, number) for number in range(100)]
        for account in accounts:
            account.serve(0.0)
        self.assertIsNone(self.open(60.0))
        self.assertEqual(self.evicted, [])
        self.assertEqual(self.reasons, [LimitReason.ALL_SERVED])

    def test_memory_of_idle_connections(self):
        """Connections alone never take more than the limit."""
        self.ledger.limits = replace(LIMITS, connections=100_000)
        for number in range(2_000):
            self.open(number / 1_000, number)
        self.assertLessEqual(self.ledger.held_bytes, LIMITS.total_bytes)
        self.assertEqual(self.evicted, list(range(2_000 - LIMITS.total_bytes // CONNECTION_BYTES)))

    def test_answer_that_nobody_reads(self):
        """Callers that do not read their answers give way, those that read slowly do not."""
        budget = BufferBudget(2_000_000)
        budget.on_short = lambda size: self.ledger.free_answers(10.0, size)
        unsent = {"slow": 900_000, "unread": 900_000}
        for name in unsent:
            account = self.open(0.0, name)
            share = BufferShare(budget)
            share.hold(900_000)
            account.answer_bytes = 900_000
            account.count_unsent = lambda name=name: unsent[name]
            account.evict = lambda reason, name=name, share=share: (
                self.evicted.append(name),
                share.release(),
            )
            account.serve(0.0)
            account.wait_for_peer(1.0)
        unsent["slow"] -= 40_000
        self.assertTrue(BufferShare(budget).try_resize(900_000))
        self.assertEqual(self.evicted, ["unread"])

    def test_answers_that_are_read_are_kept(self):
        """They may take more memory than there is, and no new connection cuts them."""
        self.ledger.limits = replace(LIMITS, connections=3)
        unsent = {"read": 9_000_000, "unread": 9_000_000}
        for name in unsent:
            account = self.open(0.0, name)
            account.count_unsent = lambda name=name: unsent[name]
            account.wait_for_peer(0.0)
            account.resize(0.0, LIMITS.total_bytes)
        self.open(0.0, "idle")
        self.assertTrue(self.ledger.is_overdrawn(1.0))
        self.assertIsNotNone(self.open(1.0, "new"))
        self.assertEqual(self.evicted, ["idle"])
        unsent["read"] -= 40_000
        self.assertIsNotNone(self.open(2.5, "newer"))
        self.assertEqual(self.evicted, ["idle", "unread"])

    def test_closed_connections_give_back_everything(self):
        accounts = [self.open(0.0) for _ in range(50)]
        for number, account in enumerate(accounts):
            account.try_resize(0.0, 50_000 * (number % 3))
        for account in accounts:
            account.close()
            account.close()
            account.touch(1.0)
            self.assertTrue(account.try_resize(1.0, 10_000_000))
        self.assertEqual(self.ledger.held_bytes, 0)
        self.assertTrue(self.open(2.0).try_resize(2.0, 3_000_000))


class BudgetsTest(unittest.TestCase):
    """Guards against defaults that callers inside the limits of their configuration meet."""

    def test_legal_request_fits_on_the_smallest_machines(self):
        # Fields of four bytes, and the bytes that are not parsed yet.
        head = estimate_head_memory(LEGAL_HEAD, LEGAL_HEAD // 4)
        largest = LEGAL_BODY + MAX_UNPARSED_BYTES + head
        for budgets in SMALLEST_MACHINES:
            account = CallerLedger(budgets.callers).open(0.0, lambda reason: None)
            self.assertTrue(account.try_resize(0.0, largest))
            self.assertGreaterEqual(budgets.response_bytes, LEGAL_BODY)

    def test_shares_leave_room(self):
        for budgets in (*SMALLEST_MACHINES, CallerBudgets(64 << 20, 256)):
            groups = (budgets.callers, budgets.readiness, budgets.metrics, budgets.followers)
            memory = sum(group.total_bytes for group in groups) + budgets.response_bytes
            self.assertLessEqual(memory, budgets.memory_bytes // 2)
            sockets = sum(group.connections for group in groups)
            self.assertLessEqual(sockets, budgets.sockets * 3 // 4)
            self.assertLessEqual(4 * 16, budgets.sockets // 4)

    def test_ordinary_request_takes_no_memory_of_the_reserve(self):
        self.assertGreater(INCLUDED_BYTES, estimate_head_memory(600, 15))


class LimitLogTest(unittest.TestCase):
    """Guards against a log line for each caller of a crowd."""

    def test_one_line_for_each_reason_and_interval(self):
        log = LimitLog()
        counts = [log.count(number / 1_000, "stalled") for number in range(1_000)]
        self.assertEqual(sum(map(bool, counts)), 1)
        self.assertEqual(log.count(0.5, "no_memory"), 1)
        self.assertEqual(log.count(LOG_INTERVAL, "stalled"), 1_000)


if __name__ == "__main__":
    unittest.main()
