"""Planning of the orders that bring engines to the declared state."""

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
"""Actions that read from the weight store and count towards its rate limit."""

DISRUPTIVE_ACTIONS = frozenset({OrderAction.LOAD_MODEL, OrderAction.SET_ROLE})
"""Actions during which an engine does not count as ready."""

REPORT_DELAY = 5.0
"""Seconds after the timeout of an order during which reports may not show its effect yet."""


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Result of one reconciliation."""

    orders: tuple[Order, ...] = ()
    """Orders to send now, at most one per engine."""

    blocked: tuple[str, ...] = ()
    """Descriptions of the steps that have to wait, with the reason."""


@dataclass(slots=True)
class _DeploymentGroup:
    """Engines assigned to one deployment."""

    deployment: Deployment
    engines: list[EngineState] = field(default_factory=list)

    @property
    def target(self) -> ModelVersion:
        """The declared model version."""
        return ModelVersion(self.deployment.model, self.deployment.version)


class FleetPlanner:
    """Reconciles engine reports with the declared deployments.

    Orders are idempotent, so repeating one is safe.
    """

    def __init__(self, cfg: FleetSettings, load_limiter: LoadRateLimiter):
        self._cfg = cfg
        self._load_limiter = load_limiter
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
            deployments: The declared deployments; one that declares 0 engines gets no orders.
            engines: Reports of the live engines of the data centre, excluding leaving ones.
            demand: Ready engines that each deployment needs to meet its rank targets at the current
                load.

        Returns:
            The orders to send, and the steps that have to wait.
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
        """Records a sent order, so that it is not repeated before a report can show its effect.

        Args:
            now: Monotonic time in seconds.
            order: The order.
        """
        self._sent[order.engine] = now, order

    def on_rejected(self, order: Order) -> None:
        """Records that the engine rejected an order, so that the next plan can repeat it.

        Args:
            order: The order.
        """
        self._sent.pop(order.engine, None)

    def _drop_stale(self, now: float, reports: Mapping[str, EngineState]) -> None:
        """Drops orders that took effect or are overdue, and the state of engines that are gone."""
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
        """Plans the orders for the engines of one deployment."""
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
                blocked.append(
                    f"{declared.name}: {engine.name} must stay ready to meet min_ready or demand"
                )
                continue
            if order.action in LOAD_ACTIONS and not self._load_limiter.try_acquire(now):
                blocked.append(f"{declared.name}: {engine.name} is waiting for the load rate limit")
                continue
            spare -= is_disruptive
            orders.append(order)

    def _is_ready(self, engine: EngineState, group: _DeploymentGroup) -> bool:
        """Whether an engine serves the deployment in its role, without a load or order pending."""
        serves = any(loaded.model == group.deployment.model for loaded in engine.models)
        is_settled = not engine.loading and engine.name not in self._sent
        return serves and is_settled and engine.role == group.deployment.role

    def _next_order(self, engine: EngineState, group: _DeploymentGroup) -> Order | None:
        """Determines the next order that brings an engine towards the declared state."""
        declared, target = group.deployment, group.target
        if engine.name in self._sent or engine.loading:
            return None
        declared_state = (declared.role, target)
        is_correction = self._converged.get(engine.name) == declared_state
        base = Order(
            engine.name,
            OrderAction.SET_ROLE,
            checks_fencing=declared.checks_fencing,
            is_correction=is_correction,
        )
        if engine.role != declared.role:
            return replace(base, role=declared.role)
        if target not in engine.models:
            return _with_model(base, OrderAction.LOAD_MODEL, target)
        for adapter in sorted(set(declared.adapters) - engine.adapters):
            return replace(base, action=OrderAction.LOAD_ADAPTER, adapter=adapter)
        for loaded in sorted(engine.models - {target}):
            if not _must_keep(loaded, group):
                return _with_model(base, OrderAction.UNLOAD_MODEL, loaded)
        for adapter in sorted(engine.adapters - set(declared.adapters)):
            return replace(base, action=OrderAction.UNLOAD_ADAPTER, adapter=adapter)
        if engine.models == {target}:
            self._converged[engine.name] = declared_state
        return None

    def _plan_surplus(
        self,
        groups: list[_DeploymentGroup],
        reports: Mapping[str, EngineState],
        orders: list[Order],
    ) -> None:
        """Plans unloads from unassigned engines once the deployment of the model is complete."""
        assigned = {engine.name for group in groups for engine in group.engines}
        complete = {group.deployment.model: group for group in groups if self._is_complete(group)}
        for name in sorted(reports.keys() - assigned - self._sent.keys()):
            engine = reports[name]
            for loaded in sorted(engine.models - engine.running):
                group = complete.get(loaded.model)
                if group is not None and not engine.loading:
                    base = Order(
                        name,
                        OrderAction.UNLOAD_MODEL,
                        checks_fencing=group.deployment.checks_fencing,
                    )
                    orders.append(_with_model(base, OrderAction.UNLOAD_MODEL, loaded))
                    break

    def _is_complete(self, group: _DeploymentGroup) -> bool:
        """Whether the declared number of engines are ready and serve the declared version."""
        serving = sum(
            group.target in engine.models and self._is_ready(engine, group)
            for engine in group.engines
        )
        return serving >= group.deployment.engines


def choose_serving_version(deployment: Deployment, engines: Iterable[EngineState]) -> str:
    """Chooses the version that new requests use during a version change.

    Args:
        deployment: The declaration.
        engines: Reports of the live engines.

    Returns:
        The declared version once the declared share (`min_ready`) of the engines has loaded it or
        no engine has another one; until then, the other version that most engines have loaded.
    """
    counts: dict[str, int] = {}
    for engine in engines:
        for loaded in engine.models:
            if loaded.model == deployment.model and engine.role == deployment.role:
                counts[loaded.version] = counts.get(loaded.version, 0) + 1
    # Without a declared number of engines, operators change versions by individual orders.
    engine_count = deployment.engines or sum(counts.values())
    enough = max(1, math.ceil(deployment.min_ready * engine_count))
    others = {version for version in counts if version != deployment.version}
    if counts.get(deployment.version, 0) >= enough or not others:
        return deployment.version
    return max(others, key=lambda version: (counts[version], version))


def _assign_engines(
    deployments: Iterable[Deployment], reports: Mapping[str, EngineState]
) -> list[_DeploymentGroup]:
    """Assigns engines: those that serve a deployment stay with it, empty ones fill the gaps."""
    groups = [
        _DeploymentGroup(entry) for entry in sorted(deployments, key=lambda entry: entry.name)
    ]
    free = dict(sorted(reports.items()))
    for group in groups:
        keep = sorted(
            (engine for engine in free.values() if _serves(engine, group)),
            key=lambda engine: (group.target not in engine.models, engine.name),
        )
        for engine in keep[: group.deployment.engines]:
            group.engines.append(free.pop(engine.name))
    for group in groups:
        empty = sorted(
            (engine for engine in free.values() if not engine.models and not engine.loading),
            key=lambda engine: (engine.role != group.deployment.role, engine.name),
        )
        for engine in empty[: group.deployment.engines - len(group.engines)]:
            group.engines.append(free.pop(engine.name))
    return groups


def _serves(engine: EngineState, group: _DeploymentGroup) -> bool:
    """Whether an engine has loaded or is loading any version of the deployment's model."""
    return any(
        version.model == group.deployment.model for version in engine.models | engine.loading
    )


