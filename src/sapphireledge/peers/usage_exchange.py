"""Usage sent to peers: of this entry, of this data centre, and relayed from other data centres."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.core.membership import UsageChangeLog, UsageSums

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["OWN_SCOPE", "UsageExchange"]

OWN_SCOPE = ""
"""Scope of the usage of the sending entry alone."""


class UsageExchange:
    """Merges the usage of all sources and keeps a change log for each scope that is sent."""

    def __init__(self, own_name: str, data_centre: str, half_life: float) -> None:
        """Creates an empty exchange.

        Args:
            own_name: Name of this entry.
            data_centre: Data centre of this entry.
            half_life: Half-life of usage in seconds.
        """
        self._own_name = own_name
        self._data_centre = data_centre
        self._half_life = half_life
        self._local_sums = UsageSums(half_life)
        self._remote_sums: dict[str, UsageSums] = {}
        self._change_logs: dict[str, UsageChangeLog] = {}

    @property
    def relayed_scopes(self) -> tuple[str, ...]:
        """Other data centres whose totals this entry relays within its own data centre."""
        return tuple(self._remote_sums)

    def merge_peer(
        self, now: float, source: str, usage: Mapping[str, float], restarted: bool
    ) -> None:
        """Merges the usage of another entry in this data centre."""
        if restarted:
            self._local_sums.remove_source(source)
        self._local_sums.merge(now, source, usage)

    def merge_data_centre(self, now: float, scope: str, usage: Mapping[str, float]) -> None:
        """Merges the total of another data centre."""
        sums = self._remote_sums.setdefault(scope, UsageSums(self._half_life))
        sums.merge(now, scope, usage)

    def record_sample(
        self, now: float, usage: Mapping[str, float], is_representative: bool, limit: int
    ) -> None:
        """Records the changes since the last sample.

        Args:
            now: Current time in seconds.
            usage: Usage of this entry.
            is_representative: Whether this entry sends the total of its data centre.
            limit: Maximum number of changes recorded for each scope.
        """
        self._change_log(OWN_SCOPE).on_sample(now, usage, limit)
        if is_representative:
            self._local_sums.remove_source(self._own_name)
            self._local_sums.merge(now, self._own_name, usage)
            self._change_log(self._data_centre).on_sample(now, self._local_sums.total(now), limit)
        for scope, sums in self._remote_sums.items():
            self._change_log(scope).on_sample(now, sums.total(now), limit)

    def changes_after(
        self, now: float, scope: str, position: int, limit: int
    ) -> tuple[dict[str, float], int]:
        """Returns the oldest changes of one scope after a position, and their last position."""
        return self._change_log(scope).changes_after(now, position, limit)

    def _change_log(self, scope: str) -> UsageChangeLog:
        """Returns the change log of a scope, creating it if needed."""
        if scope not in self._change_logs:
            self._change_logs[scope] = UsageChangeLog(self._half_life)
        return self._change_logs[scope]
