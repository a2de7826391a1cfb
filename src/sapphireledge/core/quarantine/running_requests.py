"""Requests that run on backend servers, and which of them a crash may be attributed to."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sapphireledge.core.quarantine.death_record import DeathRecord
from sapphireledge.core.quarantine.presence_estimator import PresenceEstimator
from sapphireledge.core.quarantine.service_size import ServiceSize

if TYPE_CHECKING:
    from sapphireledge.core.quarantine.request_content import RequestContent

__all__ = ["RunningRequests"]

SURVIVAL_TIME = 0.25
"""Seconds between the first progress of an answer and a later one that show that the engine has
survived the request's prompt. Engines that crash do so within 0.1 s of beginning to answer."""

UNANSWERED_TIME = 6.0
"""Seconds for which a request counts as a possible cause of the end of the server that did not
answer it. The platform notices a server that has gone silent within 4 s."""


@dataclass(slots=True)
class _Running:
    """A request on a backend server."""

    backend: str
    content: RequestContent
    isolated: bool
    added_at: float
    begun: bool = False
    progress_at: float | None = None
    survived: bool = False


class RunningRequests:
    """Tracks the requests of one instance that run on backend servers, and how far they came."""

    def __init__(self) -> None:
        self._running: dict[str, _Running] = {}
        self._by_backend: dict[str, set[str]] = {}
        self._unanswered: dict[str, list[tuple[float, _Running]]] = {}
        self._presence = PresenceEstimator()

    def __len__(self) -> int:
        return len(self._running)

    def add(
        self,
        now: float,
        work_id: str,
        backend: str,
        content: RequestContent,
        *,
        isolated: bool = False,
    ) -> None:
        """Adds a request that is sent to a backend server.

        Args:
            now: Monotonic time in seconds.
            work_id: Identifier of the attempt.
            backend: Name of the backend server.
            content: Content of the request.
            isolated: Whether it runs isolated from other suspects.
        """
        self._running[work_id] = _Running(backend, content, isolated, now)
        self._by_backend.setdefault(backend, set()).add(work_id)

    def remove(self, now: float, work_id: str) -> None:
        """Removes an attempt that ended.

        Args:
            now: Monotonic time in seconds.
            work_id: Identifier of the attempt; an unknown one is ignored.
        """
        running = self._running.pop(work_id, None)
        if running is not None:
            if running.content.scope:
                run_time = now - running.added_at
                for name in (running.content.scope, running.content.service):
                    self._presence.on_ended(now, name, run_time)
            work_ids = self._by_backend[running.backend]
            work_ids.discard(work_id)
            if not work_ids:
                del self._by_backend[running.backend]

    def on_unanswered(self, now: float, work_id: str) -> None:
        """Records that the backend server has gone silent; call it before `remove`.

        Args:
            now: Monotonic time in seconds.
            work_id: Identifier of the attempt.
        """
        running = self._running.get(work_id)
        if running is None:
            return
        self._unanswered.setdefault(running.backend, []).append((now, running))
        for backend, ended in tuple(self._unanswered.items()):
            ended[:] = [entry for entry in ended if entry[0] > now - UNANSWERED_TIME]
            if not ended:
                del self._unanswered[backend]

    def on_begun(self, work_id: str) -> None:
        """Records that the backend server has begun to answer.

        Args:
            work_id: Identifier of the attempt.
        """
        running = self._running.get(work_id)
        if running is not None:
            running.begun = True

    def on_progress(self, now: float, work_id: str) -> RequestContent | None:
        """Records that the answer goes on.

        Args:
            now: Monotonic time in seconds.
            work_id: Identifier of the attempt.

        Returns:
            The content, once, when the backend server has survived it; otherwise None.
        """
        running = self._running.get(work_id)
        if running is None or running.survived:
            return None
        running.begun = True
        if running.progress_at is None:
            running.progress_at = now
        if now - running.progress_at < SURVIVAL_TIME:
            return None
        running.survived = True
        return running.content

    def content(self, work_id: str) -> RequestContent | None:
        """Looks up the content of a running request.

        Args:
            work_id: Identifier of the attempt.

        Returns:
            The content, or None if the attempt has ended.
        """
        running = self._running.get(work_id)
        return None if running is None else running.content

    def backends_of(self, fingerprints: frozenset[str]) -> frozenset[str]:
        """Lists the backend servers that run one of several requests.

        Args:
            fingerprints: Fingerprints of the requests.

        Returns:
            Names of the backend servers.
        """
        return frozenset(
            running.backend
            for running in self._running.values()
            if running.content.fingerprint in fingerprints
        )

    def fingerprints(self) -> frozenset[str]:
        """Lists the fingerprints of all running requests.

        Returns:
            The fingerprints.
        """
        return frozenset(running.content.fingerprint for running in self._running.values())

    def record_death(
        self,
        now: float,
        now_unix: float,
        backend: str,
        boot_id: str,
        size: ServiceSize,
    ) -> DeathRecord:
        """Builds the record of the death of a backend server.

        Args:
            now: Monotonic time in seconds.
            now_unix: The same time in Unix seconds.
            backend: Name of the backend server.
            boot_id: Boot id of the incarnation that died.
            size: Size of its service.

        Returns:
            The record, with the requests of this instance that ran there.
        """
        lost = [self._running[work_id] for work_id in self._by_backend.get(backend, ())]
        return self._build_record(now, now_unix, (backend, boot_id), size, lost)

    def record_silent_death(
        self, now: float, now_unix: float, backend: str, boot_id: str, size: ServiceSize
    ) -> DeathRecord:
        """Builds the record of a backend server that ended after it had gone silent.

        Requests that still run there are left out: a server can leave without notice and go on.

        Args:
            now: Monotonic time in seconds.
            now_unix: The same time in Unix seconds.
            backend: Name of the backend server.
            boot_id: Boot id of the incarnation that ended.
            size: Size of its service.

        Returns:
            The record, with the requests of this instance that it did not answer, if any.
        """
        ended = [
            (at, run) for at, run in self._unanswered.pop(backend, ()) if at > now - UNANSWERED_TIME
        ]
        silent_since = min((at for at, _ in ended), default=now)
        lost = [run for _, run in ended]
        return self._build_record(
            now, now_unix - (now - silent_since), (backend, boot_id), size, lost
        )

    def _build_record(
        self,
        now: float,
        died_at: float,
        incarnation: tuple[str, str],
        size: ServiceSize,
        lost: list[_Running],
    ) -> DeathRecord:
        """Builds a record from the requests that may have caused a death, at a Unix time."""
        backend, boot_id = incarnation
        begun = [run for run in lost if run.begun and not run.survived]
        scopes: dict[str, set[str]] = {}
        for run in begun:
            if run.content.scope:
                scopes.setdefault(run.content.scope, set()).add(run.content.fingerprint)
        return DeathRecord(
            backend=backend,
            boot_id=boot_id,
            time_unix=died_at,
            suspects=tuple(sorted({run.content.fingerprint for run in lost})),
            isolated=tuple(sorted({run.content.fingerprint for run in lost if run.isolated})),
            begun={run.content.fingerprint: run.content.parts for run in begun},
            service=size.service,
            load=self._presence.estimate(now, size.service, size),
            scopes={scope: tuple(sorted(names)) for scope, names in sorted(scopes.items())},
            presence={scope: self._presence.estimate(now, scope, size) for scope in sorted(scopes)},
            servers=size.servers,
        )