def _must_keep(loaded: ModelVersion, group: _DeploymentGroup) -> bool:
    """Whether an engine must keep a version other than the declared one.

    An old version of the model stays loaded until every engine has the new one, and while any
    engine still runs a request on it: that request can only be resumed on the same version.
    """
    if loaded.model != group.deployment.model:
        return any(loaded in engine.running for engine in group.engines)
    all_upgraded = all(group.target in engine.models for engine in group.engines)
    return not all_upgraded or any(loaded in engine.running for engine in group.engines)


def _with_model(base: Order, action: OrderAction, model_version: ModelVersion) -> Order:
    """Copies an order with another action and a model version."""
    return replace(base, action=action, model=model_version.model, version=model_version.version)


def _has_effect(order: Order, report: EngineState) -> bool:
    """Whether a report shows that an order took effect."""
    ordered = ModelVersion(order.model, order.version)
    match order.action:
        case OrderAction.LOAD_MODEL:
            return ordered in report.models or ordered in report.loading
        case OrderAction.UNLOAD_MODEL:
            return ordered not in report.models
        case OrderAction.LOAD_ADAPTER:
            return order.adapter in report.adapters
        case OrderAction.UNLOAD_ADAPTER:
            return order.adapter not in report.adapters
        case OrderAction.SET_ROLE:
            return order.role == report.role
