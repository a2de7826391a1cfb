"""Components of the instance that a generation uses."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import structlog

from sapphireledge.entry.rank_totals import RankTotals
from sapphireledge.telemetry import LogEvent

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from sapphireledge.core.replay import EventLog
    from sapphireledge.entry.backend_pool import BackendPool
    from sapphireledge.peers import AnswerCopies
    from sapphireledge.settings import Settings
    from sapphireledge.telemetry import Metrics, Tracing

__all__ = ["AnswerContext"]


@dataclass(frozen=True)
class AnswerContext:
    """Components of the instance that a generation uses."""

    cfg: Settings
    """Settings of the instance."""

    pool: BackendPool
    """Admission and routing to backend servers."""

    copies: AnswerCopies
    """Copies of running answers at the partner instance."""

    events: EventLog
    """Event log of requests."""

    metrics: Metrics
    """Metrics of the instance."""

    tracing: Tracing
    """Trace spans of the instance."""

    totals: RankTotals = field(default_factory=RankTotals)
    """Token and refusal counts per rank."""

    tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    """Background tasks, which may outlive the answer that started them."""

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Runs a coroutine in the background and logs its failure.

        Args:
            work: Coroutine whose result is not needed.
        """
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        """Logs the exception of a failed task."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            structlog.get_logger().error(LogEvent.INTERNAL_ERROR, exc_info=task.exception())
