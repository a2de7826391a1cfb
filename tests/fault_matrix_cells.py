"""The faults and steps of the fault matrix, and the cells that combine them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from itertools import product

__all__ = ["CELLS", "CHECKS", "FAULT_PAIRS", "STEPS", "Cell", "Fault"]


class Fault(StrEnum):
    """Fault that a cell injects; the values appear in docs/fault-matrix.md."""

    ENGINE_DIES = "engine dies"
    ENGINE_PAUSES = "engine pauses and returns"
    ENTRY_DIES = "entry dies"
    ENTRY_PAUSES = "entry pauses and returns"
    ENTRY_PARTITION = "partition between entries"
    PLATFORM_PARTITION = "partition from the platform"
    PLATFORM_OUTAGE = "platform outage"
    PLATFORM_SLOW = "platform slow"
    WRITE_ANSWER_LOST = "answer of a write lost after it took effect"
    LEASE_EXPIRES = "lease expires while its holder is paused"
    OPERATORS_RACE = "two operators race"
    REQUEST_CRASHES = "one request crashes each engine that runs it"
    SILENT_CONNECTION = "connection goes silent while new ones work"
    FLOOD_LEAST = "flood of the least urgent requests"
    FLOOD_MOST = "flood of the most urgent requests"
    DUPLICATE = "duplicate delivery of messages"
    LATE = "late delivery of messages"
    REORDERED = "out-of-order delivery of messages"


STEPS = {
    "request": (
        "offered",
        "queued",
        "dispatched",
        "before the first token",
        "between tokens",
        "before the finish",
        "finished but not stored at the partner",
        "delivered",
        "caller reconnecting",
    ),
    "claim": (
        "key received",
        "claim being written",
        "claimed but not dispatched",
        "dispatched",
        "service ran but not answered",
        "outcome being recorded",
        "recorded",
        "collected",
    ),
    "declaration": (
        "record being written",
        "record written",
        "object being written",
        "accepted",
        "in force at some entries",
        "in force everywhere",
    ),
    "order": (
        "lease being taken",
        "held",
        "order planned",
        "order sent",
        "engine applied it",
        "state checked",
        "lease changing holder",
    ),
}
"""Steps of each life cycle, in order."""

CHECKS = {
    "request": (
        "no token missing or repeated, generations not mixed, complete answer or correct refusal"
    ),
    "claim": "at most one run, `not run` only if the service did not run, one answer for each call",
    "declaration": (
        "one chain of accepted changes, versions never go back, newest in force after healing"
    ),
    "order": (
        "at most one lease holder, late orders refused or undone, "
        "declared state restored after healing"
    ),
}
"""Properties that the cells of each life cycle check."""


@dataclass(frozen=True)
class Cell:
    """Faults injected together at one step of one life cycle."""

    subject: str
    step: str
    faults: tuple[Fault, ...]

    def __str__(self) -> str:
        return f"{self.subject}: {self.step} / {' + '.join(self.faults)}"


FAULT_PAIRS = (
    (Fault.ENGINE_DIES, Fault.ENTRY_DIES),
    (Fault.WRITE_ANSWER_LOST, Fault.ENTRY_PARTITION),
    (Fault.LEASE_EXPIRES, Fault.PLATFORM_OUTAGE),
    (Fault.PLATFORM_OUTAGE, Fault.ENTRY_DIES),
)
"""Faults injected together; in the last pair the entry restarts during the outage."""


def _build_cells() -> tuple[Cell, ...]:
    """Builds one cell for each step with each single fault or pair."""
    groups = [(fault,) for fault in Fault] + list(FAULT_PAIRS)
    return tuple(
        Cell(subject, step, faults)
        for subject, steps in STEPS.items()
        for step, faults in product(steps, groups)
    )


CELLS = _build_cells()
"""Every cell of the matrix."""
