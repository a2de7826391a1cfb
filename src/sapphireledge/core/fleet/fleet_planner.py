"""Orders that lead from the reported to the declared state."""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from sapphireledge.core.fleet.engine_state import ModelVersion
from sapphireledge.core.fleet.order import Order, OrderAction

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from sapphireledge.core.declarations import Deployment
    from sapphireledge.core.fleet.engine_state import EngineState
    from sapphireledge.core.fleet.load_rate_limiter import LoadRateLimiter
    from sapphireledge.settings import FleetSettings

__all__ = ["FleetPlan", "FleetPlanner", "choose_serving_version"]

LOAD_ACTIONS = frozenset({OrderAction.LOAD_MODEL, OrderAction.LOAD_ADAPTER})
"""Actions that read from the weight store."""

DISRUPTIVE_ACTIONS = frozenset({OrderAction.LOAD_MODEL, OrderAction.SET_ROLE})
"""Actions during which an engine does not count as ready."""

REPORT_DELAY = 5.0
"""Seconds after an order in which a report can still lack its effect."""


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Result of one comparison."""

    orders: tuple[Order, ...] = ()
    """Orders to send now, at most one for each engine."""

    blocked: tuple[str, ...] = ()
    """What has to wait, and why."""


@dataclass(slots=True)
class _DeploymentGroup:
    """Engines of one deployment."""

    deployment: Deployment
    engines: list[EngineState] = field(default_factory=list)

    @property
    def wanted(self) -> ModelVersion:
        """The declared version."""
        return ModelVersion(self.deployment.model, self.deployment.version)


class FleetPlanner:
    """Compares declarations with reports. Every order sets a state, so that repeating is safe."""

    def __init__(self, cfg: FleetSettings, budget: LoadRateLimiter):
        self._cfg = cfg
        self._budget = budget
        self._sent: dict[str, tuple[float, Order]] = {}
        self._converged: dict[str, tuple[str, ModelVersion]] = {}

    def plan(
        self,
        now: float,
        deployments: Iterable[Deployment],
        engines: Iterable[EngineState],
        demand: Mapping[str, float],
    ) -> FleetPlan:
        """Decides the next orders.

        Args:
            now: Monotonic time in seconds.
            deployments: What is declared; one with no engines wanted gets no orders.
            engines: Reports of the live engines of the data centre, leaving ones excluded.
            demand: Ready engines that each deployment needs for its ranks at the current load.

        Returns:
            The orders and what has to wait.
        """
        reports = {engine.name: engine for engine in engines}
        self._drop_stale(now, reports)
        groups = _assign_engines([entry for entry in deployments if entry.engines], reports)
        orders: list[Order] = []
        blocked: list[str] = []
        for group in groups:
            self._plan_group(now, group, demand, orders, blocked)
        self._plan_surplus(groups, reports, orders)
        return FleetPlan(tuple(orders), tuple(blocked))

    def on_sent(self, now: float, order: Order) -> None:
        """Notes an order, so that it is not repeated before a report can show its effect.

        Args:
            now: Monotonic time in seconds.
            order: The order.
        """
        self._sent[order.engine] = now, order

    def on_failed(self, order: Order) -> None:
        """Notes that an order was refused, so that the next comparison can repeat it.

        Args:
            order: The order.
        """
        self._sent.pop(order.engine, None)

    def _drop_stale(self, now: float, reports: Mapping[str, EngineState]) -> None:
        """Drops orders whose effect is reported or overdue, and engines that are gone."""
        wait = self._cfg.order_timeout + REPORT_DELAY
        for name, (sent, order) in list(self._sent.items()):
            report = reports.get(name)
            if report is None or now >= sent + wait or _has_effect(order, report):
                del self._sent[name]
        for name in self._converged.keys() - reports.keys():
            del self._converged[name]

    def _plan_group(
        self,
        now: float,
        group: _DeploymentGroup,
        demand: Mapping[str, float],
        orders: list[Order],
        blocked: list[str],
    ) -> None:
        """Plans the engines of one deployment."""
        declared = group.deployment
        ready = {engine.name for engine in group.engines if self._is_ready(engine, group)}
        needed = max(declared.min_ready * declared.engines, demand.get(declared.name, 0.0))
        spare = len(ready) - math.ceil(needed)
        if len(group.engines) < declared.engines:
            missing = declared.engines - len(group.engines)
            blocked.append(f"{declared.name}: {missing} engines are missing")
        for engine in group.engines:
            order = self._next_order(engine, group)
            if order is None:
                continue
            is_disruptive = engine.name in ready and order.action in DISRUPTIVE_ACTIONS
            if is_disruptive and spare <= 0:
                blocked.append(f"{declared.name}: {engine.name} must stay ready")
                continue
            if order.action in LOAD_ACTIONS and not self._budget.try_acquire(now):
                blocked.append(f"{declared.name}: {engine.name} waits for the weight store")
                continue
            spare -= is_disruptive
            orders.append(order)

    def _is_ready(self, engine: EngineState, group: _DeploymentGroup) -> bool:
        """Whether an engine serves the deployment and no order disturbs it."""
        serves = any(held.model == group.deployment.model for held in engine.models)
        is_idle = not engine.loading and engine.name not in self._sent
        return serves and is_idle and engine.role == group.deployment.role

    def _next_order(self, engine: EngineState, group: _DeploymentGroup) -> Order | None:
        """Finds the next step of one engine towards the declared state."""
        declared, wanted = group.deployment, group.wanted
        if engine.name in self._sent or engine.loading:
            return None
        goal = (declared.role, wanted)
        is_correction = self._converged.get(engine.name) == goal
        base = Order(
            engine.name,
            OrderAction.SET_ROLE,
            checks_fencing=declared.checks_fencing,
            is_correction=is_correction,
        )
        if engine.role != declared.role:
            return replace(base, role=declared.role)
        if wanted not in engine.models:
            return _with_model(base, OrderAction.LOAD_MODEL, wanted)
        for adapter in sorted(set(declared.adapters) - engine.adapters):
            return replace(base, action=OrderAction.LOAD_ADAPTER, adapter=adapter)
        for held in sorted(engine.models - {wanted}):
            if not _must_keep(held, group):
                return _with_model(base, OrderAction.UNLOAD_MODEL, held)
        for adapter in sorted(engine.adapters - set(declared.adapters)):
            return replace(base, action=OrderAction.UNLOAD_ADAPTER, adapter=adapter)
        if engine.models == {wanted}:
            self._converged[engine.name] = goal
        return None

    def _plan_surplus(
        self,
        groups: list[_DeploymentGroup],
        reports: Mapping[str, EngineState],
        orders: list[Order],
    ) -> None:
        """Frees engines beyond the wanted number once the deployment is complete."""
        assigned = {engine.name for group in groups for engine in group.engines}
        complete = {group.deployment.model: group for group in groups if self._is_complete(group)}
        for name in sorted(reports.keys() - assigned - self._sent.keys()):
            engine = reports[name]
            for held in sorted(engine.models - engine.running):
                group = complete.get(held.model)
                if group is not None and not engine.loading:
                    base = Order(
                        name,
                        OrderAction.UNLOAD_MODEL,
                        checks_fencing=group.deployment.checks_fencing,
                    )
                    orders.append(_with_model(base, OrderAction.UNLOAD_MODEL, held))
                    break

    def _is_complete(self, group: _DeploymentGroup) -> bool:
        """Whether every wanted engine serves the declared version."""
        serving = sum(
            group.wanted in engine.models and self._is_ready(engine, group)
            for engine in group.engines
        )
        return serving >= group.deployment.engines


def choose_serving_version(deployment: Deployment, engines: Iterable[EngineState]) -> str:
    """Chooses the version that new requests use while a version is moved.

    Args:
        deployment: The declaration.
        engines: Reports of the live engines.

    Returns:
        The declared version once the declared share of the engines holds it or no engine holds
        another one, until then the version that most engines hold.
    """
    counts: dict[str, int] = {}
    for engine in engines:
        for held in engine.models:
            if held.model == deployment.model and engine.role == deployment.role:
                counts[held.version] = counts.get(held.version, 0) + 1
    # Without a declared number of engines, operators move versions themselves.
    wanted = deployment.engines or sum(counts.values())
    enough = max(1, math.ceil(deployment.min_ready * wanted))
    others = {version for version in counts if version != deployment.version}
    if counts.get(deployment.version, 0) >= enough or not others:
        return deployment.version
    return max(others, key=lambda version: (counts[version], version))


def _assign_engines(
    deployments: Iterable[Deployment], reports: Mapping[str, EngineState]
) -> list[_DeploymentGroup]:
    """Divides the engines: those that serve a deployment stay with it, idle ones fill the gaps."""
    groups = [
        _DeploymentGroup(entry) for entry in sorted(deployments, key=lambda entry: entry.name)
    ]
    free = dict(sorted(reports.items()))
    for group in groups:
        keep = sorted(
            (engine for engine in free.values() if _serves(engine, group)),
            key=lambda engine: (group.wanted not in engine.models, engine.name),
        )
        for engine in keep[: group.deployment.engines]:
            group.engines.append(free.pop(engine.name))
    for group in groups:
        idle = sorted(
            (engine for engine in free.values() if not engine.models and not engine.loading),
            key=lambda engine: (engine.role != group.deployment.role, engine.name),
        )
        for engine in idle[: group.deployment.engines - len(group.engines)]:
            group.engines.append(free.pop(engine.name))
    return groups


def _serves(engine: EngineState, group: _DeploymentGroup) -> bool:
    """Whether an engine holds or loads any version of the deployment's model."""
    return any(held.model == group.deployment.model for held in engine.models | engine.loading)


def _must_keep(held: ModelVersion, group: _DeploymentGroup) -> bool:
    """Whether an old version must stay.

    It stays until every engine has the new one, and while any engine still runs a request on it:
    that request can only be resumed on the same version.
    """
    if held.model != group.deployment.model:
        return any(held in engine.running for engine in group.engines)
    moved = all(group.wanted in engine.models for engine in group.engines)
    return not moved or any(held in engine.running for engine in group.engines)


def _with_model(base: Order, action: OrderAction, held: ModelVersion) -> Order:
    """Turns an order into one about a model version."""
    return replace(base, action=action, model=held.model, version=held.version)


def _has_effect(order: Order, report: EngineState) -> bool:
    """Whether a report shows the effect of an order."""
    held = ModelVersion(order.model, order.version)
    match order.action:
        case OrderAction.LOAD_MODEL:
            return held in report.models or held in report.loading
        case OrderAction.UNLOAD_MODEL:
            return held not in report.models
        case OrderAction.LOAD_ADAPTER:
            return order.adapter in report.adapters
        case OrderAction.UNLOAD_ADAPTER:
            return order.adapter not in report.adapters
        case OrderAction.SET_ROLE:
            return order.role == report.role
