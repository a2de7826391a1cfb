"""A short soak with fixed seeds."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path

from soak.__main__ import regression_seeds
from soak.world import World

SEED = 1
SECONDS = 8.0


class SoakTest(unittest.TestCase):
    """Guards the promises to callers and runners while faults overlap."""

    def play(self, seed: int) -> None:
        with tempfile.TemporaryDirectory() as folder:
            world = World(seed, Path(folder), entries=3, backends=12, callers=6)
            self.assertEqual(asyncio.run(world.run(SECONDS)), [])
            served = [a for a in world.record.answers.values() if a.status == 200]
            self.assertGreater(len(served), 40)

    def test_fixed_seed(self):
        self.play(SEED)

    def test_seeds_that_once_failed(self):
        for seed in regression_seeds():
            with self.subTest(seed=seed):
                self.play(seed)


if __name__ == "__main__":
    unittest.main()
