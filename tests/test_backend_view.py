"""Tests of the view of backend servers against orders of events seen in real processes."""

from __future__ import annotations

import unittest

from sapphireledge.core.routing import BackendInstance, BackendView, LoadReport, ModelVersion
from sapphireledge.settings import RoutingSettings


class LeavingTest(unittest.TestCase):
    """Guards against new work on a leaving backend server."""

    def test_restarted_engine_stays_leaving_while_listed_as_leaving(self):
        """The first report of a new engine process once cleared the mark of the instance list."""
        view = BackendView(RoutingSettings(), "e1", "akl-a", "akl")
        instance = BackendInstance("g1", "127.0.0.1:1", "akl-a", "akl", leaving=True)
        view.on_instances(0.0, [instance])
        for boot, now in (("old", 1.0), ("new", 2.0)):
            models = (ModelVersion("drafter", "v1"),)
            view.on_load(now, LoadReport("g1", boot, now, 0, 0, 8, 0.0, models))
        view.on_instances(3.0, [instance])
        self.assertEqual(view.capacity(3.0, "drafter", "v1").total, 0)
