"""Tests that the modules of a package can be read one after another."""

from __future__ import annotations

import ast
import unittest
from collections.abc import Iterator
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import sapphireledge_experiment.model as model


def list_imported(tree: ast.Module) -> Iterator[str]:
    """Lists the modules and names that a module imports, also those for type checks only."""
    for node in ast.walk(tree):
        if isinstance(node, ast.ImportFrom):
            yield node.module or ""
            yield from (f"{node.module}.{alias.name}" for alias in node.names)
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


class ImportCirclesTest(unittest.TestCase):
    def test_model_has_no_circle(self):
        """Guards against modules that can only be understood, and changed, all at once."""
        folder = Path(model.__file__).parent
        files = {
            f"{model.__name__}.{path.stem}": path
            for path in folder.glob("*.py")
            if path.stem != "__init__"
        }
        imported = {
            name: {*list_imported(ast.parse(path.read_text()))} & files.keys()
            for name, path in files.items()
        }
        self.assertGreater(sum(map(len, imported.values())), len(files))
        try:
            TopologicalSorter(imported).prepare()
        except CycleError as exc:
            self.fail(" -> ".join(name.rpartition(".")[2] for name in exc.args[1]))


if __name__ == "__main__":
    unittest.main()
