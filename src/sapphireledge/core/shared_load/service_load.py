"""Load of one service as one or several instances have seen it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sapphireledge.core.shared_load.workspace_streams import WorkspaceStreams

__all__ = ["ServiceLoad"]


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Load of one service as some instances have seen it; all amounts are decayed sums."""

    streams: Mapping[str, WorkspaceStreams] = field(default_factory=dict)
    """Streams by workspace."""

    arrivals: Mapping[tuple[int, str], float] = field(default_factory=dict)
    """Arrivals of plain requests by rank and workspace; what is not listed by workspace is summed
    under an empty one."""

    rejections: float = 0.0
    """Rejections by full servers."""

    responses: float = 0.0
    """Responses to plain requests."""

    response_time: float = 0.0
    """Sum of their response times as shares of the latency target."""

    @property
    def mean_response_time(self) -> float:
        """Mean response time as a share of the latency target, 0 without responses."""
        return self.response_time / self.responses if self.responses > 0.0 else 0.0
