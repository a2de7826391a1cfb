"""Deaths and clearings that one instance shares with the others."""

from __future__ import annotations

from typing import Any

import msgspec

from sapphireledge.core.quarantine.clearing_record import ClearingRecord
from sapphireledge.core.quarantine.death_record import DeathRecord
from sapphireledge.errors import ErrorKind, Failure

__all__ = ["CrashReport"]

MAX_DEATHS = 32
"""Newest deaths kept in a report; a request or part is proven to crash engines by far fewer."""

MAX_CLEARINGS = 64
"""Newest clearings kept in a report."""


class CrashReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """Deaths and clearings that one instance detected; it holds the newest ones."""

    deaths: tuple[DeathRecord, ...] = ()
    """Deaths in chronological order."""

    clearings: tuple[ClearingRecord, ...] = ()
    """Clearings in chronological order, one for each request or part."""

    def merge(self, other: CrashReport, oldest: float) -> CrashReport:
        """Merges two versions of a report.

        Args:
            other: The other version.
            oldest: Unix time in seconds up to which deaths and clearings are dropped.

        Returns:
            The merged report.
        """
        deaths: dict[tuple[str, str], DeathRecord] = {}
        for death in (*self.deaths, *other.deaths):
            known = deaths.get(death.key)
            deaths[death.key] = death if known is None else known.merge(death)
        clearings: dict[str, ClearingRecord] = {}
        for clearing in (*self.clearings, *other.clearings):
            latest = clearings.get(clearing.fingerprint)
            if latest is None or clearing.time_unix > latest.time_unix:
                clearings[clearing.fingerprint] = clearing
        kept_deaths = [death for death in deaths.values() if death.time_unix > oldest]
        kept_clearings = [c for c in clearings.values() if c.time_unix > oldest]
        kept_deaths.sort(key=lambda death: (death.time_unix, death.key))
        kept_clearings.sort(key=lambda clearing: (clearing.time_unix, clearing.fingerprint))
        return CrashReport(tuple(kept_deaths[-MAX_DEATHS:]), tuple(kept_clearings[-MAX_CLEARINGS:]))

    def to_builtins(self) -> Any:
        """Converts the report for storage.

        Returns:
            A value that JSON can encode.
        """
        return msgspec.to_builtins(self)

    @staticmethod
    def from_builtins(value: Any) -> CrashReport | Failure:
        """Validates a stored report.

        Args:
            value: Output of `to_builtins`; unknown fields are ignored.

        Returns:
            The report, or a failure of kind invalid_request.
        """
        try:
            return msgspec.convert(value, CrashReport)
        except (msgspec.ValidationError, RecursionError) as exc:
            return Failure(ErrorKind.INVALID_REQUEST, f"invalid crash report: {exc}")
