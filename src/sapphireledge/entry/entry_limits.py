"""Limits of an entry instance on connections that others open to it."""

from __future__ import annotations

import resource
from dataclasses import replace
from time import monotonic
from typing import TYPE_CHECKING

import structlog

from sapphireledge.limits import RESPONSE_BUDGET, CallerBudgets, CallerLedger, LimitLog
from sapphireledge.rpc import ConnectionLedgers
from sapphireledge.telemetry import LogEvent, MetricName

if TYPE_CHECKING:
    from sapphireledge.limits import LimitReason
    from sapphireledge.settings import MachineSettings
    from sapphireledge.telemetry import Metrics

__all__ = ["EntryLimits"]

OTHER_DESCRIPTORS = 200
"""Descriptors for files, listeners, pipes and the platform; at most half of all."""

MAX_DESCRIPTORS = 1_048_576
"""Descriptors counted at most, also if the process may open any number."""


class EntryLimits:
    """Ledgers of the connections to an entry instance.

    Of the sockets, callers may take a quarter, peers three eighths and operators an eighth. The
    rest is for connections to backend servers, one for each caller, and to other instances.
    """

    def __init__(self, machine: MachineSettings, metrics: Metrics) -> None:
        """Creates ledgers without connections, and sets the memory for responses.

        Args:
            machine: Machine that the instance runs on.
            metrics: Metrics of the instance.
        """
        self._metrics = metrics
        self._log = structlog.get_logger()
        self._limit_log = LimitLog()
        descriptors = machine.descriptors or _own_descriptors()
        sockets = max(descriptors - OTHER_DESCRIPTORS, descriptors // 2)
        budgets = CallerBudgets(memory_bytes=machine.memory, sockets=sockets)
        callers = budgets.callers
        places = max(1, min(callers.connections, sockets // 4))
        self.callers = CallerLedger(replace(callers, connections=places), self._on_limited)
        """Ledger of the caller interface."""

        self.peers = ConnectionLedgers.of_peers(budgets, self._on_limited)
        """Ledgers of the peer interface."""

        self.operators = ConnectionLedgers.of_operators(budgets, self._on_limited)
        """Ledgers of the operator interface."""

        RESPONSE_BUDGET.resize(budgets.response_bytes)

    def _on_limited(self, reason: LimitReason) -> None:
        """Counts and logs a connection that was closed or a request that was refused."""
        self._metrics.count(MetricName.CALLERS_LIMITED, 1, reason)
        count = self._limit_log.count(monotonic(), reason)
        if count:
            self._log.warning(LogEvent.CALLERS_LIMITED, reason=reason, count=count)


def _own_descriptors() -> int:
    """Returns how many descriptors the process may open."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return MAX_DESCRIPTORS if soft == resource.RLIM_INFINITY else min(soft, MAX_DESCRIPTORS)
