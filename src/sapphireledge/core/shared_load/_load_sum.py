"""Load of one service, while it is summed."""

from __future__ import annotations

from sapphireledge.core.shared_load.service_load import ServiceLoad
from sapphireledge.core.shared_load.workspace_streams import WorkspaceStreams

__all__ = ["LoadSum"]


class LoadSum:
    """Load of one service, while it is summed."""

    __slots__ = ("arrivals", "signals", "streams")

    def __init__(self) -> None:
        self.streams: dict[str, list[float]] = {}
        """Tokens, arrived and started streams by workspace."""

        self.arrivals: dict[tuple[int, str], float] = {}
        """Arrivals of plain requests by rank and workspace."""

        self.signals = [0.0, 0.0, 0.0]
        """Rejections, responses and the sum of response times."""

    def add(self, load: ServiceLoad, factors: tuple[float, float, float, float]) -> None:
        """Adds the load of one instance.

        Args:
            load: The load.
            factors: What is left of tokens, starts, arrivals and signals at its age.
        """
        tokens, starts, arrivals, signals = factors
        for workspace, part in load.streams.items():
            row = self.streams.get(workspace)
            if row is None:
                row = self.streams[workspace] = [0.0, 0.0, 0.0]
            row[0] += part.tokens * tokens
            row[1] += part.arrived * starts
            row[2] += part.started * starts
        for caller, amount in load.arrivals.items():
            self.arrivals[caller] = self.arrivals.get(caller, 0.0) + amount * arrivals
        self.signals[0] += load.rejections * signals
        self.signals[1] += load.responses * signals
        self.signals[2] += load.response_time * signals

    def freeze(self) -> ServiceLoad:
        """Returns the sum.

        Returns:
            The load of all instances that were added.
        """
        streams = {workspace: WorkspaceStreams(*row) for workspace, row in self.streams.items()}
        return ServiceLoad(streams, self.arrivals, *self.signals)
