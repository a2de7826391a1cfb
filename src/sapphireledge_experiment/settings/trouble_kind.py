"""What a trouble does."""

from __future__ import annotations

from enum import Enum

__all__ = ["TroubleKind"]


class TroubleKind(Enum):
    """What a trouble does to the machines that it hits."""

    ENGINES_DIE = "engines_die"
    """Engines end with a connection reset; others start in their place."""

    ENGINES_VANISH = "engines_vanish"
    """Engines end without a reset, like machines that lose their power; others start later."""

    ENGINES_SILENT = "engines_silent"
    """Engines send nothing for the duration, then go on."""

    ENGINES_SLOW = "engines_slow"
    """Steps of engines take `factor` times as long for the duration."""

    ENGINES_REJECT = "engines_reject"
    """Engines reject each new stream for the duration and ask for a pause of `pause`."""

    ENGINES_LIMITED = "engines_limited"
    """Engines name a limit of `factor` requests per second for the duration."""

    ENGINES_LEAVE = "engines_leave"
    """Engines announce that they leave and end after the duration."""

    PLAIN_DIE = "plain_die"
    """Plain servers end with a connection reset; others start in their place."""

    PLAIN_LIMITED = "plain_limited"
    """Plain servers name a limit of `factor` requests per second for the duration."""

    INSTANCES_DIE = "instances_die"
    """Instances end with a connection reset; others start in their place."""
