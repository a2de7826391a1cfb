"""Tests of membership, heartbeat merging and partner selection."""

from __future__ import annotations

import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from sapphireledge.core.membership import (
    DeathNotice,
    HeartbeatMerger,
    HeartbeatReport,
    Member,
    Membership,
    UsageChangeLog,
    UsageSums,
    choose_partner,
    choose_representatives,
    compute_heartbeat_interval,
)

NO_DECAY = float("inf")
"""Infinite half-life."""

names = st.sets(st.text("abcdef0123456789-", min_size=1, max_size=8), min_size=3, max_size=30)


def member(name: str, data_centre: str = "a") -> Member:
    return Member(name, data_centre, "r", f"10.0.0.1:{len(name)}")


class HeartbeatExchange:
    """A sender and a receiver whose heartbeats and replies are lost, delayed or duplicated."""

    def __init__(self):
        self.now = 0.0
        self.starts = 0
        self.network: list[HeartbeatReport] = []
        self.receiver = HeartbeatMerger(dead_after=3.0)
        self.view: dict[str, float] = {}
        self.deaths: list[DeathNotice] = []
        self.start_sender()

    def start_sender(self):
        self.starts += 1
        self.usage: dict[str, float] = {}
        self.log = UsageChangeLog(NO_DECAY)
        self.sequence = 0
        self.acknowledged = 0

    def send(self) -> tuple[HeartbeatReport, int]:
        self.now += 1.0
        self.log.on_sample(self.now, self.usage, 2)
        usage, position = self.log.changes_after(self.now, self.acknowledged, 2)
        self.sequence += 1
        report = HeartbeatReport(
            "peer", f"{self.starts:04}", self.sequence, config_version=self.sequence, usage=usage
        )
        self.network.append(report)
        return report, position

    def deliver(self, report: HeartbeatReport) -> bool:
        result = self.receiver.merge(self.now, report)
        if result.restarted:
            self.view.clear()
        self.view.update(result.usage)
        return result.accepted

    def exchange(self):
        report, position = self.send()
        if self.deliver(report):
            self.acknowledged = position


steps = st.lists(
    st.one_of(
        st.tuples(st.just("use"), st.integers(0, 5), st.sampled_from([64.0, 256.0, 1024.0])),
        st.tuples(st.just("exchange"), st.just(0), st.just(0)),
        st.tuples(st.just("lose reply"), st.just(0), st.just(0)),
        st.tuples(st.just("lose"), st.just(0), st.just(0)),
        st.tuples(st.just("deliver old"), st.integers(0, 50), st.just(0)),
        st.tuples(st.just("restart"), st.just(0), st.just(0)),
    ),
    max_size=40,
)


