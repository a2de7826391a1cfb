"""Interface for reporting engine events that are shared with other instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from sapphireledge.core.quarantine import DeathRecord

__all__ = ["SuspectSink"]


class SuspectSink(Protocol):
    """Receives engine deaths, completed requests and leaving backend servers."""

    def report_death(self, record: DeathRecord) -> None:
        """Reports the death of an engine, which is already counted locally."""
        ...

    def report_completion(self, fingerprint: str) -> None:
        """Reports that a request completed, which clears it of suspicion."""
        ...

    def report_survival(self) -> None:
        """Reports that an engine survived the beginning of an answer, which clears its parts."""
        ...

    def report_leaving(self, backend: str) -> None:
        """Reports a backend server that announced that it is leaving."""
        ...
