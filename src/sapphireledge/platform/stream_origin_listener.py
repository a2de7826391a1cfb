"""Applies the stored origins of all instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from sapphireledge.core.origins import OriginReport
from sapphireledge.errors import Failure
from sapphireledge.gateway import GatewayEvent

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sapphireledge.feed import StoredEntry
    from sapphireledge.gateway import StreamOrigins

__all__ = ["StreamOriginListener"]

MAX_REJECTED = 1024
"""Largest number of names of reports that cannot be decoded, of which only the first is logged."""


class StreamOriginListener:
    """Implements `KindListener` for the origins of streams.

    Origins of a removed report stay known until they expire.
    """

    def __init__(self, origins: StreamOrigins) -> None:
        """Creates the listener.

        Args:
            origins: Receiver of the reports.
        """
        self._origins = origins
        self._rejected: set[str] = set()
        self._log = structlog.get_logger()

    def replace_all(self, entries: Sequence[StoredEntry]) -> None:
        """Applies a full listing; see `KindListener.replace_all`."""
        reports = {entry.name: self._decode(entry) for entry in entries}
        self._origins.on_reports(reports, is_listing=True)

    def apply(self, entries: Sequence[StoredEntry]) -> None:
        """Applies changes; see `KindListener.apply`."""
        reports = {entry.name: self._decode(entry) for entry in entries}
        self._origins.on_reports(reports, is_listing=False)

    def confirm(self, as_of: float) -> None:
        """Passes on how recent the origins are."""
        self._origins.on_reports_confirmed(as_of)

    def on_store_recovered(self, outage: float) -> None:
        """Does nothing: origins do not expire in the store."""

    def on_store_restored(self) -> None:
        """Has the reports read again, as some may be lost."""
        self._origins.on_store_restored()

    def _decode(self, entry: StoredEntry) -> OriginReport:
        """Decodes a report; one that is odd counts as empty, and the first such one is logged."""
        if entry.removed:
            return OriginReport()
        report = OriginReport.from_builtins(entry.spec)
        if isinstance(report, OriginReport):
            return report
        self._reject(entry.name, report)
        return OriginReport()

    def _reject(self, name: str, failure: Failure) -> None:
        """Logs the first report of a name that cannot be decoded."""
        if name not in self._rejected and len(self._rejected) < MAX_REJECTED:
            self._rejected.add(name)
            self._log.warning(GatewayEvent.ORIGINS_REJECTED, report=name, reason=failure.reason)
