"""Ranks, fairness, queueing and retries."""

from __future__ import annotations

from sapphireledge.core.admission.admission_queue import AdmissionQueue
from sapphireledge.core.admission.admitted import Admitted
from sapphireledge.core.admission.backoff_delay import backoff_delay
from sapphireledge.core.admission.capacity import Capacity
from sapphireledge.core.admission.divide_capacity import divide_capacity
from sapphireledge.core.admission.dropped_work import DroppedWork
from sapphireledge.core.admission.estimate_cost import estimate_cost
from sapphireledge.core.admission.output_estimator import OutputEstimator
from sapphireledge.core.admission.queued_work import QueuedWork
from sapphireledge.core.admission.rank_load import RankLoad
from sapphireledge.core.admission.rank_scheduler import RankScheduler
from sapphireledge.core.admission.retry_budget import RetryBudget
from sapphireledge.core.admission.usage_changes import UsageChanges
from sapphireledge.core.admission.usage_ledger import UsageLedger

__all__ = [
    "AdmissionQueue",
    "Admitted",
    "Capacity",
    "DroppedWork",
    "OutputEstimator",
    "QueuedWork",
    "RankLoad",
    "RankScheduler",
    "RetryBudget",
    "UsageChanges",
    "UsageLedger",
    "backoff_delay",
    "divide_capacity",
    "estimate_cost",
]
