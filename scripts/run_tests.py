"""Runs the unittest suite and prints a final line with the counts.

Without arguments, each test module runs in a process of its own, on half of the cores at once. The
modules of RUN_ALONE follow one at a time.

Tests listed in KNOWN-RED.txt still run and are printed, but do not affect the exit code.
"""

from __future__ import annotations

import gc
import logging
import os
import re
import subprocess
import sys
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from itertools import chain
from pathlib import Path

import structlog
from hypothesis import settings

ROOT = Path(__file__).resolve().parent.parent

RESULT = re.compile(r"^(\d+) passed, (\d+) failed, (\d+) skipped$", re.MULTILINE)
"""Last line of a run."""


RUN_ALONE = ("test_uncontrolled_callers", "test_daemon_callers", "test_small_machine")
"""Modules that load the machine themselves; they run after all others, one at a time."""


class TimedResult(unittest.TextTestResult):
    """Records the duration of each test, to report the slowest ones."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.durations: list[tuple[float, str]] = []
        self.passed = 0
        self._started = 0.0
        self._module = ""

    def startTest(self, test):
        """Records the start time of a test, after the objects of earlier modules are set aside.

        Otherwise each full garbage collection walks all objects that hundreds of tests have left
        behind, and stops the event loop for longer than the time limits that tests set.
        """
        module = type(test).__module__
        if module != self._module:
            self._module = module
            gc.collect()
            gc.freeze()
        self._started = time.monotonic()
        super().startTest(test)

    def addSuccess(self, test):
        """Counts a passed test."""
        self.passed += 1
        super().addSuccess(test)

    def stopTest(self, test):
        """Records the duration of a test."""
        self.durations.append((time.monotonic() - self._started, test.id()))
        super().stopTest(test)


def known_red() -> set[str]:
    """Reads the ids of the tests that KNOWN-RED.txt lists.

    Returns:
        The test ids, one from each line that starts with "test:".
    """
    path = ROOT / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    lines = path.read_text(encoding="utf-8").splitlines()
    return {line.removeprefix("test:").strip() for line in lines if line.startswith("test:")}


def load(names: list[str]) -> unittest.TestSuite:
    """Loads the named test modules, or all of them.

    Args:
        names: Module names such as "test_errors"; empty loads all test modules.

    Returns:
        The suite.
    """
    loader = unittest.TestLoader()
    sys.path.insert(0, str(ROOT / "tests"))
    sys.path.insert(0, str(ROOT))
    if names:
        return loader.loadTestsFromNames(names)
    return loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT / "tests"))


def list_modules() -> list[str]:
    """Lists all test modules, those with processes first because they take longest.

    Returns:
        Module names.
    """
    names = sorted(path.stem for path in (ROOT / "tests").glob("test_*.py"))
    return sorted(names, key=lambda name: "processes" not in name)


def run_here(names: list[str]) -> int:
    """Runs tests in this process.

    Args:
        names: Module, class or test names; empty runs all test modules.

    Returns:
        0 when every test outside KNOWN-RED.txt passed, otherwise 1.
    """
    # Fixed seeds: the same source gives the same result on every run.
    settings.register_profile("repeatable", derandomize=True, deadline=None, database=None)
    settings.load_profile("repeatable")
    # Tests inject faults on purpose; the log lines about them would bury the results.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    structlog.configure(logger_factory=structlog.ReturnLoggerFactory())
    runner = unittest.TextTestRunner(verbosity=1, resultclass=TimedResult)
    result = runner.run(load(names))
    failed_ids = {test.id() for test, _ in result.failures + result.errors}
    known_failures = failed_ids & known_red()
    for test_id in sorted(known_failures):
        print(f"known red: {test_id}")
    for duration, test_id in sorted(result.durations, reverse=True)[:5]:
        print(f"{duration:7.2f} s  {test_id}")
    failed_count = len(failed_ids - known_failures)
    print(f"{result.passed} passed, {failed_count} failed, {len(known_failures)} skipped")
    return 1 if failed_count or result.testsRun == 0 else 0


def run_modules(jobs: int) -> int:
    """Runs all test modules, each in a process of its own.

    A module whose process ends without a result counts as one failure.

    Args:
        jobs: Number of processes that run at once.

    Returns:
        0 when every test outside KNOWN-RED.txt passed, otherwise 1.
    """
    totals = [0, 0, 0]
    names = list_modules()
    shared = [name for name in names if name not in RUN_ALONE]
    alone = [name for name in names if name in RUN_ALONE]
    with ThreadPoolExecutor(jobs) as executor:
        for name, seconds, output in chain(
            executor.map(run_module, shared), map(run_module, alone)
        ):
            found = RESULT.search(output)
            counts = [int(count) for count in found.groups()] if found else [0, 1, 0]
            totals = [total + count for total, count in zip(totals, counts, strict=True)]
            print(f"{seconds:7.2f} s  {name}: {counts[0]} passed", flush=True)
            if counts[1] or counts[2]:
                print(output, flush=True)
            for line in output.splitlines():
                if line.startswith("known red: "):
                    print(line, flush=True)
    print(f"{totals[0]} passed, {totals[1]} failed, {totals[2]} skipped")
    return 1 if totals[1] or not totals[0] else 0


def run_module(name: str) -> tuple[str, float, str]:
    """Runs one test module in a process of its own.

    Args:
        name: Name of the module.

    Returns:
        The name, the seconds that it took, and what the process printed.
    """
    started = time.monotonic()
    command = [sys.executable, __file__, name]
    done = subprocess.run(command, capture_output=True, text=True, errors="replace", check=False)
    return name, time.monotonic() - started, done.stdout + done.stderr


def main() -> int:
    """Runs the tests named on the command line, or all of them.

    Returns:
        0 when every test outside KNOWN-RED.txt passed, otherwise 1.
    """
    if len(sys.argv) > 1:
        return run_here(sys.argv[1:])
    return run_modules(max(1, (os.cpu_count() or 2) // 2))


if __name__ == "__main__":
    sys.exit(main())
