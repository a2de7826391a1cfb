"""Summary, tables and plots of an experiment."""

from __future__ import annotations

from sapphireledge_experiment.report.paired_difference import PairedDifference, compare_pairs
from sapphireledge_experiment.report.policy_summary import PolicySummary, summarize
from sapphireledge_experiment.report.write_report import write_report

__all__ = ["PairedDifference", "PolicySummary", "compare_pairs", "summarize", "write_report"]
