"""Generates docs/fault-matrix.md.

To update the page: `python tests/fault_matrix_listing.py > docs/fault-matrix.md`.
"""

from __future__ import annotations

from fault_matrix_cells import CELLS, CHECKS, FAULT_PAIRS, STEPS, Fault

__all__ = ["make_listing"]

INTRODUCTION = """\
# Fault matrix

`tests/test_fault_matrix.py` runs every fault at every step of a request, a claim, a declaration
and an order, and pairs of faults at every step. `tests/fault_matrix_listing.py` generates this page
from the lists that define the cells. A cell combines one row of the table with one fault or one
pair of faults.

## Faults
"""


def make_listing() -> str:
    """Lists the faults, the pairs and the number of cells for each step.

    Returns:
        The page as Markdown.
    """
    faults = [f"- {fault}" for fault in Fault]
    pairs = [f"- {first} + {second}" for first, second in FAULT_PAIRS]
    rows = ["| life cycle | step | cells | checked |", "|---|---|---|---|"]
    for subject, steps in STEPS.items():
        for step in steps:
            count = sum((cell.subject, cell.step) == (subject, step) for cell in CELLS)
            rows.append(f"| {subject} | {step} | {count} | {CHECKS[subject]} |")
    parts = [INTRODUCTION, *faults, "\n## Pairs of faults\n", *pairs, "\n## Groups of cells\n"]
    return "\n".join([*parts, *rows, f"\nThe matrix has {len(CELLS)} cells.\n"])


if __name__ == "__main__":
    print(make_listing(), end="")
