"""Tests of routing to backend servers."""

from __future__ import annotations

import random
import unittest
from collections import Counter
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from sapphireledge.core.routing import (
    BackendInstance,
    BackendView,
    CacheEvent,
    LoadReport,
    ModelVersion,
    PrefixIndex,
    RouteChoice,
    Router,
    RouteRequest,
    hash_prefixes,
    is_software_gone,
    select_subset,
)
from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.settings import RoutingSettings

CFG = RoutingSettings()
MODEL = (ModelVersion("m", "1"),)
REQUEST = RouteRequest("m", "1", prompt_tokens=1000, output_tokens=100)


def instance(name: str, centre: str = "akl-a", region: str = "akl", **options) -> BackendInstance:
    return BackendInstance(name, f"{name}:1", centre, region, **options)


def report(name: str, as_of: float, running: int = 0, boot: str = "b", **options) -> LoadReport:
    options = {"waiting": 0, "slots": 16, "token_rate": 100.0, "models": MODEL} | options
    return LoadReport(name, boot, as_of, running, **options)


def view_of(*names: str, cfg: RoutingSettings = CFG) -> BackendView:
    view = BackendView(cfg, "entry-1", "akl-a", "akl")
    view.on_instances(0.0, [instance(name) for name in names])
    for name in names:
        view.on_load(0.0, report(name, 0.0))
    return view


