"""Tests of the fleet of processes that other tests start."""

from __future__ import annotations

import unittest
from pathlib import Path
from unittest import mock

from devtools.local_fleet import LocalFleet


class PortTest(unittest.TestCase):
    def test_no_port_is_drawn_twice(self):
        """Guards against two processes of a fleet that are to bind the same port."""
        fleet = LocalFleet(Path(), (), ())
        with mock.patch("devtools.local_fleet.free_port", side_effect=[15_001, 15_001, 15_002]):
            self.assertEqual([fleet.free_port(), fleet.free_port()], [15_001, 15_002])


if __name__ == "__main__":
    unittest.main()
