"""Attribution of engine deaths at one instance."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from sapphireledge.core.quarantine import (
    ClearVerdict,
    CrashReport,
    IsolateVerdict,
    Quarantine,
    RequestContent,
    RunningRequests,
    ServiceSize,
    find_avoided_servers,
)

if TYPE_CHECKING:
    from sapphireledge.errors import Failure
    from sapphireledge_experiment.model.model_context import ModelContext
    from sapphireledge_experiment.model.modelled_request import ModelledRequest
    from sapphireledge_experiment.model.simulated_engine import SimulatedEngine

__all__ = ["CrashWatch"]


class CrashWatch:
    """Keeps streams that crash engines away from them.

    The order of the steps is that of `CrashGuard`; each decision is the one that it calls.
    """

    def __init__(self, world: ModelContext) -> None:
        """Creates a watch that knows the deaths and clearings on record.

        Args:
            world: Everything else; gets what this instance finds.
        """
        self._world = world
        self._clock = world.clock
        self._quarantine = Quarantine(world.policy.quarantine)
        self._running = RunningRequests()
        self._work_ids = count()
        self._checked: set[str] = set()
        self.learn(world.crash_report)

    def learn(self, report: CrashReport) -> None:
        """Takes over deaths and clearings that another instance found."""
        for death in report.deaths:
            self._quarantine.on_engine_death(self._clock.now, death)
        for clearing in report.clearings:
            self._quarantine.on_cleared(self._clock.now, clearing)

    def find_crashing_parts(self) -> frozenset[str]:
        """Finds the prompt parts that are refused."""
        return self._quarantine.crashing_parts(self._clock.now)

    def judge(self, request: ModelledRequest) -> ClearVerdict | IsolateVerdict | Failure:
        """Decides whether and how a stream may run."""
        content = _describe(request)
        return self._quarantine.verdict(self._clock.now, content.fingerprint, content.parts)

    def find_avoided(self, verdict: ClearVerdict | IsolateVerdict) -> frozenset[str]:
        """Finds the engines on which a stream may not run beside other suspects."""
        return find_avoided_servers(self._clock.now, verdict, self._quarantine, self._running)

    def begin(
        self,
        request: ModelledRequest,
        engine: SimulatedEngine,
        verdict: ClearVerdict | IsolateVerdict,
    ) -> str:
        """Registers a stream that is sent to an engine.

        Returns:
            Identifier of the run for the other methods.
        """
        work_id = str(next(self._work_ids))
        isolated = isinstance(verdict, IsolateVerdict) and engine.name not in self.find_avoided(
            verdict
        )
        self._running.add(
            self._clock.now, work_id, engine.name, _describe(request), isolated=isolated
        )
        return work_id

    def on_event(self, work_id: str) -> None:
        """Records that an answer has begun or goes on."""
        self._running.on_begun(work_id)
        content = self._running.on_progress(self._clock.now, work_id)
        if content is not None:
            self._record_survival(content)

    def on_answered(self, work_id: str) -> None:
        """Clears a stream that is complete."""
        content = self._running.content(work_id)
        if content is None:
            return
        self._record_survival(content)
        clearing = self._quarantine.on_completed(self._clock.now, content.fingerprint)
        if clearing is not None:
            self._world.share_crash_report(self, CrashReport(clearings=(clearing,)))

    def end(self, work_id: str) -> None:
        """Removes a run that ended."""
        self._running.remove(self._clock.now, work_id)

    def on_connection_lost(self, engine: SimulatedEngine, delay: float) -> None:
        """Checks whether an engine died that reset a connection; call it before `end`.

        Args:
            engine: The engine.
            delay: Seconds until an attempt to connect shows it.
        """
        if engine.name in self._checked:
            return
        self._checked.add(engine.name)
        now = self._clock.now
        record = self._running.record_death(now, now, engine.name, "", ServiceSize())

        def confirm() -> None:
            """Records the death."""
            if engine.is_dead and self._quarantine.on_engine_death(self._clock.now, record):
                self._world.share_crash_report(self, CrashReport(deaths=(record,)))

        self._clock.after(delay, confirm)

    def _record_survival(self, content: RequestContent) -> None:
        """Records that an engine survived the beginning of an answer."""
        now = self._clock.now
        self._quarantine.on_survived(now, content.parts)
        clearings = self._quarantine.take_clearings(now)
        if clearings:
            self._world.share_crash_report(self, CrashReport(clearings=clearings))


def _describe(request: ModelledRequest) -> RequestContent:
    """Describes what identifies the content of a stream; its prefix is the part it shares."""
    parts = (request.key,) if request.prefix >= 0 else ()
    return RequestContent(f"{request.kind.name}/{request.number}", parts)