class HeartbeatTest(unittest.TestCase):
    """Guards against wrong receiver state after lost, delayed or duplicated heartbeats."""

    @settings(max_examples=500)
    @given(steps)
    def test_receiver_converges_after_loss_repetition_reorder_and_restart(self, actions):
        exchange = HeartbeatExchange()
        for action, number, value in actions:
            if action == "use":
                exchange.usage[f"w{number}"] = value
            elif action == "exchange":
                exchange.exchange()
            elif action == "lose reply":
                exchange.deliver(exchange.send()[0])
            elif action == "lose":
                exchange.send()
            elif action == "deliver old" and exchange.network:
                exchange.deliver(exchange.network[number % len(exchange.network)])
            elif action == "restart":
                exchange.start_sender()
        for _ in range(5):
            exchange.exchange()
        for report in reversed(exchange.network):
            exchange.deliver(report)
        self.assertEqual(exchange.view, exchange.usage)
        status = exchange.receiver.status("peer")
        self.assertEqual((status.sequence, status.config_version), (exchange.sequence,) * 2)

    def test_incarnation_with_an_earlier_id_is_accepted_after_silence(self):
        """Guards against locking out a peer that restarts after its clock was set back."""
        merge = HeartbeatMerger(dead_after=3.0)
        self.assertTrue(merge.merge(0.0, HeartbeatReport("peer", "2", 9)).accepted)
        earlier = HeartbeatReport("peer", "1", 1)
        self.assertFalse(merge.merge(2.0, earlier).accepted)
        self.assertTrue(merge.merge(3.0, earlier).restarted)

    def test_death_with_different_suspects_is_new(self):
        """Guards against dropping suspects: each peer reports only its own requests."""
        merge = HeartbeatMerger(3.0)
        first = DeathNotice("engine", "boot", 1.0, ("f",))
        other = DeathNotice("engine", "boot", 1.4, ("g",))
        merge.merge(0.0, HeartbeatReport("a", "1", 1, deaths=(first,)))
        result = merge.merge(0.1, HeartbeatReport("b", "1", 1, deaths=(other,)))
        self.assertEqual(result.deaths, (other,))

    def test_death_reported_by_two_peers_is_new_only_once(self):
        merge = HeartbeatMerger(dead_after=3.0)
        death = DeathNotice("engine", "boot", 1.0, ("f",))
        later = replace(death, time_unix=1.4)
        first = merge.merge(0.0, HeartbeatReport("a", "1", 1, deaths=(death,)))
        second = merge.merge(0.0, HeartbeatReport("b", "1", 1, deaths=(later,)))
        self.assertEqual((first.deaths, second.deaths), ((death,), ()))

    def test_largest_changes_are_sent_first_and_all_are_sent_eventually(self):
        log = UsageChangeLog(NO_DECAY)
        usage = {f"w{n:02}": 100.0 + n for n in range(20)}
        sent, position = [], 0
        for sample in range(10):
            log.on_sample(float(sample), usage, 2)
            changes, position = log.changes_after(float(sample), position, 4)
            sent += sorted(changes)
        self.assertEqual(sorted(sent), sorted(usage))
        self.assertEqual(sent[:4], ["w18", "w19", "w16", "w17"])
        self.assertEqual(log.changes_after(10.0, position, 4), ({}, position))

    def test_decay_alone_is_not_sent_again(self):
        log = UsageChangeLog(half_life=30.0)
        log.on_sample(0.0, {"w": 1000.0}, 9)
        position = log.position
        log.on_sample(30.0, {"w": 500.0}, 9)
        self.assertEqual(log.position, position)
        log.on_sample(400.0, {}, 9)
        self.assertEqual(log.changes_after(400.0, 0, 9)[0], {})

    @given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 2), st.floats(2, 1e6))))
    def test_sums_equal_the_sum_of_the_newest_values(self, merges):
        sums, newest = UsageSums(half_life=10.0), {}
        now = 5.0
        for source, workspace, value in merges:
            now += 250.0 if value > 5e5 else 1.0
            sums.merge(now, source, {f"w{workspace}": value})
            newest[source, f"w{workspace}"] = (value, now)
        expected: dict[str, float] = {}
        for (_, workspace), (value, since) in newest.items():
            left = value * 0.5 ** ((now - since) / 10.0)
            expected[workspace] = expected.get(workspace, 0.0) + left
        total = sums.total(now)
        for workspace, value in expected.items():
            if value > 1.1:
                self.assertAlmostEqual(total[workspace] / value, 1.0, delta=0.02)


