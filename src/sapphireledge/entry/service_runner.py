"""Calls to plain services: repeatable ones and those that run at most once."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from sapphireledge.core.admission import RetryBudget, backoff_delay
from sapphireledge.core.claims import Broken, NotSent, ReceivedKeys, ServiceOutcome
from sapphireledge.entry.claim_collector import ClaimCollector
from sapphireledge.entry.claim_runner import ClaimRunner
from sapphireledge.entry.outcome_recorder import OutcomeRecorder
from sapphireledge.entry.peer_key_voider import PeerKeyVoider
from sapphireledge.entry.service_dispatcher import ServiceDispatcher
from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.telemetry import MetricName

if TYPE_CHECKING:
    from random import Random

    from sapphireledge.backends import ConnectionPools
    from sapphireledge.core.routing import BackendView
    from sapphireledge.entry.claim_request import ClaimRequest
    from sapphireledge.entry.service_call import ServiceCall
    from sapphireledge.objects import ObjectStore
    from sapphireledge.peers import PeerMesh
    from sapphireledge.settings import Settings
    from sapphireledge.telemetry import Metrics

__all__ = ["ServiceRunner"]

MAX_ATTEMPTS = 3
"""Tries of a repeatable call."""

BACKOFF_BASE = 0.05
"""Upper limit of the first delay before a retry, in seconds."""

BACKOFF_CAP = 0.5
"""Upper limit of any delay before a retry, in seconds."""


class ServiceRunner:
    """Calls to plain services."""

    def __init__(
        self,
        cfg: Settings,
        store: ObjectStore,
        view: BackendView,
        pools: ConnectionPools,
        mesh: PeerMesh,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """Creates the runner; `run` starts its background work.

        Args:
            cfg: Settings of the instance.
            store: The platform's object API.
            view: What the instance knows about backend servers.
            pools: Connections to backend servers.
            mesh: Links to other instances.
            metrics: Metrics of the instance.
            rng: Random source of routing and jitter.
        """
        self.received_keys = ReceivedKeys(time.time(), cfg.claims)
        """Claim keys that this instance received."""
        self._metrics = metrics
        self._rng = rng
        self._retry_budget = RetryBudget(cfg.admission)
        self._dispatcher = ServiceDispatcher(cfg, view, pools, rng)
        self._recorder = OutcomeRecorder(store, cfg.platform, rng)
        self._claims = ClaimRunner(
            cfg,
            store,
            self._dispatcher,
            PeerKeyVoider(cfg.claims, mesh),
            self.received_keys,
            self._recorder,
        )
        self._mesh = mesh
        self._collector = ClaimCollector(store, cfg.claims, self._collector_position)
        self._running = 0

    @property
    def running(self) -> int:
        """Calls in flight."""
        return self._running

    async def run(self) -> None:
        """Records outcomes and collects old claims until the task is cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._recorder.run())
            group.create_task(self._collector.run())

    async def settle(self) -> None:
        """Waits until every run has ended and its outcome is recorded."""
        await self._claims.settle()

    async def call_once(self, req: ClaimRequest) -> ServiceOutcome | Failure:
        """Runs a call at most once.

        Args:
            req: The call.

        Returns:
            The service's answer or a refusal.
        """
        self._running += 1
        try:
            result = await self._claims.run(req)
        finally:
            self._running -= 1
        outcome = result.kind if isinstance(result, Failure) else "done"
        self._metrics.count(MetricName.CLAIMS, 1, outcome)
        return result

    async def call_idempotent(self, call: ServiceCall) -> ServiceOutcome | Failure:
        """Runs a call that may be repeated, with retries under the budget.

        Args:
            call: The request; its time limit holds for one try.

        Returns:
            The service's answer or a refusal.
        """
        self._running += 1
        try:
            return await self._call_with_retries(call)
        finally:
            self._running -= 1

    async def _call_with_retries(self, call: ServiceCall) -> ServiceOutcome | Failure:
        """Tries until an answer comes or the budget is spent."""
        self._retry_budget.on_first_attempt(time.monotonic())
        avoid: tuple[str, ...] = ()
        ran = Ran.NO
        reason = ""
        for attempt in range(1, MAX_ATTEMPTS + 1):
            if attempt > 1:
                if not self._retry_budget.try_spend(time.monotonic()):
                    break
                await asyncio.sleep(
                    backoff_delay(attempt - 1, BACKOFF_BASE, BACKOFF_CAP, self._rng)
                )
            reply = await self._dispatcher.send(call, idempotent=True, avoid=avoid)
            if isinstance(reply, ServiceOutcome | Failure):
                return reply
            avoid = (*avoid, reply.backend)
            if isinstance(reply, Broken):
                ran = Ran.UNKNOWN
                reason = reply.reason
            elif isinstance(reply, NotSent):
                reason = reason or "the connection was refused"
        return Failure(ErrorKind.OVERLOADED, f"{call.service}: {reason}", ran, retry_after=1.0)

    def _collector_position(self) -> tuple[int, int]:
        """Place of this instance among the live ones, for the division of old claims."""
        names = sorted(member.name for member in self._mesh.live)
        own = self._mesh.own.name
        return (names.index(own), len(names)) if own in names else (0, 1)
