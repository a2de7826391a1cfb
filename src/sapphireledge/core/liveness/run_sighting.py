"""What an engine's load report says about one run."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["RunSighting"]


@dataclass(frozen=True, slots=True)
class RunSighting:
    """What an engine's load report says about one run."""

    generated: int | None
    """Number of events that the run has generated, None if the report does not list the run."""

    restarted: bool = False
    """Whether the report comes from a later start of the engine than the run."""

    may_be_preempted: bool = False
    """Whether the engine has work that its report does not list, of which the run can be a part."""

    @property
    def looks_preempted(self) -> bool:
        """Whether the run is not listed and may go on by itself."""
        return self.generated is None and self.may_be_preempted
