"""Decision to stop sending to the caller because another entry owns the answer."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["StopDelivery"]


@dataclass(frozen=True, slots=True)
class StopDelivery:
    """Decision to stop sending to the caller because another entry owns the answer."""

    epoch: int
    """Higher epoch that the partner reported."""
