"""Decides when the memory of a running generation is copied to another engine.

Load pattern: engines of one data centre after the other are lost within seconds. Engines send the
memory of a generation to a standby while they generate; once the standby itself is lost, nothing
protects the generation, and the loss of its engine seconds later means that the whole prompt is
processed again, while its reader waits. Here the generation is copied to a further engine as soon
as the loss of its standby is known.

Copies on request expire, so they are refreshed while the generation runs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.core.standby.copy_step import CopyStep

if TYPE_CHECKING:
    from sapphireledge.core.standby.copy_limits import CopyLimits
    from sapphireledge.core.standby.protection import Protection

__all__ = ["CopyRule"]


class CopyRule:
    """Decides about the copies of running generations."""

    def __init__(self, limits: CopyLimits) -> None:
        """Creates the rule.

        Args:
            limits: Limits.
        """
        self._limits = limits

    def decide(
        self, now: float, protection: Protection, lifetime: float, under_way: int
    ) -> CopyStep:
        """Decides what is done about the copy of a generation.

        Args:
            now: Current time in seconds.
            protection: What protects the generation.
            lifetime: Seconds for which an engine keeps a copy that is not refreshed, 0 if engines
                do not copy on request.
            under_way: Transfers of this instance that have not ended.

        Returns:
            The step.
        """
        limits = self._limits
        is_continuous = protection.copied_at is None
        if lifetime <= 0.0 or (protection.is_held and is_continuous):
            return CopyStep.KEEP
        if protection.failures >= limits.most_failures or under_way >= limits.most_at_once:
            return CopyStep.KEEP
        if now - protection.tried_at < limits.retry_delay:
            return CopyStep.KEEP
        if protection.is_held:
            assert protection.copied_at is not None
            is_due = now - protection.copied_at >= limits.refresh_part * lifetime
            return CopyStep.REFRESH if is_due else CopyStep.KEEP
        is_short = protection.ends_at - now < limits.least_remaining
        return CopyStep.KEEP if is_short or protection.is_crowded else CopyStep.COPY
