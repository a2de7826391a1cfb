"""Tests of `BackendView` with event orders observed in running processes."""

from __future__ import annotations

import unittest

from sapphireledge.core.routing import BackendInstance, BackendView, LoadReport, ModelVersion
from sapphireledge.entry.lifecycle import Lifecycle
from sapphireledge.settings import Address, PlatformSettings, RoutingSettings, Settings


class PartitionTest(unittest.TestCase):
    """Guards against callers that are sent to an instance which reaches no engine."""

    def view(self, engines):
        view = BackendView(RoutingSettings(), "e1", "akl-a", "akl")
        view.on_instances(
            0.0,
            [
                BackendInstance(f"g{n}", f"127.0.0.1:{n + 1}", "akl-a", "akl")
                for n in range(engines)
            ],
        )
        return view

    def report(self, view, now, name):
        models = (ModelVersion("drafter", "v1"),)
        view.on_load(now, LoadReport(name, "boot", now, 0, 0, 8, 0.0, models))

    def create_lifecycle(self):
        address = Address(port=0)
        platform = PlatformSettings(url="-")
        return Lifecycle(Settings("e1", "akl-a", "akl", address, address, address, platform))

    def test_instance_is_not_available_while_no_engine_can_be_reached(self):
        view, lifecycle = self.view(4), self.create_lifecycle()
        lifecycle.is_cut_off = lambda: view.is_cut_off
        lifecycle.mark_ready()
        for number in range(4):
            self.report(view, 0.5, f"g{number}")
            self.assertTrue(lifecycle.is_available)
        for number in range(4):
            self.assertTrue(lifecycle.is_available)
            view.on_unreachable(1.0, f"g{number}")
        self.assertFalse(lifecycle.is_available)
        self.report(view, 2.0, "g2")
        self.assertTrue(lifecycle.is_available)

    def test_few_engines_that_died_are_no_partition(self):
        view = self.view(3)
        for number in range(3):
            view.on_unreachable(1.0, f"g{number}")
        self.assertFalse(view.is_cut_off)


class LeavingTest(unittest.TestCase):
    """Guards against sending new work to a leaving backend server."""

    def test_restarted_engine_stays_leaving_while_listed_as_leaving(self):
        """Guards against a restarted engine whose first report clears the mark of the list."""
        view = BackendView(RoutingSettings(), "e1", "akl-a", "akl")
        instance = BackendInstance("g1", "127.0.0.1:1", "akl-a", "akl", leaving=True)
        view.on_instances(0.0, [instance])
        for boot, now in (("old", 1.0), ("new", 2.0)):
            models = (ModelVersion("drafter", "v1"),)
            view.on_load(now, LoadReport("g1", boot, now, 0, 0, 8, 0.0, models))
        view.on_instances(3.0, [instance])
        self.assertEqual(view.capacity(3.0, "drafter", "v1").total, 0)
