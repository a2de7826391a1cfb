"""Waiting first tries of one rank, in the order of fairness."""

from __future__ import annotations

from collections import OrderedDict
from heapq import heapify, heappop, heappush
from math import log2
from typing import TYPE_CHECKING

from sapphireledge.core.admission._decay import ZERO_LEVEL

if TYPE_CHECKING:
    from sapphireledge.core.admission.queued_work import QueuedWork
    from sapphireledge.core.admission.usage_ledger import UsageLedger

__all__ = ["AdmissionQueue"]

COMPACT_FACTOR = 4
"""Heap entries per waiting workspace above which outdated entries are removed."""

MIN_COMPACT = 64
"""Heap length below which compaction is not worth a pass."""


class AdmissionQueue:
    """Waiting first tries of one rank.

    The workspace with the lowest usage per weight goes first; inside a workspace the order is that
    of arrival. A heap holds the waiting workspaces by the level of their usage, which changes only
    when usage is charged or corrected. A rise is found when the entry reaches the head; a fall is
    reported by `on_decrease`. So one decision costs O(log n) of the waiting workspaces, and idle
    workspaces cost nothing.
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
        """Number of waiting works."""
        self.total_weight = 0.0
        """Sum of the weights of the waiting workspaces."""

    def push(self, work: QueuedWork) -> None:
        """Adds work at the end of its workspace.

        Args:
            work: The work.
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
            work: Work that is in the queue.
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
        """Finds the workspace that goes first.

        Returns:
            Its name, or None if nothing waits.
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
        """Computes the order of a workspace.

        Args:
            workspace: Name of a waiting workspace.

        Returns:
            Level of its usage per weight.
        """
        level = self._ledger.level(workspace)
        return level if level == ZERO_LEVEL else level - log2(self._weights[workspace])

    def on_usage_decrease(self, workspace: str) -> None:
        """Moves a workspace forward after its usage fell.

        Args:
            workspace: Name of any workspace.
        """
        if workspace in self._waiting:
            self._push_heap_entry(workspace)

    def backlog_of(self, workspace: str) -> int:
        """Reads the backlog of one workspace.

        Args:
            workspace: Name of any workspace.

        Returns:
            Estimated cost of its waiting work in tokens.
        """
        return self._backlogs.get(workspace, 0)

    def oldest_work_of(self, workspace: str) -> QueuedWork:
        """Finds the oldest work of a workspace.

        Args:
            workspace: Name of a waiting workspace.

        Returns:
            Its oldest work.
        """
        return next(iter(self._waiting[workspace].values()))

    def length_of(self, workspace: str) -> int:
        """Counts the works of one workspace.

        Args:
            workspace: Name of any workspace.

        Returns:
            Number of its waiting works.
        """
        return len(self._waiting.get(workspace, ()))

    def weight_of(self, workspace: str) -> float:
        """Reads the weight of a workspace.

        Args:
            workspace: Name of a waiting workspace.

        Returns:
            Its weight.
        """
        return self._weights[workspace]

    def sample(self, size: int) -> tuple[list[str], float]:
        """Takes a sample of the waiting workspaces.

        Args:
            size: About the number of workspaces wanted.

        Returns:
            Names without repetition, and the number of waiting workspaces for each of them.
        """
        if len(self._waiting) <= size:
            return list(self._waiting), 1.0
        # Even steps through the heap reach workspaces of all levels.
        step = len(self._heap) // size
        entries = self._heap[::step]
        names = [
            name for _, sequence, name in entries if self._valid_sequences.get(name) == sequence
        ]
        return names, len(self._waiting) / max(1, len(names))

    def displacement_candidate(self) -> QueuedWork | None:
        """Finds the work to displace when memory is short.

        Returns:
            The newest work of the workspace with the most waiting works, or None if nothing waits.
        """
        if not self._max_length:
            return None
        workspace = next(iter(self._by_length[self._max_length]))
        return next(reversed(self._waiting[workspace].values()))

    def _push_heap_entry(self, workspace: str) -> None:
        """Puts a workspace into the heap at its present level."""
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
        """Moves a workspace between the groups of equal queue length."""
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
            # Lengths change by one, so the next shorter group is not empty, or nothing waits.
            self._max_length = after

    def _update_totals(self, work: QueuedWork, sign: int) -> None:
        """Adds work to the sums or takes it out."""
        self.size += sign
        self.backlog += sign * work.cost
        left = self._backlogs.get(work.workspace, 0) + sign * work.cost
        if left:
            self._backlogs[work.workspace] = left
        else:
            self._backlogs.pop(work.workspace, None)
