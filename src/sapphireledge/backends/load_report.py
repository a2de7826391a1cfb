"""Load report of an engine."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["LoadReport", "LoadedModel"]


@dataclass(frozen=True, slots=True)
class LoadedModel:
    """A model version that an engine has loaded."""

    model: str
    """Name of the model."""

    version: str
    """Version of the model."""

    adapters: tuple[str, ...] = ()
    """Adapters loaded for this model version."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load report of an engine."""

    boot_id: str
    """Id of the engine process."""

    sequence: int
    """Sequence number; of two reports of one process, the higher number is newer."""

    time_unix: float
    """Time of measurement in Unix seconds."""

    state: str
    """"live" or "leaving"."""

    role: str
    """Role of the engine."""

    slots: int
    """Number of sequences that the engine can generate concurrently."""

    running: int
    """Number of sequences being generated."""

    queued: int
    """Number of sequences waiting for a slot."""

    tokens_per_second: float
    """Output rate, averaged over the last second or longer."""

    models: tuple[LoadedModel, ...] = ()
    """Model versions that the engine has loaded."""

    software_version: str = ""
    """Version of the engine's software; empty if it names none."""

    @property
    def leaving(self) -> bool:
        """Whether the engine accepts no new work."""
        return self.state != "live"
