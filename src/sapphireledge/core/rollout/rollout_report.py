"""Counts and position of one instance in a roll-out, which all instances read."""

from __future__ import annotations

from typing import Any

import msgspec

from sapphireledge.core.rollout.version_counts import VersionCounts
from sapphireledge.errors import ErrorKind, Failure

__all__ = ["RolloutReport"]


class RolloutReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """Counts and position of one instance in a roll-out; a later report replaces an earlier one."""

    instance: str
    """Instance that reports."""

    order_id: str
    """Order to which the counts belong."""

    incarnation: str
    """Identity of the start of the instance; its counts and sequence numbers begin at 0 with it."""

    sequence: int
    """Number of the report within the incarnation, rising."""

    age: float
    """Seconds since the order, as far as the instance knows."""

    requests: int = 0
    """Requests sent to servers of the service, retries not counted."""

    old: dict[str, VersionCounts] = {}
    """Counts of the old version by route."""

    new: dict[str, VersionCounts] = {}
    """Counts of the new version by route."""

    bad_servers: dict[str, int] = {}
    """Failures and slow answers of the new version by server, for the first servers with any."""

    new_servers: int = 0
    """Servers of the new version from which this instance had an answer."""

    old_in_flight: int = 0
    """Attempts at servers of the old version that have not ended."""

    new_only: bool = False
    """The instance sends nothing to the old version any more."""

    verdict: str = ""
    """Why the instance holds the new version to be bad; empty otherwise."""

    unreported: tuple[str, ...] = ()
    """Instances that this one saw alive since the order and that have not reported on it."""

    def to_builtins(self) -> Any:
        """Converts the report for storage.

        Returns:
            A value that JSON can encode.
        """
        return msgspec.to_builtins(self)

    @staticmethod
    def from_builtins(value: Any) -> RolloutReport | Failure:
        """Validates a stored report.

        Args:
            value: Output of `to_builtins`; unknown fields are ignored.

        Returns:
            The report, or a failure of kind invalid_request.
        """
        try:
            return msgspec.convert(value, RolloutReport)
        except (msgspec.ValidationError, RecursionError) as exc:
            return Failure(ErrorKind.INVALID_REQUEST, f"invalid roll-out report: {exc}")
