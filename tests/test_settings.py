"""Tests of loading a settings file."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from sapphireledge.settings import Settings, load_settings

MINIMAL = """{
  // only the required fields
  instance: "akl-1", data_centre: "akl-a", region: "akl",
  caller_address: {port: 1}, peer_address: {port: 2}, operator_address: {port: 3},
  platform: {url: "http://127.0.0.1:4"},%s
}"""


class LoadSettingsTest(unittest.TestCase):
    """Guards against partially validated settings and against rejections without a clear reason."""

    def load(self, extra: str = "", text: str | None = None):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "entry.json"
            path.write_text(MINIMAL % extra if text is None else text, encoding="utf-8")
            return load_settings(path)

    def test_comments_and_defaults(self):
        cfg = self.load()
        self.assertIsInstance(cfg, Settings)
        self.assertEqual(cfg.resume.gap_floor, 0.5)

    def test_all_problems_are_reported_with_bounds_and_unit(self):
        problems = self.load("resume: {gap_floor: 99, probe_timeout: 'x'}, peers: {heartbeat: 0}")
        shown = [str(problem) for problem in problems]
        self.assertEqual(len(shown), 3, shown)
        self.assertTrue(any("resume.gap_floor" in s and "5 s" in s and "99" in s for s in shown))

    def test_unknown_field_suggests_the_closest_known_one(self):
        (problem,) = self.load("resume: {gap_flor: 1}")
        self.assertIn("resume.gap_flor", str(problem))
        self.assertIn("gap_floor", str(problem))

    def test_secret_is_not_shown(self):
        (problem,) = self.load("fleet_secret: 12345")
        self.assertNotIn("12345", str(problem))

    def test_syntax_error_names_the_file(self):
        (problem,) = self.load(text="{")
        self.assertIn("entry.json", problem.file)

    def test_order_timeout_must_leave_time_to_renew_the_lease(self):
        (problem,) = self.load("fleet: {lease: 3, order_timeout: 2}")
        self.assertIn("fleet.order_timeout", str(problem))
        self.assertIn("1.5 s", str(problem))
        self.assertIsInstance(self.load("fleet: {lease: 4, order_timeout: 2}"), Settings)
