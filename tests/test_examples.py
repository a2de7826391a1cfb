"""Tests that the example files are valid."""

from __future__ import annotations

import unittest
from pathlib import Path

from sapphireledge.cli.declaration_files import read_declarations
from sapphireledge.core.declarations import parse_declaration
from sapphireledge.errors import Failure
from sapphireledge.settings import Settings, load_settings

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"


class ExamplesTest(unittest.TestCase):
    """Guards against examples that no longer pass validation."""

    def test_settings_files_are_valid(self):
        files = sorted(EXAMPLES.glob("*/*.json"))
        self.assertEqual(len(files), 6)
        for file in files:
            self.assertIsInstance(load_settings(file), Settings, file)

    def test_declarations_are_valid(self):
        for folder in sorted(EXAMPLES.glob("*/declarations")):
            declared = read_declarations([folder])
            self.assertEqual(sum(1 for each in declared if each.kind == "rank"), 3)
            for each in declared:
                parsed = parse_declaration(each.kind, each.name, each.spec)
                self.assertNotIsInstance(parsed, Failure, f"{each.path}: {parsed}")
