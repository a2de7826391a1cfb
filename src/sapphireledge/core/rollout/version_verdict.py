"""Result of the comparison of two versions."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["VersionVerdict"]


@dataclass(frozen=True, slots=True)
class VersionVerdict:
    """Result of the comparison of two versions."""

    is_bad: bool = False
    """The new version fails or is slow far more often than the old one would."""

    is_suspect: bool = False
    """It may be so; the share of the new version must not rise."""

    reason: str = ""
    """What was found, for the log."""

    evidence: Mapping[str, float] = field(default_factory=dict)
    """Figures behind it, for the log."""
