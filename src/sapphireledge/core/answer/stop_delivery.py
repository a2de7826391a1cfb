"""Decision to send nothing more to the caller."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["StopDelivery"]


@dataclass(frozen=True, slots=True)
class StopDelivery:
    """Decision to send nothing more to the caller."""

    epoch: int
    """Higher epoch that the partner knows."""
