"""Interface through which the pool tells what other instances must know."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from sapphireledge.core.quarantine import DeathRecord

__all__ = ["SuspectSink"]


class SuspectSink(Protocol):
    """Receiver of engine deaths, clearings and leaving backend servers."""

    def report_death(self, record: DeathRecord) -> None:
        """Takes the death of an engine, already counted locally."""
        ...

    def report_completion(self, fingerprint: str) -> None:
        """Takes the completion of a request."""
        ...

    def report_leaving(self, backend: str) -> None:
        """Takes a backend server that said that it is leaving."""
        ...
