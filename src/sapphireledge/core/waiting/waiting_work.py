"""A request that waits for a backend server."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["WaitingWork"]


@dataclass(frozen=True, slots=True)
class WaitingWork:
    """A request that waits for a backend server; times are in seconds on one clock."""

    rank: int
    """Priority of the caller's workspace or of the route, 0 is the highest."""

    due_at: float
    """Time by which the next event must arrive for the request to be on time."""

    leaves_at: float
    """Time at which the caller gives up unless the next event has arrived."""

    deadline: float
    """Time at which the caller stops waiting for the end. A caller that comes back after a refusal
    has less time left than a new one, so the order by deadline puts it first."""

    first_event_time: float = 0.0
    """Expected seconds from the start on an idle backend server to the next event."""

    generation_time: float = 0.0
    """Expected seconds from the next event to the last one, 0 if unknown."""

    workspace: str = ""
    """Workspace of the caller, empty if there is none."""

    tokens: int = 0
    """Tokens that the request uses of its workspace's share, 0 if unknown."""

    route_rank: int = 0
    """Priority of the route, which orders requests of one rank; the rank of a workspace replaces it
    as `rank`."""

    delivered: int = 0
    """Number of events that the caller has already received from a run that was lost."""

    has_run: bool = False
    """Whether a backend server may have run the request, so that it cannot be refused as not
    run."""

    @property
    def latest_first_event(self) -> float:
        """Time after which the next event reaches no caller, or the end comes too late."""
        return min(self.leaves_at, self.deadline - self.generation_time)
