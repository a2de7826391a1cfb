"""Continuous view of the objects of one kind."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

import structlog

from sapphireledge.gateway import GatewayEvent, elapsed_time
from sapphireledge.platform.store_error import StoreError

if TYPE_CHECKING:
    from sapphireledge.platform.kind_listener import KindListener
    from sapphireledge.platform.store_client import StoreClient
    from sapphireledge.platform.store_settings import StoreSettings

__all__ = ["KindWatcher"]


class KindWatcher:
    """Lists the objects of a kind and then watches them."""

    def __init__(
        self,
        client: StoreClient,
        kind: str,
        wait: float,
        settle_time: float,
        cfg: StoreSettings,
        listener: KindListener,
    ) -> None:
        """Creates a watcher.

        Args:
            client: Client with a connection of its own.
            kind: Kind of the objects.
            wait: Seconds that the store holds a watch.
            settle_time: Pause in seconds after changes, so that the next call collects several.
            cfg: Settings.
            listener: Receiver of the objects.
        """
        self._client = client
        self._kind = kind
        self._wait = wait
        self._settle_time = settle_time
        self._cfg = cfg
        self._listener = listener
        self._rng = Random()
        self._log = structlog.get_logger()
        self._revision: int | None = None
        self._failures = 0
        self._changed = False
        self._last_success = elapsed_time()
        self._lost = False

    async def run(self) -> None:
        """Lists and watches until the task is cancelled."""
        while True:
            began = elapsed_time()
            try:
                if self._revision is None:
                    await self._list(began)
                else:
                    await self._watch(began, self._revision)
            except StoreError as exc:
                await self._back_off(exc)

    async def _list(self, began: float) -> None:
        """Reads every object."""
        page = await self._client.list(self._kind)
        self._note_success()
        self._listener.replace_all(page.entries)
        self._listener.confirm(began)
        self._revision = page.revision

    async def _watch(self, began: float, revision: int) -> None:
        """Waits for the next changes."""
        # A watch that ends with changes confirms only its start, so the next one is short.
        wait = self._cfg.confirm_wait if self._changed else self._wait
        page = await self._client.watch(self._kind, revision, wait)
        self._note_success()
        if page is None:
            self._revision = None
            return
        self._listener.apply(page.entries)
        # A watch without events was open at the store until its time was over.
        self._changed = bool(page.entries)
        waited = 0.0 if self._changed else wait
        self._listener.confirm(min(began + waited, elapsed_time()))
        self._revision = page.revision
        if self._changed:
            await asyncio.sleep(self._settle_time)

    def _note_success(self) -> None:
        """Reports the return of the store."""
        now = elapsed_time()
        if self._lost:
            self._lost = False
            self._listener.on_regained()
            self._log.info(
                GatewayEvent.STORE_REGAINED,
                kind=self._kind,
                away_s=round(now - self._last_success, 3),
            )
        self._last_success = now
        self._failures = 0

    async def _back_off(self, exc: StoreError) -> None:
        """Reports the loss of the store and waits a jittered, growing time."""
        if not self._lost:
            self._lost = True
            self._log.warning(GatewayEvent.STORE_LOST, kind=self._kind, reason=str(exc))
        pause = min(self._cfg.retry_cap, self._cfg.retry_base * 2**self._failures)
        self._failures = min(self._failures + 1, 8)
        await asyncio.sleep(pause * self._rng.uniform(0.5, 1.0))
