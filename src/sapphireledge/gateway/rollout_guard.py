"""Keeps attempts to the versions that they may use while a version is rolled out."""

from __future__ import annotations

import asyncio
from copy import copy
from dataclasses import replace
from itertools import islice
from random import Random
from typing import TYPE_CHECKING

from sapphireledge.gateway.attempt_counting import AttemptCounting

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping, Sequence

    from sapphireledge.core.rollout import (
        RolloutLimits,
        RolloutReport,
        RolloutState,
    )
    from sapphireledge.gateway.backend_registry import BackendRegistry
    from sapphireledge.gateway.gateway_settings import GatewaySettings
    from sapphireledge.gateway.rollout_telemetry import RolloutTelemetry
    from sapphireledge.gateway.service_versions import ServiceVersions
    from sapphireledge.gateway.stored_order import StoredOrder

__all__ = ["RolloutGuard"]

TICK = 0.2
"""Seconds between two evaluations of the running orders."""

NEWS_TIME = 10.0
"""Seconds for which an order is expected after servers of a version that is not in use appeared."""

MOVES_PER_TICK = 2
"""Streams without an event that leave the old version at once; each has its prompt read anew."""


class RolloutGuard(AttemptCounting):
    """Holds the version rules of all services; the decisions are those of `core.rollout`.

    Without limits of roll-outs in the settings, every server may be used.
    """

    def __init__(
        self, cfg: GatewaySettings, registry: BackendRegistry, telemetry: RolloutTelemetry
    ) -> None:
        """Creates a guard that knows of no order.

        Args:
            cfg: Settings of the instance.
            registry: Known backend servers.
            telemetry: Log lines and metrics.
        """
        super().__init__(registry, telemetry, is_used=cfg.rollout is not None)
        self.on_activity: Callable[[bool], None] = lambda is_active: None
        """Called with whether changes of orders and reports are expected, when that changes."""

        self.list_alive: Callable[[], Collection[str]] = tuple
        """Lists the other instances that were heard of a moment ago."""

        self.list_announced: Callable[[], Collection[str]] = tuple
        """Lists the instances of the directory, those that are gone included."""

        self.longest_answer: Callable[[str], float | None] = lambda service: None
        """Returns how many seconds answers of a service may take, None if that is not known."""

        self._limits: RolloutLimits | None = cfg.rollout
        self._instance = cfg.instance
        self._rng = Random()
        self._reports: dict[str, tuple[RolloutReport, ...]] = {}
        self._orders_confirmed_at = float("-inf")
        self._reports_confirmed_at = float("-inf")
        self._news_until = float("-inf")
        self._is_active = False
        self._begun = asyncio.Event()

    def copy_for(self, service: str, registry: BackendRegistry) -> RolloutGuard:
        """Creates a guard with the same rules, which asks another registry for free servers.

        Args:
            service: Name of the service.
            registry: Copy of the known backend servers.

        Returns:
            The guard, for choices that are not carried out.
        """
        copied = copy(self)
        copied._registry = registry
        copied._services = {
            name: versions.copy_for(registry)
            for name, versions in self._services.items()
            if name == service
        }
        return copied

    def reconfigure(self, cfg: GatewaySettings) -> None:
        """Applies changed limits to orders that begin later.

        Args:
            cfg: New settings; whether versions are rolled out at all changes with a restart only.
        """
        if self._limits is not None and cfg.rollout is not None:
            self._limits = cfg.rollout

    @property
    def is_active(self) -> bool:
        """Whether an order is running, or may be about to begin."""
        return self._is_active

    @property
    def knows_versions(self) -> bool:
        """Whether it is known which servers take requests.

        Where servers of several versions are listed, the orders say so.
        """
        has_orders = self._orders_confirmed_at > float("-inf")
        return has_orders or not any(v.held_versions for v in self._services.values())

    def on_order(self, stored: StoredOrder) -> None:
        """Takes in an order of the store or a change of its status.

        Args:
            stored: The order.
        """
        if self._limits is None:
            return
        now = asyncio.get_running_loop().time()
        versions = self._versions(stored.order.service)
        previous = versions.stored
        if previous is not None and stored.revision < previous.revision:
            return
        limits = self._limits
        longest = self.longest_answer(stored.order.service)
        if longest is not None:
            limits = replace(limits, longest_answer=min(longest, limits.longest_answer))
        begun = versions.on_order(now, stored, limits, self._instance, self._rng)
        if begun is not None:
            begun.on_reports(now, [report for known in self._reports.values() for report in known])
        self._telemetry.record_order(previous, stored, versions.version_in_use)
        self._update_activity(now)

    def on_order_removed(self, service: str) -> None:
        """Takes in that a service has no order, or one that cannot be read.

        Args:
            service: Name of the service.
        """
        versions = self._services.get(service)
        if versions is None or versions.stored is None:
            return
        now = asyncio.get_running_loop().time()
        self._telemetry.record_removed(versions.stored)
        versions.on_order_removed(now)
        self._update_activity(now)

    def on_orders_confirmed(self, now: float) -> None:
        """Takes in that all orders written before a time are known.

        Args:
            now: That time, event loop time in seconds.
        """
        self._orders_confirmed_at = max(self._orders_confirmed_at, now)

    def on_store_restored(self) -> None:
        """Takes in that the store came back from an older copy; revisions are given out again."""
        for versions in self._services.values():
            versions.on_store_restored()

    def on_reports(self, instance: str, reports: Sequence[RolloutReport]) -> None:
        """Takes in the reports of an instance.

        Args:
            instance: Name of the instance.
            reports: All of its reports, also those of other orders.
        """
        self._reports[instance] = tuple(reports)
        now = asyncio.get_running_loop().time()
        for versions in self._services.values():
            if versions.rollout is not None:
                versions.rollout.on_reports(now, reports)

    def on_reports_confirmed(self, now: float) -> None:
        """Takes in that all reports written before a time are known.

        Args:
            now: That time, event loop time in seconds.
        """
        # An instance that does not learn of another order or status must stop, too.
        self._reports_confirmed_at = max(now, self._reports_confirmed_at)
        confirmed_at = min(now, self._orders_confirmed_at)
        for versions in self._services.values():
            if versions.rollout is not None:
                versions.rollout.on_feed_confirmed(confirmed_at)

    def on_servers_changed(self) -> None:
        """Takes in that servers were added, changed or removed."""
        if self._limits is None:
            return
        now = asyncio.get_running_loop().time()
        for service in self._registry.services():
            versions = self._versions(service)
            held_before = versions.held_versions
            versions.on_servers(now)
            if versions.held_versions - held_before:
                self._news_until = now + NEWS_TIME
                self._telemetry.record_held(
                    service, versions.held_versions, versions.version_in_use
                )
        self._update_activity(now)

    def due_reports(self) -> Mapping[str, RolloutReport] | None:
        """Makes the reports of the running orders if one of them is due.

        Returns:
            The reports by service, None if none is due.
        """
        now = asyncio.get_running_loop().time()
        running = self._running()
        if not any(versions.rollout.is_report_due(now) for versions in running.values()):
            return None
        return {service: versions.rollout.report(now) for service, versions in running.items()}

    def on_reports_written(self, reports: Mapping[str, RolloutReport]) -> None:
        """Takes in that reports of this instance reached the store.

        Args:
            reports: What `due_reports` returned.
        """
        now = asyncio.get_running_loop().time()
        for service, versions in self._running().items():
            report = reports.get(service)
            if report is not None and report.order_id == versions.rollout.order.order_id:
                versions.rollout.on_report_written(now, report.sequence)

    def wanted_states(self) -> dict[str, tuple[StoredOrder, RolloutState]]:
        """Lists the statuses that this instance would write now.

        Returns:
            Order and state by service.
        """
        wanted = {}
        for service, versions in self._services.items():
            state = versions.wanted_state
            if versions.stored is not None and state is not None:
                wanted[service] = versions.stored, state
        return wanted

    async def wait_until_active(self) -> None:
        """Waits until an order is running, or may be about to begin."""
        await self._begun.wait()

    async def run(self) -> None:
        """Evaluates the running orders until the task is cancelled."""
        while True:
            await self.wait_until_active()
            self.tick()
            await self._lag.sleep(TICK)

    def tick(self) -> None:
        """Evaluates the running orders."""
        now = asyncio.get_running_loop().time()
        for service, versions in self._running().items():
            if alive := self.list_alive():
                versions.rollout.on_instances(now, alive)
            if announced := self.list_announced():
                versions.rollout.on_directory(now, announced)
            previous = versions.decision
            versions.decision = decision = versions.rollout.decide(
                now, has_choice=versions.has_choice
            )
            heard = now - min(self._orders_confirmed_at, self._reports_confirmed_at)
            order = versions.rollout.order
            self._telemetry.record_decision(service, order, previous, decision, heard)
            if decision.move_streams:
                moves = (attempt.move() for attempt in versions.movable_attempts() if attempt.move)
                # Attempts that cannot move now do not keep the others from moving.
                list(islice(filter(None, moves), MOVES_PER_TICK))
        self._update_activity(now)

    def _running(self) -> dict[str, ServiceVersions]:
        """Returns the services with a running order."""
        return {
            service: versions
            for service, versions in self._services.items()
            if versions.rollout is not None
        }

    def _update_activity(self, now: float) -> None:
        """Reports whether changes of orders and reports are expected."""
        is_active = bool(self._running() or self.wanted_states()) or now < self._news_until
        if is_active == self._is_active:
            return
        self._is_active = is_active
        if is_active:
            self._begun.set()
        else:
            self._begun.clear()
        self.on_activity(is_active)