class RouterTest(unittest.TestCase):
    """Guards against routing work to backend servers that cannot or must not run it."""

    def setUp(self):
        self.router = Router(CFG)
        self.rng = random.Random(1)

    def choose(self, view, now=1.0, **changes):
        fields = {"model": "m", "version": "1", "prompt_tokens": 1000} | changes
        return self.router.choose(now, RouteRequest(**fields), view, self.rng)

    def chosen(self, view, now=1.0, **changes) -> set[str]:
        choices = [self.choose(view, now, **changes) for _ in range(100)]
        return {choice.backend for choice in choices if isinstance(choice, RouteChoice)}

    @settings(max_examples=60)
    @given(st.integers(0, 2**32))
    def test_ineligible_backends_get_no_work_in_any_order_of_events(self, seed):
        """Guards against new work on a backend server that left, died, or lacks the version."""
        rng = random.Random(seed)
        cfg = RoutingSettings(subset_size=rng.choice((3, 40)))
        view = BackendView(cfg, "entry-1", "akl-a", "akl")
        names = [f"e{i}" for i in range(6)]
        places = [("akl-a", "akl"), ("wlg-a", "wlg"), ("akl-b", "akl")]
        listed: dict[str, BackendInstance] = {}
        boots: Counter = Counter()
        leaving_boots: set[tuple[str, int]] = set()
        departed_boots: set[tuple[str, int]] = set()
        versions: dict[str, str | None] = {}
        unreachable: set[str] = set()
        now = 0.0
        for step in range(150):
            now += 0.01 + rng.random()
            name = rng.choice(names)
            action = rng.randrange(7)
            if action == 0:
                kept = [n for n in names if rng.random() < 0.9]
                listed = {n: instance(n, *rng.choice(places)) for n in kept}
                for gone in set(names) - set(kept):
                    # Without a load report, the incarnation that was leaving is unknown.
                    if gone in versions:
                        departed_boots |= leaving_boots & {(gone, boots[gone])}
                    leaving_boots.discard((gone, boots[gone]))
                    versions.pop(gone, None)
                    unreachable.discard(gone)
                view.on_instances(now, listed.values())
            elif action == 1 and name in listed:
                view.on_leaving(now, name)
                leaving_boots.add((name, boots[name]))
            elif action == 2 and name in listed:
                view.on_unreachable(now, name)
                unreachable.add(name)
            elif action == 3 and name in versions and rng.random() < 0.3:
                boots[name] += 1
                view.on_load(now, report(name, now, boot=str(boots[name]), models=()))
                versions[name] = None
                unreachable.discard(name)
            elif name in listed:
                version = rng.choice(("1", "2"))
                late = now - rng.random() * 0.001
                loaded = (ModelVersion("m", version),)
                view.on_load(now, report(name, late, boot=str(boots[name]), models=loaded))
                versions[name] = version
                leaving_boots |= departed_boots & {(name, boots[name])}
                unreachable.discard(name)
            choice = self.router.choose(now, REQUEST, view, rng)
            usable = {
                n
                for n, version in versions.items()
                if version == "1" and n in listed and n not in unreachable
                if (n, boots[n]) not in leaving_boots
            }
            if isinstance(choice, Failure):
                self.assertFalse(usable, step)
                self.assertEqual((choice.kind, choice.ran), (ErrorKind.NO_BACKEND, Ran.NO))
            else:
                self.assertIn(choice.backend, usable, step)
                view.on_dispatch(now, choice.backend, f"{step}")
            capacity = view.capacity(now, "m", "1")
            self.assertEqual(capacity.total % 16, 0)
            self.assertTrue(0 <= capacity.free <= capacity.total <= 16 * len(usable))

    def test_backend_stays_leaving_until_a_new_incarnation(self):
        """Guards against a lagging list or report that makes a leaving backend usable again."""
        view = view_of("a", "b")
        view.on_leaving(1.0, "a")
        view.on_instances(2.0, [instance("a"), instance("b")])
        view.on_load(2.0, report("a", 2.0))
        self.assertEqual(self.chosen(view, 2.0), {"b"})
        view.on_load(3.0, report("a", 3.0, boot="new"))
        self.assertEqual(self.chosen(view, 3.0), {"a", "b"})

    def test_report_older_than_a_failure_does_not_restore_backend(self):
        view = view_of("a", "b")
        view.on_unreachable(2.0, "a")
        view.on_load(2.1, report("a", 1.9))
        self.assertEqual(self.chosen(view, 2.1), {"b"})
        view.on_load(2.5, report("a", 2.4))
        self.assertEqual(self.chosen(view, 2.5), {"a", "b"})

    def test_version_gone_is_reported_only_for_resumes(self):
        view = view_of("a")
        self.assertIs(self.choose(view, version="2").kind, ErrorKind.NO_BACKEND)
        gone = self.choose(view, version="2", resume=True)
        self.assertEqual((gone.kind, gone.ran), (ErrorKind.VERSION_GONE, Ran.YES))

    def test_preferred_backend_is_chosen_and_avoided_one_only_as_last_resort(self):
        view = view_of("a", "b", "c")
        self.assertEqual(self.chosen(view, prefer=("gone", "c")), {"c"})
        self.assertEqual(self.chosen(view, avoid=("c",)), {"a", "b"})
        self.assertEqual(self.chosen(view_of("c"), avoid=("c",)), {"c"})

    def test_isolated_request_shares_no_backend_with_other_suspects(self):
        """Guards against two suspects on one engine, whose death would not identify the cause."""
        view = view_of("a", "b")
        view.on_dispatch(1.0, "a", "s", suspect=True)
        self.assertEqual(self.chosen(view, isolate=True), {"b"})
        view.on_dispatch(1.0, "b", "i", isolate=True)
        self.assertEqual(self.chosen(view, suspect=True), {"a"})
        self.assertEqual(self.chosen(view), {"a", "b"})
        refused = self.choose(view, isolate=True)
        self.assertEqual((refused.kind, refused.ran), (ErrorKind.OVERLOADED, Ran.NO))
        self.assertEqual(self.choose(view, isolate=True, prefer=("a",)).kind, refused.kind)
        view.on_end(2.0, "a", "s")
        self.assertEqual(self.chosen(view, isolate=True), {"a"})

    def test_dispatches_since_the_report_count_as_load(self):
        """Guards against sending a burst to one backend server between two load reports."""
        view = view_of("a", "b", "c", "d")
        for i in range(64):
            view.on_dispatch(1.0, self.choose(view).backend, f"{i}")
        self.assertEqual([state.load for state in view.states()], [16] * 4)
        view.on_load(1.2, report("a", 0.9))
        self.assertEqual(view.state("a").load, 16)
        view.on_load(1.4, report("a", 1.1, running=20))
        view.on_end(1.5, "a", "none")
        self.assertEqual(view.state("a").load, 20)

    def test_backend_with_stale_report_has_no_free_slots(self):
        view = view_of("a", "b")
        view.on_load(9.0, report("b", 9.0, running=15))
        later = CFG.report_expiry + 1.0
        self.assertEqual(self.chosen(view, later), {"b"})
        self.assertEqual(view.capacity(later, "m", "1").free, 1)

    def test_remote_backend_is_chosen_only_when_nearer_ones_are_full(self):
        view = BackendView(CFG, "entry-1", "akl-a", "akl")
        places = {"near": ("akl-a", "akl"), "next": ("akl-b", "akl"), "far": ("wlg-a", "wlg")}
        view.on_instances(0.0, [instance(name, *place) for name, place in places.items()])
        for running, expected in ((2, "near"), (16, "next")):
            view.on_load(running, report("near", running, running=running))
            for name in ("next", "far"):
                view.on_load(running, report(name, running))
            self.assertEqual(self.chosen(view, running), {expected})
        view.on_load(17, report("next", 17, running=16))
        self.assertEqual(self.chosen(view, 17), {"far"})

    def test_backend_with_cached_prefix_is_chosen_until_it_is_full(self):
        view = view_of(*(f"e{i}" for i in range(30)))
        prefixes = hash_prefixes("x" * 4096)
        view.on_cache_event(1.0, CacheEvent("e7", "b", 1, stored=prefixes))
        self.assertEqual(self.chosen(view, prefixes=prefixes), {"e7"})
        view.on_load(2.0, report("e7", 2.0, running=30, waiting=10))
        self.assertNotIn("e7", self.chosen(view, 2.0, prefixes=prefixes))

    def test_plain_service_is_retried_after_unreachable_time(self):
        view = BackendView(CFG, "entry-1", "akl-a", "akl")
        view.on_instances(0.0, [instance("s", role="booking", reports_load=False)])
        self.assertEqual(self.chosen(view, model="", version="", role="booking"), {"s"})
        view.on_unreachable(1.0, "s")
        self.assertEqual(self.chosen(view, 1.5, model="", version="", role="booking"), set())
        self.assertEqual(self.chosen(view, 4.0, model="", version="", role="booking"), {"s"})


