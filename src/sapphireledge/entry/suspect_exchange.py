"""Shares engine deaths and clearings with peers and the platform."""

from __future__ import annotations

import asyncio
import hashlib
import time
from typing import TYPE_CHECKING

import structlog

from sapphireledge.core.membership import ClearingNotice, DeathNotice
from sapphireledge.core.quarantine import ClearingRecord, DeathRecord
from sapphireledge.errors import Failure
from sapphireledge.objects import WriteStatus
from sapphireledge.telemetry import LogEvent

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sapphireledge.core.quarantine import Quarantine
    from sapphireledge.core.routing import BackendView
    from sapphireledge.objects import ObjectStore, StoredObject
    from sapphireledge.peers import PeerMesh

__all__ = ["SuspectExchange"]

DEATH_PREFIX = "quarantine/deaths/"
"""Prefix of the death records in the object API."""

CLEARING_PREFIX = "quarantine/cleared/"
"""Prefix of the clearings in the object API."""

WRITE_DELAY = 1.0
"""Seconds before a death is written, so that the reports of peers are merged first."""

WRITE_RETRY_DELAY = 2.0
"""Seconds between two tries to write a record."""

MAX_WRITE_ATTEMPTS = 30
"""Tries to write a record; peers have it in any case."""


class SuspectExchange:
    """Shares engine deaths and clearings; implements `SuspectSink`."""

    def __init__(
        self, quarantine: Quarantine, view: BackendView, mesh: PeerMesh, store: ObjectStore
    ) -> None:
        """Creates the exchange.

        Args:
            quarantine: Attribution of deaths to requests.
            view: What the instance knows about backend servers.
            mesh: Links to other instances.
            store: The platform's object API.
        """
        self._quarantine = quarantine
        self._view = view
        self._mesh = mesh
        self._store = store
        self._leaving: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._log = structlog.get_logger()

    def leaving_backends(self) -> tuple[str, ...]:
        """Lists the backend servers that told this instance that they are leaving.

        Returns:
            Their names.
        """
        return tuple(self._leaving)

    def report_death(self, record: DeathRecord) -> None:
        """Passes on a death that this instance detected.

        Args:
            record: The death.
        """
        self._mesh.report_death(
            DeathNotice(
                record.backend, record.boot_id, record.time_unix, record.suspects, record.isolated
            )
        )
        self._spawn(self._write_death(record))

    def report_completion(self, fingerprint: str) -> None:
        """Clears a suspect that ran to its end.

        Args:
            fingerprint: Fingerprint of the request.
        """
        record = self._quarantine.on_completed(time.time(), fingerprint)
        if record is not None:
            self._share_clearing(record)

    def lift(self, fingerprint: str, who: str, why: str) -> bool:
        """Clears a suspect by an operator's order.

        Args:
            fingerprint: Fingerprint of the request.
            who: Name of the operator.
            why: Reason.

        Returns:
            Whether any death counted against it.
        """
        record = self._quarantine.lift(time.time(), fingerprint, who, why)
        if record is None:
            return False
        self._share_clearing(record)
        return True

    def report_leaving(self, backend: str) -> None:
        """Passes on that a backend server is leaving.

        Args:
            backend: Name of the backend server.
        """
        if backend not in self._leaving:
            self._leaving[backend] = time.monotonic()
            self._log.info(LogEvent.BACKEND_LEAVING, backend=backend)
            self._mesh.send_now()

    def prune_leaving(self, listed: Iterable[str]) -> None:
        """Forgets leaving backend servers that are gone from the instance list.

        Args:
            known: Names in the instance list.
        """
        names = set(listed)
        self._leaving = {n: since for n, since in self._leaving.items() if n in names}

    def on_peer_deaths(self, deaths: Iterable[DeathNotice]) -> None:
        """Takes deaths that peers detected.

        Args:
            deaths: The deaths.
        """
        for death in deaths:
            record = DeathRecord(
                death.backend,
                death.boot_id,
                death.time_unix,
                tuple(death.suspects),
                tuple(death.isolated),
            )
            self._quarantine.on_engine_death(time.time(), record)

    def on_peer_clearings(self, clearings: Iterable[ClearingNotice]) -> None:
        """Takes clearings that peers made.

        Args:
            clearings: The clearings.
        """
        for notice in clearings:
            record = ClearingRecord(notice.fingerprint, notice.time_unix, notice.who, notice.why)
            self._quarantine.on_cleared(time.time(), record)

    def on_stored(self, found: StoredObject) -> None:
        """Takes a record from the platform.

        Args:
            found: Object below `quarantine/`.
        """
        if found.deleted:
            return
        if found.key.startswith(DEATH_PREFIX):
            death = DeathRecord.decode(found.value)
            if not isinstance(death, Failure):
                self._quarantine.on_engine_death(time.time(), death)
        elif found.key.startswith(CLEARING_PREFIX):
            clearing = ClearingRecord.decode(found.value)
            if not isinstance(clearing, Failure):
                self._quarantine.on_cleared(time.time(), clearing)

    def _share_clearing(self, record: ClearingRecord) -> None:
        """Passes a clearing on."""
        self._mesh.report_clearing(
            ClearingNotice(record.fingerprint, record.time_unix, record.who, record.why)
        )
        self._spawn(self._write_record(CLEARING_PREFIX + record.fingerprint, record.encode()))

    async def _write_death(self, record: DeathRecord) -> None:
        """Writes a death after the reports of other instances were merged."""
        await asyncio.sleep(WRITE_DELAY)
        merged = next((r for r in self._quarantine.records() if r.key == record.key), record)
        name = hashlib.sha256(f"{record.backend}/{record.boot_id}".encode()).hexdigest()[:32]
        for _ in range(MAX_WRITE_ATTEMPTS):
            found = await self._store.get(DEATH_PREFIX + name)
            if not isinstance(found, Failure):
                stored = DeathRecord.decode(found.value) if found is not None else None
                if isinstance(stored, DeathRecord):
                    merged = merged.merge(stored)
                    if merged == stored:
                        return
                version = found.version if found is not None else 0
                result = await self._store.put(DEATH_PREFIX + name, merged.encode(), version)
                if result.status is WriteStatus.WRITTEN:
                    return
            await asyncio.sleep(WRITE_RETRY_DELAY)

    async def _write_record(self, key: str, value: bytes) -> None:
        """Writes a record over any older one."""
        for _ in range(MAX_WRITE_ATTEMPTS):
            found = await self._store.get(key)
            if not isinstance(found, Failure):
                version = found.version if found is not None else 0
                result = await self._store.put(key, value, version)
                if result.status is WriteStatus.WRITTEN:
                    return
            await asyncio.sleep(WRITE_RETRY_DELAY)

    def _spawn(self, work: object) -> None:
        """Runs a write in the background."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
