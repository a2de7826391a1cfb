"""Applies the counts that the instances report about roll-outs."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from sapphireledge.core.rollout import RolloutReport
from sapphireledge.errors import Failure
from sapphireledge.gateway import GatewayEvent
from sapphireledge.platform.rollout_listener import to_loop_time

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sapphireledge.feed import StoredEntry
    from sapphireledge.gateway import RolloutGuard

__all__ = ["RolloutReportListener"]


class RolloutReportListener:
    """Implements `KindListener` for the reports of instances about roll-outs.

    A removed report stays known until its order ends.
    """

    def __init__(self, rollouts: RolloutGuard) -> None:
        """Creates the listener.

        Args:
            rollouts: Receiver of the reports.
        """
        self._rollouts = rollouts
        self._rejected: set[str] = set()
        self._log = structlog.get_logger()

    def replace_all(self, entries: Sequence[StoredEntry]) -> None:
        """Applies a full listing; see `KindListener.replace_all`."""
        self.apply(entries)

    def apply(self, entries: Sequence[StoredEntry]) -> None:
        """Applies changes; see `KindListener.apply`."""
        for entry in entries:
            if not entry.removed:
                self._rollouts.on_reports(entry.name, self._decode(entry))

    def confirm(self, as_of: float) -> None:
        """Passes on how recent the reports are."""
        self._rollouts.on_reports_confirmed(to_loop_time(as_of))

    def on_store_recovered(self, outage: float) -> None:
        """Does nothing: reports do not expire in the store."""

    def on_store_restored(self) -> None:
        """Does nothing: instances write their reports again."""

    def _decode(self, entry: StoredEntry) -> list[RolloutReport]:
        """Decodes the reports of an instance; those that are odd are left out."""
        rows = entry.spec if isinstance(entry.spec, list) else [entry.spec]
        reports = []
        for row in rows:
            report = RolloutReport.from_builtins(row)
            if isinstance(report, RolloutReport):
                reports.append(report)
            else:
                self._reject(entry.name, report)
        return reports

    def _reject(self, name: str, failure: Failure) -> None:
        """Logs the first report of an instance that cannot be decoded."""
        if name not in self._rejected:
            self._rejected.add(name)
            self._log.warning(
                GatewayEvent.ROLLOUT_REPORT_REJECTED, report=name, reason=failure.reason
            )
