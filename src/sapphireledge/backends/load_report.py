"""Load report of an engine."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["LoadReport", "LoadedModel"]


@dataclass(frozen=True, slots=True)
class LoadedModel:
    """A model version that an engine holds."""

    model: str
    """Name of the model."""

    version: str
    """Version of the model."""

    adapters: tuple[str, ...] = ()
    """Adapters loaded for this version."""


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load report of an engine."""

    boot_id: str
    """Id of the engine process."""

    sequence: int
    """Number of the report; a higher one of the same process is newer."""

    time_unix: float
    """When the figures were taken, in Unix seconds."""

    state: str
    """"live" or "leaving"."""

    role: str
    """Role of the engine."""

    slots: int
    """Sequences that can run at once."""

    running: int
    """Sequences that run."""

    queued: int
    """Sequences that wait for a slot."""

    tokens_per_second: float
    """Output rate over the last second or longer."""

    models: tuple[LoadedModel, ...] = ()
    """Model versions that the engine holds."""

    @property
    def leaving(self) -> bool:
        """Whether the engine takes nothing new."""
        return self.state != "live"
