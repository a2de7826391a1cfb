"""Tests of the registry of an instance's answers."""

from __future__ import annotations

import tracemalloc
import unittest
from pathlib import Path

from starlette.datastructures import Headers

from sapphireledge.entry.answer_registry import AnswerRegistry
from sapphireledge.entry.parse_request import parse_request
from sapphireledge.settings import load_settings

EXAMPLE = Path(__file__).parent.parent / "examples" / "rinks" / "odense-a-1.json"
BODY = b'{"model":"m","prompt":"x","max_tokens":512}'


class Ignored:
    """Stands in for components that keep nothing of an answer."""

    def __getattr__(self, name):
        return self

    def __call__(self, *args, **kwargs):
        return None


class AnswerRegistryTest(unittest.TestCase):
    """Guards against kept answers that take more memory than is counted."""

    def keep_answers(self, pieces, count=400):
        """Keeps answers without readers; returns the memory and the counted bytes of each."""
        ctx = Ignored()
        ctx.cfg = load_settings(EXAMPLE)
        registry = AnswerRegistry(ctx)
        ctx.events = Ignored()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before, _ = tracemalloc.get_traced_memory()
        for number in range(count):
            headers = Headers({"x-request-id": f"r{pieces}-{number}"})
            req = parse_request(headers, BODY, False, "default", ctx.cfg.callers)
            words = tuple(f" word{i}x{number}" for i in range(pieces))
            runner = registry._create_runner(req, None, 1, "v", words, 0)
            runner.answer.readers = 1
            runner.answer.end = "stop"
            registry.detach(runner)
        after, _ = tracemalloc.get_traced_memory()
        return (after - before) / count, registry._unread_bytes / count

    def test_kept_answers_count_their_memory(self):
        for pieces in (0, 512):
            with self.subTest(pieces=pieces):
                taken, counted = self.keep_answers(pieces)
                self.assertLess(taken, counted * 1.1)


if __name__ == "__main__":
    unittest.main()
