"""Decision to look for another partner."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ChangePartner"]


@dataclass(frozen=True, slots=True)
class ChangePartner:
    """Decision to look for another partner."""

    reason: str
    """What is wrong with the current one."""
