"""Reports the state of the fleet as this instance sees it."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from sapphireledge.operator.messages import (
    BackendStatus,
    EntryStatus,
    RankStatus,
    Status,
    WorkspaceStatus,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from sapphireledge.core.admission import UsageLedger
    from sapphireledge.core.routing import BackendState, BackendView
    from sapphireledge.entry.entry_parts import EntryParts

__all__ = ["StatusReporter"]


class StatusReporter:
    """Builds the status messages of the operator interface."""

    def __init__(
        self,
        parts: EntryParts,
        view: BackendView,
        ledger: UsageLedger,
        is_platform_reachable: Callable[[], bool],
    ) -> None:
        """Creates the reporter.

        Args:
            parts: Components of the instance.
            view: State of the backend servers.
            ledger: Token usage of the workspaces.
            is_platform_reachable: Whether calls to the platform succeed.
        """
        self._parts = parts
        self._view = view
        self._ledger = ledger
        self._is_platform_reachable = is_platform_reachable

    def status(self) -> Any:
        """Builds the complete status.

        Returns:
            A Status message.
        """
        now = time.monotonic()
        return Status(
            entries=self.entries(),
            backends=[_backend_status(now, state) for state in self._view.states()],
            ranks=self._rank_statuses(),
            workspaces=self._workspace_statuses(now),
            platform_reachable=self._is_platform_reachable(),
        )

    def entries(self) -> list[Any]:
        """Builds the status of every known entry instance, starting with this one.

        Returns:
            EntryStatus messages.
        """
        cfg, config, pool = self._parts.cfg, self._parts.config, self._parts.ctx.pool
        mesh = self._parts.mesh
        local = EntryStatus(
            instance=cfg.instance,
            data_centre=cfg.data_centre,
            region=cfg.region,
            state=self._parts.lifecycle.state,
            config_version=config.applied_version,
            highest_version=max(config.highest_version, mesh.highest_version),
            reachable=True,
            requests_running=pool.running,
            requests_queued=pool.queued,
        )
        statuses = {status.instance: status for status in mesh.statuses}
        rows = [local]
        for member in mesh.members:
            if member.name == cfg.instance:
                continue
            status = statuses.get(member.name)
            rows.append(
                EntryStatus(
                    instance=member.name,
                    data_centre=member.data_centre,
                    region=member.region,
                    state=str(status.state) if status is not None else "unknown",
                    config_version=status.config_version if status is not None else 0,
                    highest_version=status.highest_version if status is not None else 0,
                    reachable=mesh.is_reachable(member.name),
                    requests_running=status.running if status is not None else 0,
                    requests_queued=status.queued if status is not None else 0,
                )
            )
        return rows

    def _rank_statuses(self) -> list[Any]:
        """Builds the status of each declared rank, summed over all schedulers."""
        running: dict[str, int] = {name: 0 for name in self._parts.config.ranks}
        queued = dict(running)
        for scheduler in self._parts.ctx.pool.schedulers():
            for load in scheduler.loads():
                running[load.rank] = running.get(load.rank, 0) + load.running
                queued[load.rank] = queued.get(load.rank, 0) + load.queued
        totals = self._parts.ctx.totals
        ranks = self._parts.config.ranks.values()
        return [
            RankStatus(
                name=rank.name,
                running=running[rank.name],
                queued=queued[rank.name],
                tokens=totals.tokens(rank.name),
                refused=totals.refused(rank.name),
            )
            for rank in sorted(ranks, key=lambda rank: rank.order)
        ]

    def _workspace_statuses(self, now: float) -> list[Any]:
        """Builds the status of the declared workspaces with recorded usage."""
        used = set(self._ledger.workspaces())
        return [
            WorkspaceStatus(
                name=workspace.name,
                weight=workspace.weight,
                usage=self._ledger.usage(now, workspace.name),
            )
            for workspace in self._parts.config.workspaces.values()
            if workspace.name in used
        ]


def _backend_status(now: float, state: BackendState) -> Any:
    """Builds the status of one backend server; the report age is -1 without a load report."""
    if state.leaving:
        condition = "leaving"
    elif state.unreachable_since is not None:
        condition = "unreachable"
    else:
        condition = "live"
    report = state.report
    models = report.models if report is not None else ()
    return BackendStatus(
        name=state.instance.name,
        data_centre=state.instance.data_centre,
        role=report.role if report is not None else state.instance.role,
        model=",".join(m.model for m in models),
        version=",".join(m.version for m in models),
        state=condition,
        running=state.load,
        slots=state.slots,
        report_age=now - report.as_of if report is not None else -1.0,
    )
