"""Tests that the reference pages follow the code."""

from __future__ import annotations

import unittest
from pathlib import Path

from sapphireledge.errors import ERROR_ANSWERS
from sapphireledge.telemetry import LogEvent, MetricName

DOCS = Path(__file__).resolve().parent.parent / "docs"


class ReferencePagesTest(unittest.TestCase):
    """Guards against a kind, metric or log event that is missing from its page."""

    def test_error_table_has_each_kind_with_its_answer(self):
        text = (DOCS / "reference-errors.md").read_text(encoding="utf-8")
        for kind, answer in ERROR_ANSWERS.items():
            (row,) = [line for line in text.splitlines() if line.startswith(f"| `{kind}` |")]
            cells = [cell.strip() for cell in row.split("|")]
            self.assertEqual(cells[3:5], [str(answer.http_status), str(answer.exit_code)], kind)

    def test_metrics_page_has_each_name(self):
        text = (DOCS / "reference-metrics.md").read_text(encoding="utf-8")
        for name in (*MetricName, *LogEvent):
            self.assertIn(f"| `{name}` |", text)
