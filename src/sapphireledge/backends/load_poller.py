"""Periodic polling of the load of one engine."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from sapphireledge.backends.call_failure import CallFailure

if TYPE_CHECKING:
    from sapphireledge.backends.engine_client import EngineClient
    from sapphireledge.backends.load_report import LoadReport

__all__ = ["LoadPoller"]


class LoadPoller:
    """Polls the load report of one engine and passes it to a callback."""

    def __init__(
        self,
        client: EngineClient,
        interval: float,
        on_report: Callable[[LoadReport], None],
        on_failure: Callable[[CallFailure], None],
    ) -> None:
        """Creates a poller; `run` starts it.

        Args:
            client: Client of the engine.
            interval: Seconds between the starts of two polls.
            on_report: Called with each report that is newer than the previous one.
            on_failure: Called with the failure of each failed poll.
        """
        self._client = client
        self._interval = interval
        self._on_report = on_report
        self._on_failure = on_failure
        self._last_report: LoadReport | None = None

    async def run(self) -> None:
        """Polls until its task is cancelled."""
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            await self.poll()
            due = max(due + self._interval, loop.time())
            await asyncio.sleep(due - loop.time())

    async def poll(self) -> None:
        """Reads the load report once; a stale report is ignored."""
        report = await self._client.load()
        if isinstance(report, CallFailure):
            self._on_failure(report)
            return
        last = self._last_report
        same_process = last is not None and last.boot_id == report.boot_id
        if same_process and report.sequence <= last.sequence:
            return
        self._last_report = report
        self._on_report(report)
