"""Decayed token usage of each workspace across the fleet."""

from __future__ import annotations

from math import log
from typing import TYPE_CHECKING

from sapphireledge.core.admission.usage_changes import UsageChanges
from sapphireledge.core.decay import (
    ZERO_LEVEL,
    DecayedSum,
    amount_from_level,
    level_from_amount,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

__all__ = ["UsageLedger"]

MIN_USAGE = 0.5
"""Usage in tokens below which the entry of a workspace is dropped."""

MIN_PRUNE = 1024
"""Number of entries below which pruning would not pay off."""


class UsageLedger:
    """Decayed token usage of each workspace, from this instance and from others.

    Reports of other instances carry absolute amounts at the time of the report. So applying one
    twice has no further effect, the order of reports of different sources does not matter, and a
    lost or repeated heartbeat causes no lasting error.

    Each amount is stored as one float (see `level_from_amount`).
    """

    def __init__(self, half_life: float):
        self._half_life = half_life
        self._local: dict[str, float] = {}
        self._total: dict[str, float] = {}
        self._sources: dict[str, dict[str, float]] = {}
        self._lost: frozenset[str] = frozenset()
        self._scale = 1.0
        self._sum = DecayedSum(half_life / log(2.0))
        self._changed: dict[str, int] = {}
        self._sequence = 0
        self._prune_size = MIN_PRUNE
        self._source_prune_sizes: dict[str, int] = {}
        self._decrease_callbacks: list[Callable[[str], None]] = []

    def charge(self, now: float, workspace: str, tokens: float) -> None:
        """Charges tokens that this instance uses for a workspace.

        Args:
            now: Current time in seconds.
            workspace: Name of the workspace.
            tokens: Tokens to charge; negative to correct an estimate that was too high.
        """
        before = self._amount(now, self._local, workspace)
        after = max(0.0, before + tokens)
        self._local[workspace] = level_from_amount(now, after, self._half_life)
        self._sequence += 1
        # Moves the workspace to the end, so that `changes` can read the latest changes first.
        self._changed.pop(workspace, None)
        self._changed[workspace] = self._sequence
        self._adjust_total(now, workspace, after - before)
        if len(self._total) + len(self._local) > self._prune_size:
            self._prune(now)

    def merge_peer(self, now: float, peer: str, usage: Mapping[str, float]) -> None:
        """Merges a usage report of another instance.

        Args:
            now: Current time in seconds.
            peer: Name of the source: an instance, or the data centres that the report aggregates.
                Reports of two representatives of the same data centres must use the same name.
            usage: Decayed tokens of each workspace that changed.
        """
        known = self._sources.setdefault(peer, {})
        counted = peer not in self._lost
        for workspace, amount in usage.items():
            before = self._amount(now, known, workspace)
            if amount >= MIN_USAGE:
                known[workspace] = level_from_amount(now, amount, self._half_life)
            else:
                known.pop(workspace, None)
                amount = 0.0
            if counted:
                self._adjust_total(now, workspace, amount - before)
        if len(known) > self._source_prune_sizes.get(peer, MIN_PRUNE):
            self._drop_decayed(now, known)
            self._source_prune_sizes[peer] = 2 * max(MIN_PRUNE, len(known))

    def set_coverage(
        self, now: float, reporting: int, known: int, lost: Iterable[str] = ()
    ) -> None:
        """Sets the part of the fleet that reports its usage to this instance.

        Total usage is scaled by known / reporting, on the assumption that the other instances serve
        the same mix. The last reports of lost sources no longer count, because the scale replaces
        them.

        Args:
            now: Current time in seconds.
            reporting: Number of instances whose usage is received, including this one.
            known: Last known number of instances.
            lost: Names of the sources that no longer report.
        """
        lost = frozenset(lost)
        for peer in lost - self._lost:
            self._apply_source(now, peer, -1.0)
        for peer in self._lost - lost:
            self._apply_source(now, peer, 1.0)
        self._lost = lost
        self._scale = max(1.0, known / max(1, reporting))

    def remove_peer(self, now: float, peer: str) -> None:
        """Removes a source that left permanently; its past usage decays in the totals.

        Args:
            now: Current time in seconds.
            peer: Name of the source.
        """
        if peer in self._lost:
            self._lost -= {peer}
        self._sources.pop(peer, None)
        self._source_prune_sizes.pop(peer, None)

    def usage(self, now: float, workspace: str) -> float:
        """Estimates the usage of a workspace across the fleet.

        Args:
            now: Current time in seconds.
            workspace: Name of the workspace.

        Returns:
            Decayed tokens.
        """
        return self._scale * self._amount(now, self._total, workspace)

    def usages(self, now: float, workspaces: Iterable[str]) -> list[float]:
        """Estimates the usage of several workspaces across the fleet.

        Args:
            now: Current time in seconds.
            workspaces: Names of the workspaces.

        Returns:
            Decayed tokens of each workspace, in the same order.
        """
        shift, scale, levels = now / self._half_life, self._scale, self._total
        return [scale * 2.0 ** (levels.get(w, ZERO_LEVEL) - shift) for w in workspaces]

    def local_usage(self, now: float, workspace: str) -> float:
        """Returns the usage of a workspace through this instance.

        Args:
            now: Current time in seconds.
            workspace: Name of the workspace.

        Returns:
            Decayed tokens.
        """
        return self._amount(now, self._local, workspace)

    def level(self, workspace: str) -> float:
        """Returns the sort key of a workspace, which is constant while its usage decays.

        It omits the scale of `set_coverage`, which is the same for all workspaces.

        Args:
            workspace: Name of the workspace.

        Returns:
            Level of its usage; the lowest is served first.
        """
        return self._total.get(workspace, ZERO_LEVEL)

    def changes(self, now: float, after: int, limit: int | None = None) -> UsageChanges:
        """Collects the local usage changes to send in a heartbeat.

        Args:
            now: Current time in seconds.
            after: Sequence number of the last changes that the receiver acknowledged; 0 for all.
            limit: Maximum number of workspaces; those charged most recently are kept.

        Returns:
            Local usage of the workspaces charged since then, and their sequence number.
        """
        usage: dict[str, float] = {}
        for workspace in reversed(self._changed):
            if self._changed[workspace] <= after or len(usage) == limit:
                break
            usage[workspace] = self._amount(now, self._local, workspace)
        return UsageChanges(usage, self._sequence)

    def scope_usage(
        self, now: float, workspaces: Iterable[str], members: Iterable[str]
    ) -> dict[str, float]:
        """Sums local usage and that of some sources, for a report on a data centre.

        Args:
            now: Current time in seconds.
            workspaces: Names of the workspaces to report.
            members: Sources that belong to the data centre.

        Returns:
            Decayed tokens of each workspace.
        """
        parts = [self._local, *(self._sources[name] for name in members if name in self._sources)]
        return {w: sum(self._amount(now, part, w) for part in parts) for w in workspaces}

    def mean_usage(self, now: float) -> float:
        """Computes the mean usage of the workspaces that have any.

        Args:
            now: Current time in seconds.

        Returns:
            Decayed tokens per workspace, across the fleet.
        """
        return self._scale * self._sum.value(now) / max(1, len(self._total))

    def workspaces(self) -> tuple[str, ...]:
        """Lists the workspaces that have usage.

        Returns:
            Names of the workspaces.
        """
        return tuple(self._total)

    def watch_decreases(self, callback: Callable[[str], None]) -> Callable[[], None]:
        """Registers a callback for decreases of the level of a workspace.

        A heap ordered by level detects increases when it checks its top entry, but must be notified
        of decreases.

        Args:
            callback: Called with the name of the workspace.

        Returns:
            Function that removes the callback.
        """
        self._decrease_callbacks.append(callback)
        return lambda: self._decrease_callbacks.remove(callback)

    def _amount(self, now: float, levels: dict[str, float], workspace: str) -> float:
        """Returns the amount of a workspace in a table of levels."""
        level = levels.get(workspace)
        return 0.0 if level is None else amount_from_level(now, level, self._half_life)

    def _adjust_total(self, now: float, workspace: str, change: float) -> None:
        """Changes the total of a workspace and reports a decrease to the callbacks."""
        total = max(0.0, self._amount(now, self._total, workspace) + change)
        self._sum.add(now, change)
        if total >= MIN_USAGE:
            self._total[workspace] = level_from_amount(now, total, self._half_life)
        else:
            self._total.pop(workspace, None)
        if change < 0.0:
            for callback in self._decrease_callbacks:
                callback(workspace)

    def _apply_source(self, now: float, peer: str, sign: float) -> None:
        """Adds a source to the totals (`sign` = 1) or subtracts it (`sign` = -1)."""
        known = self._sources.get(peer, {})
        for workspace in known:
            self._adjust_total(now, workspace, sign * self._amount(now, known, workspace))

    def _prune(self, now: float) -> None:
        """Drops decayed entries; the doubling threshold makes the amortised cost constant."""
        self._drop_decayed(now, self._local)
        self._drop_decayed(now, self._total)
        for workspace in [w for w in self._changed if w not in self._local]:
            del self._changed[workspace]
        self._prune_size = 2 * max(MIN_PRUNE, len(self._total) + len(self._local))

    def _drop_decayed(self, now: float, levels: dict[str, float]) -> None:
        """Drops the entries of a table that have decayed below `MIN_USAGE`."""
        oldest = level_from_amount(now, MIN_USAGE, self._half_life)
        for workspace in [w for w, level in levels.items() if level < oldest]:
            del levels[workspace]
