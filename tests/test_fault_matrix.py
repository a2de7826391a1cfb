"""Fault matrix: every fault at every step of a request, a claim, a declaration and an order."""

from __future__ import annotations

import unittest

from fault_matrix_cells import CELLS, Cell
from fault_matrix_claim import ClaimCell
from fault_matrix_declaration import DeclarationCell
from fault_matrix_request import RequestCell

RUNNERS = {"request": RequestCell, "claim": ClaimCell, "declaration": DeclarationCell}


class FaultMatrixTest(unittest.TestCase):
    """Guards each property against each fault at each step; a cell that was left out fails."""

    ran: set[Cell]

    @classmethod
    def setUpClass(cls):
        cls.ran = set()

    def run_cells(self, subject: str) -> None:
        for cell in CELLS:
            if cell.subject != subject:
                continue
            self.ran.add(cell)
            with self.subTest(str(cell)):
                RUNNERS[subject](cell).run()

    def test_request(self):
        self.run_cells("request")

    def test_request_repeated_with_the_id_alone(self):
        """Guards against a second generation that is passed off as the first one."""
        differing = []
        for cell in CELLS:
            if cell.subject == "request":
                request = RequestCell(cell)
                request.run()
                try:
                    request.repeat()
                except AssertionError as exc:
                    differing.append(f"{cell}: {exc}")
        self.assertEqual(differing, [])

    def test_claim(self):
        self.run_cells("claim")

    def test_declaration(self):
        self.run_cells("declaration")


if __name__ == "__main__":
    unittest.main()