class SoftwareVersionTest(unittest.TestCase):
    """Guards against a resume at another software version, and against one refused too early."""

    def setUp(self):
        self.rng = random.Random(1)

    def resume(self, software, **changes) -> RouteRequest:
        return replace(REQUEST, resume=True, software=software, **changes)

    def view_of(self, cfg=CFG, **software) -> BackendView:
        view = BackendView(cfg, "entry-1", "akl-a", "akl")
        view.on_instances(0.0, [instance(name) for name in software])
        for name, version in software.items():
            if version is not None:
                view.on_load(0.0, report(name, 0.0, software=version))
        return view

    def choose(self, view, request):
        return Router(CFG).choose(1.0, request, view, self.rng)

    def test_resume_stays_at_its_version_whatever_is_preferred(self):
        view = self.view_of(e1="1", e2="2", e3="")
        for software, name in (("1", "e1"), ("2", "e2"), ("", "e3"), (None, "e3")):
            for request in (
                self.resume(software, prefer=("e1", "e2", "e3")),
                self.resume(software, avoid=(name,)),
            ):
                self.assertEqual(self.choose(view, request).backend, name)
        found = self.choose(view, self.resume("3"))
        self.assertEqual((found.kind, found.ran), (ErrorKind.VERSION_GONE, Ran.YES))

    def test_engine_of_the_version_outside_the_subset_is_found(self):
        names = {f"e{number}": "1" for number in range(40)}
        view = self.view_of(RoutingSettings(subset_size=4), **names, last="2")
        self.assertEqual(self.choose(view, self.resume("2")).backend, "last")

    def test_version_is_gone_only_if_no_engine_can_have_it(self):
        for software, engines, is_gone in (
            ("1", {"e1": "2"}, True),
            ("1", {"e1": ""}, True),
            ("", {"e1": "2"}, True),
            (None, {"e1": "2", "e2": ""}, True),
            ("1", {"e1": "2", "e2": None}, False),
            ("1", {"e1": "2", "e2": "1"}, False),
            ("1", {}, False),
            ("", {"e1": ""}, False),
            (None, {"e1": ""}, False),
            (None, {"e1": None}, False),
        ):
            view = self.view_of(**engines)
            self.assertIs(is_software_gone(view, self.resume(software)), is_gone, engines)

    def test_leaving_engine_does_not_keep_its_version(self):
        view = self.view_of(e1="1", e2="2")
        view.on_unreachable(1.0, "e1")
        self.assertFalse(is_software_gone(view, self.resume("1")))
        view.on_leaving(1.0, "e1")
        self.assertTrue(is_software_gone(view, self.resume("1")))

    def test_response_corrects_the_version_of_the_last_report(self):
        view = self.view_of(e1="1", e2="1")
        view.on_software("e1", "2")
        self.assertEqual(self.choose(view, self.resume("2")).backend, "e1")
        self.assertEqual(self.choose(view, self.resume("1")).backend, "e2")


