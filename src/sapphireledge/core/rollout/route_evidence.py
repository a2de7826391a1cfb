"""What the answers in a window say about the new version on one route."""

from __future__ import annotations

from dataclasses import dataclass, field

from sapphireledge.core.rollout.version_counts import VersionCounts

__all__ = ["CountDelta", "RouteEvidence"]

NO_COUNTS = VersionCounts()


@dataclass(slots=True)
class CountDelta:
    """Answers of both versions at one instance within a window."""

    new_ended: int
    new_bad: int
    old_ended: int
    old_bad: int


@dataclass(slots=True)
class RouteEvidence:
    """Answers on one route within a window, over all instances."""

    new_ended: int = 0
    """Answers of the new version."""

    new_bad: int = 0
    """Failures and slow answers among them."""

    new_failed: int = 0
    """Failures among them."""

    old_ended: int = 0
    """Answers of the old version."""

    old_bad: int = 0
    """Failures and slow answers among them."""

    old_ended_before: int = 0
    """Answers of the old version since the order."""

    old_bad_before: int = 0
    """Failures and slow answers among those."""

    instances: list[CountDelta] = field(default_factory=list)
    """The same by instance, for those that had answers of the new version."""

    def add(
        self,
        new: VersionCounts,
        new_base: VersionCounts,
        old: VersionCounts,
        old_base: VersionCounts,
    ) -> None:
        """Adds an instance.

        Args:
            new: Counts of the new version.
            new_base: The same at the start of the window.
            old: Counts of the old version.
            old_base: The same at the start of the window.
        """
        delta = CountDelta(
            new.ended - new_base.ended,
            new.bad - new_base.bad,
            old.ended - old_base.ended,
            old.bad - old_base.bad,
        )
        self.new_ended += delta.new_ended
        self.new_bad += delta.new_bad
        self.new_failed += new.failed - new_base.failed
        self.old_ended += delta.old_ended
        self.old_bad += delta.old_bad
        self.old_ended_before += old.ended
        self.old_bad_before += old.bad
        if delta.new_ended:
            self.instances.append(delta)
