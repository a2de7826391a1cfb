"""Short soak runs with fixed seeds."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path

from soak.__main__ import regression_seeds
from soak.soak_run import SoakRun

SEED = 1
SECONDS = 8.0


class SoakTest(unittest.TestCase):
    """Guards against violated guarantees to callers and backend servers while faults overlap."""

    def run_seed(self, seed: int) -> None:
        with tempfile.TemporaryDirectory() as folder:
            soak_run = SoakRun(seed, Path(folder), entries=3, backends=12, callers=6)
            self.assertEqual(asyncio.run(soak_run.run(SECONDS)), [])
            served = [a for a in soak_run.record.calls.values() if a.status == 200]
            self.assertGreater(len(served), 40)

    def test_fixed_seed(self):
        self.run_seed(SEED)

    def test_seeds_that_once_failed(self):
        for seed in regression_seeds():
            with self.subTest(seed=seed):
                self.run_seed(seed)


if __name__ == "__main__":
    unittest.main()
