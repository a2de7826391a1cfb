"""Limits of the roll-out of a version."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["RolloutLimits"]


@dataclass(frozen=True, slots=True)
class RolloutLimits:
    """Limits of a roll-out; the first three are bounds of the deployment.

    Times are in seconds. The delays between a bad answer and the last request for the version add
    up to less than `rollback_delay`: publishing it, hearing of it, and the next evaluation.
    """

    exposed_share: float = 0.1
    """Largest share of a service's requests that a bad version may be given."""

    exposed_slack: float = 50.0
    """Requests that a bad version may be given beyond the share, over all instances."""

    rollback_delay: float = 5.0
    """Time after the 50th bad answer from which a bad version is given nothing."""

    longest_answer: float = 25.0
    """Time that the longest answers take; work at old servers may last so long after the move. A
    service whose routes permit less has a later move, and so more time to be compared."""

    trial_part: float = 0.3
    """Part of `exposed_share` that is used until there is evidence."""

    watch_part: float = 0.5
    """Part of `exposed_share` that is used afterwards. The rest covers a version that turns bad
    only when it is given most requests."""

    slack_part: float = 0.5
    """Part of `exposed_slack` that is used; the rest covers rounding at many instances."""

    slack_share: float = 0.4
    """Largest share of the requests that is given to the new version by use of the slack; the old
    one needs requests for a comparison."""

    fleet_part: float = 0.7
    """Part of both that all instances may have used together, as far as is known, before they
    pause: a second line for instances that start again and again."""

    publish_part: float = 0.25
    """Part of `rollback_delay` after which an instance whose bad answers are not stored stops."""

    hear_part: float = 0.6
    """Part of `rollback_delay` after which an instance that does not hear the others stops."""

    report_part: float = 0.1
    """Part of `rollback_delay` between two reports at least."""

    heartbeat: float = 2.0
    """Time after which an unchanged report is written again."""

    reports_per_second: float = 150.0
    """Reports of all instances together, apart from those with bad answers; the store's writing
    rate is shared with all else."""

    gone_after: float = 10.0
    """Time without a report after which an instance is cut off or gone."""

    @property
    def publish_limit(self) -> float:
        """Time for which a bad answer may be unpublished while the new version is used."""
        return self.publish_part * self.rollback_delay

    @property
    def hear_limit(self) -> float:
        """Age of the reports of others up to which the new version is used."""
        return self.hear_part * self.rollback_delay

    @property
    def report_interval(self) -> float:
        """Time between two reports of an instance at least."""
        return self.report_part * self.rollback_delay
