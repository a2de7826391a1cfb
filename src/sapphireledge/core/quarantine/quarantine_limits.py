"""Limits of the quarantine."""

from __future__ import annotations

from typing import Protocol

__all__ = ["QuarantineLimits"]


class QuarantineLimits(Protocol):
    """Limits of the quarantine; each interface reads them from its own settings."""

    @property
    def isolate_after(self) -> int:
        """Deaths after which a request is run in isolation."""
        ...

    @property
    def condemn_after(self) -> int:
        """Deaths after which a request or a part of a prompt is refused."""
        ...

    @property
    def condemn_scope_after(self) -> int:
        """Deaths after which all requests of a scope may be refused."""
        ...

    @property
    def scope_retention(self) -> float:
        """Seconds for which a death counts against a scope."""
        ...

    @property
    def burst_window(self) -> float:
        """Seconds within which unrelated deaths are attributed to one common cause."""
        ...

    @property
    def burst_size(self) -> int:
        """Unrelated deaths within `burst_window` that indicate a common cause."""
        ...

    @property
    def part_retention(self) -> float:
        """Seconds for which a death counts against a part of a prompt."""
        ...

    @property
    def retention(self) -> float:
        """Seconds for which deaths and clearings are kept."""
        ...
