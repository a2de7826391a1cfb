"""Writes which version of each service is in use to the store."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

import structlog

from sapphireledge.feed import SourceError, StoredEntry
from sapphireledge.gateway import VERSIONS_REPORT, GatewayEvent
from sapphireledge.platform.stream_origin_writer import STREAM_ORIGIN_KIND

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge.gateway import StreamOrigins
    from sapphireledge.platform.store_client import StoreClient
    from sapphireledge.platform.stream_origin_listener import StreamOriginListener

__all__ = ["VersionsInUseWriter"]

DELAY_PER_INSTANCE = 0.1
"""Seconds over which the instances spread a write, for each of them. The first write reaches the
others in less than a second, and they leave out theirs."""

MIN_SPREAD = 0.5
"""Shortest time in seconds over which the instances spread a write."""

MAX_SPREAD = 15.0
"""Longest such time."""

CHECK_INTERVAL = 1.0
"""Seconds between two checks of whether a write is due."""

RETRY_DELAY = 2.0
"""Seconds after a failed write."""


class VersionsInUseWriter:
    """Keeps the report of the versions in use right; any instance may write it.

    After a loss of power of all instances, it tells which versions may have begun streams even if
    none of their servers is left. It changes when a roll-out has ended.
    """

    def __init__(
        self,
        store: StoreClient,
        origins: StreamOrigins,
        listener: StreamOriginListener,
        count_instances: Callable[[], int],
    ) -> None:
        """Creates a writer.

        Args:
            store: Client that nothing else uses.
            origins: Source of the report.
            listener: Receiver of what the store holds.
            count_instances: Returns the number of instances that share the store.
        """
        self._store = store
        self._origins = origins
        self._listener = listener
        self._count_instances = count_instances
        self._failed = False
        self._rng = Random()
        self._log = structlog.get_logger()
        self._wake = asyncio.Event()
        origins.on_versions_changed = self._wake.set

    async def run(self) -> None:
        """Writes the report whenever it is wrong, until the task is cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._origins.wanted_versions() is not None:
                spread = DELAY_PER_INSTANCE * self._count_instances()
                spread = min(max(MIN_SPREAD, spread), MAX_SPREAD)
                await asyncio.sleep(self._rng.uniform(0.0, spread))
                try:
                    await self._write_if_wanted()
                    self._failed = False
                except SourceError as exc:
                    if not self._failed:
                        self._failed = True
                        self._log.warning(
                            GatewayEvent.ORIGINS_DELAYED, report=VERSIONS_REPORT, reason=str(exc)
                        )
                    await asyncio.sleep(RETRY_DELAY)
                except Exception as exc:
                    # A later change must still be written.
                    self._log.error(
                        GatewayEvent.INTERNAL_ERROR, kind=STREAM_ORIGIN_KIND, exc_info=exc
                    )
                    await asyncio.sleep(RETRY_DELAY)

    async def _write_if_wanted(self) -> None:
        """Writes the report unless another instance has meanwhile."""
        revision: int | None = None
        for _ in range(2):
            report = self._origins.wanted_versions()
            if report is None:
                return
            version = await self._store.write(
                STREAM_ORIGIN_KIND, VERSIONS_REPORT, report.to_builtins(), revision
            )
            revision = version.revision
            self._listener.apply([StoredEntry(VERSIONS_REPORT, version.spec)])
            if version.written:
                self._log.info(
                    GatewayEvent.VERSIONS_STORED,
                    versions={name: sorted(kept) for name, kept in report.versions.items()},
                    revision=revision,
                )
                return
