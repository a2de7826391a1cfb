"""Fault matrix: every fault at every step of a request, a claim, a declaration and an order."""

from __future__ import annotations

import unittest
from itertools import product
from pathlib import Path
from typing import TYPE_CHECKING, Any, ClassVar

from fault_matrix_cells import CELLS, FAULT_PAIRS, STEPS, Fault
from fault_matrix_claim import ClaimCell
from fault_matrix_declaration import DeclarationCell
from fault_matrix_listing import make_listing
from fault_matrix_order import OrderCell
from fault_matrix_request import RequestCell

if TYPE_CHECKING:
    from fault_matrix_cells import Cell

RUNNERS = {
    "request": RequestCell,
    "claim": ClaimCell,
    "declaration": DeclarationCell,
    "order": OrderCell,
}


class FaultMatrixTest(unittest.TestCase):
    """Guards each life cycle's properties under every fault at every step; a missing cell fails."""

    finished: ClassVar[dict[Cell, object]] = {}
    """Runners of the cells that have been run."""

    def run_once(self, cell: Cell) -> Any:
        """Runs a cell unless an earlier test has, and returns its runner."""
        if cell not in self.finished:
            runner = RUNNERS[cell.subject](cell)
            runner.run()
            self.finished[cell] = runner
        return self.finished[cell]

    def run_cells(self, subject: str) -> None:
        ran = set()
        for cell in CELLS:
            if cell.subject != subject:
                continue
            with self.subTest(str(cell)):
                self.run_once(cell)
            ran.add((cell.step, cell.faults))
        faults = [(fault,) for fault in Fault] + list(FAULT_PAIRS)
        self.assertEqual(set(product(STEPS[subject], faults)) - ran, set(), "cells not run")

    def test_request(self):
        self.run_cells("request")

    def test_request_repeated_with_the_id_alone(self):
        """Guards against answering a repeated request id from a second, different generation."""
        differing = []
        for cell in CELLS:
            if cell.subject == "request":
                request = self.run_once(cell)
                try:
                    request.repeat()
                except AssertionError as exc:
                    differing.append(f"{cell}: {exc}")
        self.assertEqual(differing, [])

    def test_claim(self):
        self.run_cells("claim")

    def test_declaration(self):
        self.run_cells("declaration")

    def test_order(self):
        self.run_cells("order")

    def test_every_life_cycle_has_a_test(self):
        self.assertEqual(set(RUNNERS), set(STEPS))
        for subject in STEPS:
            self.assertTrue(hasattr(self, f"test_{subject}"))

    def test_page_lists_the_matrix(self):
        """Guards against a page that lists other cells than the ones that run."""
        page = Path(__file__).resolve().parent.parent / "docs" / "fault-matrix.md"
        self.assertEqual(page.read_text(encoding="utf-8"), make_listing())


if __name__ == "__main__":
    unittest.main()