class PrefixIndexTest(unittest.TestCase):
    """Guards against cache hints that outlive the cached prefix."""

    def test_hint_weight_after_decay_gap_eviction_and_restart(self):
        index = PrefixIndex(100.0)
        prefixes = hash_prefixes("y" * 1024)
        index.on_cache_event(0.0, CacheEvent("e", "b1", 1, stored=prefixes))
        (fresh,) = index.holders(0.0, prefixes, 2).values()
        (older,) = index.holders(100.0, prefixes, 2).values()
        self.assertAlmostEqual(older, fresh / 2)
        index.on_cache_event(100.0, CacheEvent("e", "b1", 4))
        (gap,) = index.holders(100.0, prefixes, 2).values()
        self.assertAlmostEqual(gap, fresh / 4)
        index.on_cache_event(100.0, CacheEvent("e", "b1", 3, evicted=prefixes))
        self.assertTrue(index.holders(100.0, prefixes, 2))
        index.on_cache_event(100.0, CacheEvent("e", "b1", 5, evicted=prefixes[1:]))
        self.assertLess(index.holders(100.0, prefixes, 2)["e"], gap)
        index.on_boot(101.0, "e", "b2")
        self.assertEqual(index.holders(101.0, prefixes, 2), {})

    def test_index_size_is_bounded(self):
        index = PrefixIndex(100.0, capacity=10)
        for i in range(100):
            index.on_stored(0.0, f"e{i}", (i, -1))
        self.assertLessEqual(len(index), 10)
        self.assertLessEqual(len(index._holders[-1]), 8)

    def test_hash_covers_the_entire_prefix(self):
        a = hash_prefixes("a" * 512 + "c" * 512)
        b = hash_prefixes("b" * 512 + "c" * 512)
        self.assertEqual(len(a), 4)
        self.assertFalse(set(a) & set(b))
        self.assertEqual(hash_prefixes("a" * 700), a[:2])


class SelectSubsetTest(unittest.TestCase):
    """Guards against idle or overloaded backend servers and against unnecessary changes."""

    ENTRIES = tuple(f"entry-{i}" for i in range(45))
    BACKENDS = tuple(f"engine-{i}" for i in range(150))

    def subsets(self, entries, backends=BACKENDS):
        return {name: set(select_subset(name, entries, backends, 40)) for name in entries}

    def test_each_backend_is_selected_by_equally_many_instances(self):
        selections = Counter(
            name for subset in self.subsets(self.ENTRIES).values() for name in subset
        )
        self.assertEqual(len(selections), len(self.BACKENDS))
        self.assertLessEqual(max(selections.values()) - min(selections.values()), 1)

    def test_each_backend_is_selected_by_two_of_few_instances(self):
        selections = Counter(name for s in self.subsets(self.ENTRIES[:3]).values() for name in s)
        self.assertEqual(set(selections.values()), {2})

    @given(st.integers(0, 44))
    @settings(max_examples=10)
    def test_removed_instance_changes_few_selections(self, gone):
        before = self.subsets(self.ENTRIES)
        after = self.subsets(tuple(e for e in self.ENTRIES if e != self.ENTRIES[gone]))
        changed = sum(len(before[name] ^ after[name]) for name in after)
        # Other instances take over its 40 selections, and the total falls by 40; rounding of m by
        # hash varies the result by up to a fifth.
        self.assertLessEqual(changed, 1.2 * 2 * 40)

    def test_removed_backend_changes_only_its_own_selections(self):
        before = self.subsets(self.ENTRIES)
        after = self.subsets(self.ENTRIES, self.BACKENDS[1:])
        changed = sum(len((before[n] ^ after[n]) - {self.BACKENDS[0]}) for n in self.ENTRIES)
        self.assertLessEqual(changed, 2 * 40)
