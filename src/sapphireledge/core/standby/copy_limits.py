"""Limits of copies of running generations."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CopyLimits"]


@dataclass(frozen=True, slots=True)
class CopyLimits:
    """Limits of copies of running generations; times are in seconds."""

    refresh_part: float = 0.5
    """Part of the lifetime of a copy after which it is refreshed; one refresh may fail and be
    repeated before the copy is dropped."""

    least_remaining: float = 1.0
    """Shortest remaining time of a generation that is copied. A transfer and the notice of a loss
    take some tenths of a second, and the end of a short rest is soon generated again."""

    most_failures: int = 2
    """Failed transfers after which a generation is left unprotected: engines have no room."""

    retry_delay: float = 0.5
    """Time between two attempts at a transfer."""

    most_at_once: int = 4
    """Transfers of one instance at the same time. The loss of a data centre takes the copies of
    many generations, and transfers queue on the links of the engines."""