class ChoiceTest(unittest.TestCase):
    """Guards against inconsistent choices between entries, and against needless changes."""

    @given(names, st.randoms(use_true_random=False))
    def test_partner_choice_is_consistent_and_stable(self, present, rng):
        own, *others = sorted(present)
        members = [member(name) for name in others]
        partner = choose_partner(member(own), members)
        rng.shuffle(members)
        self.assertEqual(choose_partner(member(own), members), partner)
        for gone in members:
            kept = [each for each in members if each != gone]
            moved = choose_partner(member(own), kept)
            self.assertEqual(moved == partner, gone != partner)
        joined = member("joins!")
        self.assertIn(choose_partner(member(own), [*members, joined]), (partner, joined))

    def test_partner_is_never_itself_leaving_avoided_or_elsewhere(self):
        others = [member("b", "z"), replace(member("c"), leaving=True), member("d"), member("a")]
        self.assertEqual(choose_partner(member("a"), others), member("d"))
        self.assertIsNone(choose_partner(member("a"), others, avoid={"d"}))

    @given(names)
    def test_partners_are_evenly_distributed(self, present):
        ordered = [member(f"entry-{number}") for number in range(52)]
        partners = [choose_partner(own, ordered).name for own in ordered]
        self.assertLess(max(map(partners.count, partners)), 8)

    @given(names, st.sampled_from(["akl", "wlg"]))
    def test_representative_choice_is_consistent_and_stable(self, present, other):
        chosen = choose_representatives(sorted(present), other)
        self.assertEqual(choose_representatives(sorted(present, reverse=True), other), chosen)
        for gone in present:
            left = choose_representatives(present - {gone}, other)
            self.assertEqual(set(chosen) - {gone} - set(left), set())


class MembershipTest(unittest.TestCase):
    """Guards against missing peers, and against representatives that are all dead."""

    def setUp(self):
        self.fleet = [member(f"{centre}{n}", centre) for centre in "abc" for n in range(5)]
        self.views = {each.name: Membership(each, 3.0) for each in self.fleet}
        for view in self.views.values():
            view.on_instances(0.0, self.fleet)

    def test_full_mesh_within_and_two_representatives_between_data_centres(self):
        pairs = {(name, peer.name) for name, view in self.views.items() for peer in view.peers(0.0)}
        for left, right in pairs:
            self.assertIn((right, left), pairs)
        for one, other in ("ab", "ac", "bc"):
            between = [pair for pair in pairs if pair[0][0] == one and pair[1][0] == other]
            self.assertEqual(len(between), 4)
            self.assertEqual(len({left for left, _ in between}), 2)
        self.assertEqual(sum(left[0] == right[0] for left, right in pairs), 3 * 5 * 4)

    def test_unlisted_entry_that_was_heard_from_is_a_peer(self):
        view, new = self.views["a0"], member("a9")
        view.on_peer_seen(1.0, new)
        view.on_instances(2.0, self.fleet)
        self.assertIn(new, view.peers(2.0))
        view.on_instances(5.0, self.fleet)
        self.assertNotIn(new, view.peers(5.0))

    def test_entry_missing_from_the_list_stays_while_reachable(self):
        view = self.views["a0"]
        view.on_peer_seen(1.0, member("a1"))
        view.on_instances(2.0, [])
        self.assertEqual([each.name for each in view.members(2.0)], ["a0", "a1"])

    def test_silent_representatives_are_replaced(self):
        view = self.views["a0"]
        chosen = view.representatives(0.0, "a", "b")
        for each in self.fleet[1:5]:
            if each.name not in chosen:
                view.on_peer_seen(2.0, each)
        self.assertFalse(view.is_reachable(4.0, chosen[0]))
        later = view.representatives(4.0, "a", "b")
        self.assertFalse({*chosen} - {"a0"} & {*later})

    def test_unreachable_representative_is_skipped_temporarily(self):
        view = self.views["a0"]
        first = view.representatives(0.0, "b", "a")[0]
        view.on_unreachable(1.0, first)
        self.assertNotIn(first, view.representatives(2.0, "b", "a"))
        self.assertIn(first, view.representatives(60.0, "b", "a"))

    def test_draining_entry_is_marked_until_it_reports_otherwise(self):
        view = self.views["a0"]
        view.on_peer_seen(1.0, member("a1"), draining=True)
        self.assertTrue(view.live_members(1.0)[1].leaving)
        view.on_peer_seen(2.0, member("a1"))
        self.assertFalse(view.live_members(2.0)[1].leaving)

    def test_interval_grows_from_one_to_three_seconds(self):
        self.assertEqual(
            [compute_heartbeat_interval(1.0, n) for n in (1, 9, 52, 99)], [1.0, 1.0, 3.0, 3.0]
        )
