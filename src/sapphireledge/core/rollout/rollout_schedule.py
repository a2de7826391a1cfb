"""When a roll-out passes from one stage to the next."""

from __future__ import annotations

from dataclasses import dataclass

from sapphireledge.core.rollout.rollout_limits import RolloutLimits

__all__ = ["RolloutSchedule"]

REPEATABLE_PART = 0.1
"""Part of the duration after which requests that must not run twice are tried at the latest."""

PLAIN_PART = 0.2
"""Part of the duration after which streams are tried at the latest."""

EARLIEST_MOVE_PART = 0.25
"""Part of the duration for which a version is at least observed."""

LATEST_MOVE_PART = 0.7
"""Part of the duration after which the move starts although more time is left, for the case that it
is interrupted."""

EARLIEST_FINISH_PART = 0.5
"""Part of the duration after which the old version may be left, however long answers take."""

RAMP_PART = 0.08
"""Part of the duration that the move takes."""

SHORTEST_RAMP, LONGEST_RAMP = 4.0, 12.0
"""Bounds of the move in seconds: two steps that are each observed, and no longer than is needed for
the servers to warm up."""

RESERVE_PART = 0.05
"""Part of the duration that is kept for the final write."""

SHORTEST_RESERVE, LONGEST_RESERVE = 4.0, 10.0
"""Bounds of that reserve in seconds: instances hear of an order after up to 3 s."""

SHORTEST_TAIL = 8.0
"""Seconds between the finish and the reserve at least, beside a ramp, in which the new version is
observed under the whole load and instances that were interrupted catch up."""

STREAM_MOVE_TIME = 6.0
"""Seconds before the reserve from which streams are moved rather than awaited."""


@dataclass(frozen=True, slots=True)
class RolloutSchedule:
    """Ages of an order, in seconds, at which it passes from one stage to the next.

    A version that turns bad late is only found while it is compared with the old one. So most of
    the duration is spent on observing it at a small share, and the move is late and quick.
    """

    plain_at: float
    """From here on, requests that must not run twice are tried too."""

    streams_at: float
    """From here on, streams are tried too."""

    move_at: float
    """Start of the move if the evidence is good."""

    latest_move_at: float
    """From here on, some evidence is enough, as a later move would miss the deadline."""

    ramp: float
    """Duration of the move."""

    move_streams_at: float
    """From here on, streams at old servers are moved."""

    force_at: float
    """From here on, instances without sign of life and remaining work are not waited for."""

    @staticmethod
    def plan(limits: RolloutLimits, duration: float) -> RolloutSchedule:
        """Plans the stages.

        Args:
            limits: Limits.
            duration: Seconds from the order to its deadline.

        Returns:
            The schedule.
        """
        ramp = min(max(RAMP_PART * duration, SHORTEST_RAMP), LONGEST_RAMP)
        reserve = min(max(RESERVE_PART * duration, SHORTEST_RESERVE), LONGEST_RESERVE)
        end = max(duration - reserve, 0.5 * duration)
        tail = max(limits.longest_answer, ramp + SHORTEST_TAIL)
        finish_at = max(EARLIEST_FINISH_PART * duration, end - tail)
        latest_move_at = max(finish_at - ramp, EARLIEST_MOVE_PART * duration)
        return RolloutSchedule(
            plain_at=REPEATABLE_PART * duration,
            streams_at=PLAIN_PART * duration,
            move_at=min(latest_move_at, LATEST_MOVE_PART * duration),
            latest_move_at=latest_move_at,
            ramp=ramp,
            move_streams_at=end - STREAM_MOVE_TIME,
            force_at=end,
        )
