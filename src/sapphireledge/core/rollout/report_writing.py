"""When the report of an instance is due, and which bad answers are not stored yet."""

from __future__ import annotations

from collections import deque
from math import inf

from sapphireledge.core.rollout.rollout_limits import RolloutLimits

__all__ = ["ReportWriting"]

MOST_PENDING = 64
"""Reports that are remembered until they are stored; older ones never will be."""


class ReportWriting:
    """When the report of an instance is due, and which bad answers are not stored yet."""

    def __init__(self, limits: RolloutLimits) -> None:
        """Creates the state before the first report.

        Args:
            limits: Limits.
        """
        self._limits = limits
        self._made_at = -inf
        self._stored_state: tuple[int, int, bool, bool, str] | None = None
        self._stored_at = -inf
        self._stored_bad = 0
        self._unstored_bad: deque[tuple[float, int]] = deque()
        self._pending: deque[tuple[int, float, tuple[int, int, bool, bool, str]]] = deque(
            maxlen=MOST_PENDING
        )

    def on_bad(self, now: float, number: int) -> None:
        """Takes in a bad answer of the new version.

        Args:
            now: Current time in seconds.
            number: Bad answers so far, this one included.
        """
        self._unstored_bad.append((now, number))

    def on_made(self, now: float, sequence: int, state: tuple[int, int, bool, bool, str]) -> None:
        """Takes in that a report was made.

        Args:
            now: Current time in seconds.
            sequence: Its number.
            state: What it says, as handed to `is_due`.
        """
        self._made_at = now
        self._pending.append((sequence, now, state))

    def on_stored(self, sequence: int) -> None:
        """Takes in that a report reached the store.

        Args:
            sequence: Its number.
        """
        while self._pending and self._pending[0][0] <= sequence:
            made, made_at, state = self._pending.popleft()
            if made == sequence:
                self._stored_at = max(self._stored_at, made_at)
                self._stored_bad = max(self._stored_bad, state[0])
                self._stored_state = state
        while self._unstored_bad and self._unstored_bad[0][1] <= self._stored_bad:
            self._unstored_bad.popleft()

    def is_due(self, now: float, state: tuple[int, int, bool, bool, str], instances: int) -> bool:
        """Whether a report is due; what could not be stored is due again.

        Args:
            now: Current time in seconds.
            state: Bad answers of the new version, its answers, whether the instance sends nothing
                to the old version, whether it has work there, and its verdict.
            instances: Number of instances.

        Returns:
            Whether it is due.
        """
        limits = self._limits
        age = now - self._made_at
        if age < limits.report_interval:
            return False
        known = self._stored_state
        if known is None or state[0] != known[0] or state[2:] != known[2:]:
            return True
        interval = max(limits.report_interval, instances / limits.reports_per_second)
        if state[1] != known[1] and age >= interval:
            return True
        return age >= max(limits.heartbeat, interval)

    def is_publishing(self, now: float, instances: int) -> bool:
        """Whether bad answers at this instance reach the others soon enough.

        Args:
            now: Current time in seconds.
            instances: Number of instances.

        Returns:
            Whether they do, as far as is known.
        """
        limits = self._limits
        heartbeat = max(limits.heartbeat, instances / limits.reports_per_second)
        if now - self._stored_at > heartbeat + limits.publish_limit:
            return False
        oldest = self._unstored_bad[0][0] if self._unstored_bad else now
        return now - oldest <= limits.publish_limit
