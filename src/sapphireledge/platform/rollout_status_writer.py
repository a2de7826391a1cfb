"""Writes the statuses of orders to roll out a version."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

import msgspec
import structlog

from sapphireledge.feed import SourceError
from sapphireledge.gateway import GatewayEvent
from sapphireledge.platform.decode_rollout import ROLLOUT_KIND, decode_rollout, encode_status

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge.core.rollout import RolloutState
    from sapphireledge.feed import StoredVersion
    from sapphireledge.gateway import RolloutGuard, StoredOrder
    from sapphireledge.platform.store_client import StoreClient

__all__ = ["RolloutStatusWriter"]

CHECK_INTERVAL = 0.1
"""Seconds between two checks of whether a status is to be written."""

SPREAD_PER_INSTANCE = 0.1
"""Seconds by which the first write of a status is put off at most for each instance. All instances
decide at about the same time, and see the write of the first one within half a second."""

MAX_SPREAD = 4.0
"""Longest such delay in seconds: some of the instances that decide first may be gone."""

RETRY_BASE = 0.2
"""First delay in seconds after a failed write."""

RETRY_CAP = 2.0
"""Maximum delay in seconds after failed writes."""


class RolloutStatusWriter:
    """Writes the statuses that the roll-outs of this instance call for.

    Every write has the known revision of the order as its condition, so that of several instances
    the first one decides, and a write that is executed late changes nothing once the order or its
    status has changed. After a write without a response, the order is read again.
    """

    def __init__(
        self, store: StoreClient, rollouts: RolloutGuard, count_instances: Callable[[], int]
    ) -> None:
        """Creates a writer.

        Args:
            store: Client that nothing else uses.
            rollouts: Source of the states, and receiver of what the store holds.
            count_instances: Returns the number of instances.
        """
        self._store = store
        self._rollouts = rollouts
        self._count_instances = count_instances
        self._write_at: dict[tuple[str, str, RolloutState], float] = {}
        self._unsettled: set[str] = set()
        self._failures = 0
        self._rng = Random()
        self._log = structlog.get_logger()

    async def run(self) -> None:
        """Writes statuses until the task is cancelled."""
        while True:
            if not self._rollouts.is_active:
                await self._rollouts.wait_until_active()
            try:
                await self._write_due()
            except SourceError as exc:
                await self._back_off(exc)
            except Exception as exc:
                self._log.error(GatewayEvent.INTERNAL_ERROR, kind=ROLLOUT_KIND, exc_info=exc)
            await asyncio.sleep(CHECK_INTERVAL)

    async def _write_due(self) -> None:
        """Writes the statuses whose time has come."""
        now = asyncio.get_running_loop().time()
        wanted = {
            (service, stored.order.order_id, state): stored
            for service, (stored, state) in self._rollouts.wanted_states().items()
        }
        spread = min(MAX_SPREAD, SPREAD_PER_INSTANCE * self._count_instances())
        self._write_at = {
            key: self._write_at.get(key, now + self._rng.uniform(0.0, spread)) for key in wanted
        }
        for key, stored in wanted.items():
            if now >= self._write_at[key]:
                await self._write(stored, key[2])

    async def _write(self, stored: StoredOrder, state: RolloutState) -> None:
        """Writes one status, or reads the order after a write without a response."""
        order = stored.order
        if order.service in self._unsettled:
            self._apply(order.service, await self._store.read(ROLLOUT_KIND, order.service))
            self._unsettled.discard(order.service)
            return
        self._unsettled.add(order.service)
        status = encode_status(order, state)
        version = await self._store.write_status(
            ROLLOUT_KIND, order.service, status, stored.revision
        )
        self._unsettled.discard(order.service)
        self._failures = 0
        is_written = version is not None and version.written
        event = GatewayEvent.ROLLOUT_STATUS_DELAYED
        if is_written:
            event = GatewayEvent.ROLLOUT_STATUS_WRITTEN
        self._log.info(
            event,
            service=order.service,
            target=order.target,
            order=order.order_id,
            state=state,
            stored=None if version is None else version.status,
        )
        self._apply(order.service, version)

    def _apply(self, service: str, version: StoredVersion | None) -> None:
        """Takes in what the store holds."""
        if version is None:
            self._rollouts.on_order_removed(service)
            return
        try:
            stored = decode_rollout(
                service, version.spec, version.status, version.revision, version.created
            )
        except (msgspec.ValidationError, ValueError, RecursionError) as exc:
            self._log.warning(
                GatewayEvent.ROLLOUT_UNREADABLE, service=service, part="order", reason=str(exc)
            )
            self._rollouts.on_order_removed(service)
            return
        self._rollouts.on_order(stored)

    async def _back_off(self, exc: SourceError) -> None:
        """Waits after a failed call with exponential backoff and jitter."""
        if not self._failures:
            self._log.warning(GatewayEvent.ROLLOUT_STATUS_DELAYED, reason=str(exc))
        delay = min(RETRY_CAP, RETRY_BASE * 2 ** min(self._failures, 8))
        self._failures += 1
        await asyncio.sleep(delay * self._rng.uniform(0.5, 1.0))
