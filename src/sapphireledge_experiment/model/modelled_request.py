"""One request of a caller."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge_experiment.model.ending import Ending
    from sapphireledge_experiment.settings import RequestKind

__all__ = ["ModelledRequest"]


@dataclass(slots=True)
class ModelledRequest:
    """One request of a caller, with what it has received; times are in seconds."""

    number: int
    """Number in order of arrival."""

    kind: RequestKind
    """Kind of the request."""

    arrived: float
    """Time of the first call."""

    prompt_tokens: int
    """Length of the prompt in tokens."""

    output_events: int
    """Length of the output in events."""

    event_tokens: int
    """Tokens in one event."""

    workspace: int
    """Number of the workspace."""

    prefix: int
    """Number of the shared prefix, -1 for none."""

    data_centre: int
    """Data centre of the caller."""

    crashes_engines: bool = False
    """Whether an engine that begins to answer it ends."""

    delivered: int = 0
    """Events that the caller has received."""

    first_event_at: float | None = None
    """Time of the first event, or of the whole response of a plain server."""

    last_event_at: float = 0.0
    """Time of the latest event, or of the arrival."""

    ending: Ending | None = None
    """How it ended, None while it has not."""

    ended_at: float = 0.0
    """Time of the end."""

    runs: int = 0
    """Number of runs on servers."""

    calls: int = 0
    """Calls of the caller."""

    @property
    def output_tokens(self) -> int:
        """Length of the output in tokens."""
        return self.output_events * self.event_tokens

    @property
    def key(self) -> str:
        """Affinity key: requests with the same prefix share it."""
        return f"p{self.prefix}" if self.prefix >= 0 else f"r{self.number}"

    @property
    def deadline(self) -> float:
        """Time at which the caller stops waiting for the end."""
        return self.arrived + self.kind.time_limit

    @property
    def leaves_at(self) -> float:
        """Time at which the caller leaves unless the next event arrives."""
        return self.last_event_at + self.kind.patience
