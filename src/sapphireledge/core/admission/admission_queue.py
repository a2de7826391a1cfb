"""Fair queue of the waiting first attempts of one rank."""

from __future__ import annotations

from collections import OrderedDict
from heapq import heapify, heappop, heappush
from math import log2
from typing import TYPE_CHECKING

from sapphireledge.core.decay import ZERO_LEVEL

if TYPE_CHECKING:
    from sapphireledge.core.admission.queued_work import QueuedWork
    from sapphireledge.core.admission.usage_ledger import UsageLedger

__all__ = ["AdmissionQueue"]

COMPACT_FACTOR = 4
"""Heap entries per waiting workspace above which stale entries are removed."""

MIN_COMPACT = 64
"""Heap length below which stale entries are not removed, because it would not pay off."""


class AdmissionQueue:
    """Fair queue of the waiting first attempts of one rank.

    The workspace with the lowest usage per weight is served first; within a workspace, work is
    served in order of arrival. A heap orders the waiting workspaces by the level of their usage,
    which changes only when usage is charged or corrected. An increase is detected when the entry
    reaches the top of the heap; a decrease is reported through `on_usage_decrease`. So a decision
    costs O(log n) in the number of waiting workspaces, and idle workspaces cost nothing.
    """

    def __init__(self, ledger: UsageLedger):
        self._ledger = ledger
        self._waiting: dict[str, OrderedDict[str, QueuedWork]] = {}
        self._weights: dict[str, float] = {}
        self._heap: list[tuple[float, int, str]] = []
        self._valid_sequences: dict[str, int] = {}
        self._sequence = 0
        self._by_length: dict[int, OrderedDict[str, None]] = {}
        self._max_length = 0
        self._backlogs: dict[str, int] = {}
        self.backlog = 0
        """Estimated cost of the waiting work in tokens."""
        self.size = 0
        """Number of waiting work items."""
        self.total_weight = 0.0
        """Sum of the weights of the waiting workspaces."""

    def push(self, work: QueuedWork) -> None:
        """Appends work to the queue of its workspace.

        Args:
            work: Work item to add.
        """
        queue = self._waiting.get(work.workspace)
        if queue is None:
            queue = self._waiting[work.workspace] = OrderedDict()
            self._weights[work.workspace] = work.weight
            self.total_weight += work.weight
            self._push_heap_entry(work.workspace)
        queue[work.work_id] = work
        self._update_length_group(work.workspace, len(queue) - 1, len(queue))
        self._update_totals(work, 1)

    def remove(self, work: QueuedWork) -> None:
        """Removes waiting work.

        Args:
            work: Work item in the queue.
        """
        workspace = work.workspace
        queue = self._waiting[workspace]
        del queue[work.work_id]
        self._update_length_group(workspace, len(queue) + 1, len(queue))
        self._update_totals(work, -1)
        if queue:
            return
        del self._waiting[workspace]
        del self._valid_sequences[workspace]
        self.total_weight -= self._weights.pop(workspace)

    def next_workspace(self) -> str | None:
        """Finds the workspace to serve next.

        Returns:
            Name of the workspace, or None if the queue is empty.
        """
        while self._heap:
            level, sequence, workspace = self._heap[0]
            if self._valid_sequences.get(workspace) != sequence:
                heappop(self._heap)
                continue
            if self.level(workspace) <= level:
                return workspace
            heappop(self._heap)
            self._push_heap_entry(workspace)
        return None

    def level(self, workspace: str) -> float:
        """Computes the sort key of a workspace.

        Args:
            workspace: Name of a waiting workspace.

        Returns:
            Level of its usage per weight; the lowest is served first.
        """
        level = self._ledger.level(workspace)
        return level if level == ZERO_LEVEL else level - log2(self._weights[workspace])

    def on_usage_decrease(self, workspace: str) -> None:
        """Updates the position of a workspace after its usage decreased.

        Args:
            workspace: Name of any workspace.
        """
        if workspace in self._waiting:
            self._push_heap_entry(workspace)

    def backlog_of(self, workspace: str) -> int:
        """Returns the backlog of a workspace.

        Args:
            workspace: Name of any workspace.

        Returns:
            Estimated cost of its waiting work in tokens.
        """
        return self._backlogs.get(workspace, 0)

    def oldest_work_of(self, workspace: str) -> QueuedWork:
        """Returns the oldest waiting work item of a workspace.

        Args:
            workspace: Name of a waiting workspace.

        Returns:
            Its oldest work item.
        """
        return next(iter(self._waiting[workspace].values()))

    def length_of(self, workspace: str) -> int:
        """Returns the queue length of a workspace.

        Args:
            workspace: Name of any workspace.

        Returns:
            Number of its waiting work items.
        """
        return len(self._waiting.get(workspace, ()))

    def weight_of(self, workspace: str) -> float:
        """Returns the weight of a workspace.

        Args:
            workspace: Name of a waiting workspace.

        Returns:
            Its weight.
        """
        return self._weights[workspace]

    def sample(self, size: int) -> tuple[list[str], float]:
        """Samples the waiting workspaces.

        Args:
            size: Approximate sample size.

        Returns:
            Distinct names, and the number of waiting workspaces that each of them represents.
        """
        if len(self._waiting) <= size:
            return list(self._waiting), 1.0
        # A fixed stride through the heap covers workspaces of all levels.
        step = len(self._heap) // size
        entries = self._heap[::step]
        names = [
            name for _, sequence, name in entries if self._valid_sequences.get(name) == sequence
        ]
        return names, len(self._waiting) / max(1, len(names))

    def displacement_candidate(self) -> QueuedWork | None:
        """Finds the work item to displace when the queue is full.

        Returns:
            The newest work item of the workspace with the longest queue, or None if all are empty.
        """
        if not self._max_length:
            return None
        workspace = next(iter(self._by_length[self._max_length]))
        return next(reversed(self._waiting[workspace].values()))

    def _push_heap_entry(self, workspace: str) -> None:
        """Adds a workspace to the heap at its current level and invalidates its previous entry."""
        self._sequence += 1
        self._valid_sequences[workspace] = self._sequence
        heappush(self._heap, (self.level(workspace), self._sequence, workspace))
        limit = max(MIN_COMPACT, COMPACT_FACTOR * len(self._waiting))
        if len(self._heap) > limit:
            self._heap = [
                entry for entry in self._heap if self._valid_sequences.get(entry[2]) == entry[1]
            ]
            heapify(self._heap)

    def _update_length_group(self, workspace: str, before: int, after: int) -> None:
        """Moves a workspace from one queue-length group to another."""
        if before:
            group = self._by_length[before]
            del group[workspace]
            if not group:
                del self._by_length[before]
        if after:
            self._by_length.setdefault(after, OrderedDict())[workspace] = None
        if after > self._max_length:
            self._max_length = after
        elif self._max_length not in self._by_length:
            # Lengths change by one, so the next shorter group has members unless nothing waits.
            self._max_length = after

    def _update_totals(self, work: QueuedWork, sign: int) -> None:
        """Adds a work item to the totals (`sign` = 1) or subtracts it (`sign` = -1)."""
        self.size += sign
        self.backlog += sign * work.cost
        remaining = self._backlogs.get(work.workspace, 0) + sign * work.cost
        if remaining:
            self._backlogs[work.workspace] = remaining
        else:
            self._backlogs.pop(work.workspace, None)
