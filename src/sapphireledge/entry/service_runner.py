"""Execution of calls to plain services: idempotent ones and those that run at most once."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from sapphireledge.core.admission import RetryBudget, backoff_delay
from sapphireledge.core.claims import NoResponse, NotSent, ReceivedKeys, ServiceOutcome
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
    from sapphireledge.entry.death_checker import DeathChecker
    from sapphireledge.entry.service_call import ServiceCall
    from sapphireledge.objects import ObjectStore
    from sapphireledge.peers import PeerMesh
    from sapphireledge.settings import Settings
    from sapphireledge.telemetry import Metrics

__all__ = ["ServiceRunner"]

MAX_ATTEMPTS = 3
"""Maximum number of attempts of an idempotent call."""

BACKOFF_BASE = 0.05
"""Upper limit of the delay before the first retry, in seconds."""

BACKOFF_CAP = 0.5
"""Upper limit of the delay before any retry, in seconds."""


class ServiceRunner:
    """Runs calls to plain services and maintains their claims."""

    def __init__(
        self,
        cfg: Settings,
        store: ObjectStore,
        view: BackendView,
        pools: ConnectionPools,
        mesh: PeerMesh,
        deaths: DeathChecker,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        """Creates the runner; `run` starts its background tasks.

        Args:
            cfg: Settings of the instance.
            store: The platform's object API.
            view: View of the backend servers.
            pools: Connections to backend servers.
            mesh: Connections to the other entry instances.
            deaths: Attribution of deaths of backend servers to calls.
            metrics: Metrics of the instance.
            rng: Random number generator for routing and jitter.
        """
        self.received_keys = ReceivedKeys(time.time(), cfg.claims)
        """Claim keys that this instance received."""
        self._metrics = metrics
        self._rng = rng
        self._retry_budget = RetryBudget(cfg.admission)
        self._dispatcher = ServiceDispatcher(cfg, view, pools, deaths, rng)
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
        self._deaths = deaths
        self._collector = ClaimCollector(store, cfg.claims, self._get_collector_position)
        self._running = 0

    @property
    def running(self) -> int:
        """Number of calls in flight."""
        return self._running

    async def run(self) -> None:
        """Records outcomes and deletes expired claims until the task is cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._recorder.run())
            group.create_task(self._collector.run())

    async def settle(self) -> None:
        """Waits until every at-most-once run has ended and its outcome is recorded."""
        await self._claims.settle()

    async def call_once(self, req: ClaimRequest) -> ServiceOutcome | Failure:
        """Runs a call at most once.

        Args:
            req: The call.

        Returns:
            The service's response, or why there is none.
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
        """Runs an idempotent call, with retries within the retry budget.

        Args:
            call: The call; its timeout applies to each attempt.

        Returns:
            The service's response, or why there is none.
        """
        self._running += 1
        try:
            return await self._call_with_retries(call)
        finally:
            self._running -= 1

    async def _call_with_retries(self, call: ServiceCall) -> ServiceOutcome | Failure:
        """Sends the request until there is a response or no retry is left."""
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
                await self._deaths.wait_for_checks()
            reply = await self._dispatcher.send(call, idempotent=True, avoid=avoid)
            if isinstance(reply, Failure) and ran is not Ran.NO:
                reason = reply.reason
                break
            if isinstance(reply, ServiceOutcome | Failure):
                return reply
            avoid = (*avoid, reply.backend)
            if isinstance(reply, NoResponse):
                ran = Ran.UNKNOWN
                reason = reply.reason
            elif isinstance(reply, NotSent):
                reason = reason or "the connection was refused"
        return Failure(ErrorKind.OVERLOADED, f"{call.service}: {reason}", ran, retry_after=1.0)

    def _get_collector_position(self) -> tuple[int, int]:
        """Returns this instance's index and the number of live instances that share collection."""
        names = sorted(member.name for member in self._mesh.live)
        local_name = self._mesh.local_member.name
        return (names.index(local_name), len(names)) if local_name in names else (0, 1)
