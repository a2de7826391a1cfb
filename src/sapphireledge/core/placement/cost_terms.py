"""Terms of the cost of an engine for a stream."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CostTerms"]


@dataclass(frozen=True, slots=True)
class CostTerms:
    """Terms of the cost of an engine for a stream, in typical prompts that are processed there."""

    ahead: float
    """What the engine processes before the stream."""

    own_work: float
    """What the engine has to process of the stream itself, after what it probably keeps."""

    running: float
    """Delay of the generations that run at the engine."""

    remote: float
    """Distance of an engine in another data centre."""

    memory: float
    """Lack of memory for the whole stream."""

    @property
    def total(self) -> float:
        """The cost; the engine with the lowest one is preferred."""
        return self.ahead + self.own_work + self.running + self.remote + self.memory
