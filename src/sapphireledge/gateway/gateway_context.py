"""What the parts of a gateway share."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.gateway.backend_registry import BackendRegistry
from sapphireledge.gateway.connection_pool import ConnectionPool
from sapphireledge.gateway.engine_report_client import EngineReportClient
from sapphireledge.gateway.outcome import Outcome, OutcomeKind
from sapphireledge.gateway.retry_allowance import RetryAllowance

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge.gateway.dialect import Dialect
    from sapphireledge.gateway.gateway_settings import GatewaySettings
    from sapphireledge.gateway.request_journal import RequestJournal

__all__ = ["GatewayContext"]


class GatewayContext:
    """Settings, registry, connections and budgets of one instance."""

    def __init__(self, cfg: GatewaySettings, dialect: Dialect, journal: RequestJournal) -> None:
        self.cfg = cfg
        """Settings."""

        self.dialect = dialect
        """Translation of headers."""

        self.journal = journal
        """Log lines and metrics of requests."""

        self.registry = BackendRegistry(cfg.data_centre)
        """Backend servers."""

        self.count_instances: Callable[[], int] = lambda: 1
        """Number of instances that share retry budgets and connections."""

        self.pool = ConnectionPool(lambda: self.count_instances())
        """Connections to backend servers."""

        self.report_client = EngineReportClient(self.pool, dialect)
        """Reports of engines."""

        self._allowances: dict[str, RetryAllowance] = {}

    def retry_allowance(self, service: str) -> RetryAllowance:
        """Finds the retry budget of a service.

        Args:
            service: Name of the service.

        Returns:
            The budget of this instance.
        """
        found = self._allowances.get(service)
        if found is None:
            found = RetryAllowance(self.cfg, lambda: self.count_instances())
            self._allowances[service] = found
        return found

    def record_outcome(self, outcome: Outcome) -> None:
        """Takes an outcome into account for later choices.

        Args:
            outcome: Outcome of one send.
        """
        state = self.registry.state(outcome.server.server_id)
        if state is None:
            return
        now = asyncio.get_running_loop().time()
        if outcome.kind is OutcomeKind.ANSWERED:
            state.on_success()
        elif outcome.kind is OutcomeKind.OUT_OF_TIME:
            # The time of some requests is shorter than their work; silence shows nothing then.
            return
        elif outcome.is_misdirected:
            self.registry.remove(outcome.server.server_id)
            self.pool.drop(outcome.server.server_id)
        elif outcome.kind is OutcomeKind.LOST or outcome.head is None:
            self.registry.on_unreachable(now, outcome.server)
            self.pool.drop(outcome.server.server_id)
        else:
            state.on_failure(now, suspend=False)
