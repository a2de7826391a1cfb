"""Exchange of engine deaths and clearings with peers and the platform."""

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
"""Key prefix of death records in the object API."""

CLEARING_PREFIX = "quarantine/cleared/"
"""Key prefix of clearing records in the object API."""

WRITE_DELAY = 1.0
"""Seconds before a death is written, so that reports from peers can be merged first."""

WRITE_RETRY_DELAY = 2.0
"""Seconds between attempts to write a record."""

MAX_WRITE_ATTEMPTS = 30
"""Maximum attempts to write a record; peers receive it even if all fail."""


class SuspectExchange:
    """Shares engine deaths, clearings and leaving backend servers; implements `SuspectSink`."""

    def __init__(
        self, quarantine: Quarantine, view: BackendView, mesh: PeerMesh, store: ObjectStore
    ) -> None:
        """Creates the exchange.

        Args:
            quarantine: Attribution of deaths to requests.
            view: View of the backend servers.
            mesh: Connections to the other entry instances.
            store: The platform's object API.
        """
        self._quarantine = quarantine
        self._view = view
        self._mesh = mesh
        self._store = store
        self._leaving: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._log = structlog.get_logger()

    def list_leaving(self) -> tuple[str, ...]:
        """Lists the backend servers that announced to this instance that they are leaving.

        Returns:
            Their names.
        """
        return tuple(self._leaving)

    def report_death(self, record: DeathRecord) -> None:
        """Shares an engine death that this instance detected.

        Args:
            record: The death.
        """
        self._mesh.report_death(
            DeathNotice(
                record.backend,
                record.boot_id,
                record.time_unix,
                record.suspects,
                record.isolated,
                tuple(sorted(record.begun.items())),
                record.service,
                record.load,
                tuple(sorted(record.scopes.items())),
                tuple(sorted(record.presence.items())),
                record.servers,
            )
        )
        self._spawn(self._write_death(record))
        self.report_survival()

    def report_completion(self, fingerprint: str) -> None:
        """Clears a suspected request that completed.

        Args:
            fingerprint: Fingerprint of the request.
        """
        record = self._quarantine.on_completed(time.time(), fingerprint)
        if record is not None:
            self._share_clearing(record)

    def report_survival(self) -> None:
        """Clears suspected parts of prompts that engines of this instance survived."""
        for record in self._quarantine.take_clearings(time.time()):
            self._share_clearing(record)

    def lift(self, fingerprint: str, who: str, why: str) -> bool:
        """Clears a suspected request on behalf of an operator.

        Args:
            fingerprint: Fingerprint of the request.
            who: Name of the operator.
            why: Reason for the clearing.

        Returns:
            Whether any engine death was attributed to the request.
        """
        record = self._quarantine.lift(time.time(), fingerprint, who, why)
        if record is None:
            return False
        self._share_clearing(record)
        return True

    def report_leaving(self, backend: str) -> None:
        """Shares that a backend server is leaving.

        Args:
            backend: Name of the backend server.
        """
        if backend not in self._leaving:
            self._leaving[backend] = time.monotonic()
            self._log.info(LogEvent.BACKEND_LEAVING, backend=backend)
            self._mesh.send_now()

    def prune_leaving(self, listed: Iterable[str]) -> None:
        """Removes leaving backend servers that are no longer in the instance list.

        Args:
            listed: Names in the instance list.
        """
        names = set(listed)
        self._leaving = {n: since for n, since in self._leaving.items() if n in names}

    def on_peer_deaths(self, deaths: Iterable[DeathNotice]) -> None:
        """Applies engine deaths that peers detected.

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
                dict(death.begun),
                death.service,
                death.load,
                dict(death.scopes),
                dict(death.presence),
                death.servers,
            )
            self._quarantine.on_engine_death(time.time(), record)
        self.report_survival()

    def on_peer_clearings(self, clearings: Iterable[ClearingNotice]) -> None:
        """Applies clearings that peers made.

        Args:
            clearings: The clearings.
        """
        for notice in clearings:
            record = ClearingRecord(notice.fingerprint, notice.time_unix, notice.who, notice.why)
            self._quarantine.on_cleared(time.time(), record)

    def on_stored(self, found: StoredObject) -> None:
        """Applies a record stored on the platform.

        Args:
            found: Object whose key starts with `quarantine/`.
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
        """Shares a clearing with peers and the platform."""
        self._mesh.report_clearing(
            ClearingNotice(record.fingerprint, record.time_unix, record.who, record.why)
        )
        self._spawn(self._write_record(CLEARING_PREFIX + record.fingerprint, record.encode()))

    async def _write_death(self, record: DeathRecord) -> None:
        """Writes a death record, merged with the reports of other instances."""
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
        """Writes a record, replacing any existing one."""
        for _ in range(MAX_WRITE_ATTEMPTS):
            found = await self._store.get(key)
            if not isinstance(found, Failure):
                version = found.version if found is not None else 0
                result = await self._store.put(key, value, version)
                if result.status is WriteStatus.WRITTEN:
                    return
            await asyncio.sleep(WRITE_RETRY_DELAY)

    def _spawn(self, work: object) -> None:
        """Starts a background task."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
