"""Tests of `BackendView` with event orders observed in running processes."""

from __future__ import annotations

import unittest

from sapphireledge.core.routing import BackendInstance, BackendView, LoadReport, ModelVersion
from sapphireledge.settings import RoutingSettings


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
