"""Tests that the reference pages match the code."""

from __future__ import annotations

import unittest
from pathlib import Path

from sapphireledge.errors import ERROR_ANSWERS
from sapphireledge.telemetry import LogEvent, MetricName

ROOT = Path(__file__).resolve().parent.parent
DOCS = ROOT / "docs"
SOURCE = ROOT / "src" / "sapphireledge"


class ReferencePagesTest(unittest.TestCase):
    """Guards against an error kind, metric or log event that is missing from its page."""

    def test_error_table_has_each_kind_with_its_answer(self):
        text = (DOCS / "reference-errors.md").read_text(encoding="utf-8")
        for kind, answer in ERROR_ANSWERS.items():
            (row,) = [line for line in text.splitlines() if line.startswith(f"| `{kind}` |")]
            cells = [cell.strip() for cell in row.split("|")]
            self.assertEqual(cells[3:5], [str(answer.http_status), str(answer.exit_code)], kind)

    def test_each_log_event_and_metric_is_used(self):
        """Guards against documented names that no code emits."""
        sources = "\n".join(
            path.read_text(encoding="utf-8")
            for path in SOURCE.rglob("*.py")
            if path.name not in ("log_event.py", "metric_name.py")
        )
        for listed in (LogEvent, MetricName):
            for name in listed:
                self.assertIn(f"{listed.__name__}.{name.name}", sources)

    def test_metrics_page_has_each_name(self):
        text = (DOCS / "reference-metrics.md").read_text(encoding="utf-8")
        for name in (*MetricName, *LogEvent):
            self.assertIn(f"| `{name}` |", text)
