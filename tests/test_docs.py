"""Tests that the pages name only commands, files, settings and events that exist."""

from __future__ import annotations

import re
import shlex
import unittest
from dataclasses import fields, is_dataclass
from pathlib import Path
from typing import get_type_hints

import typer.main

from sapphireledge.cli import app
from sapphireledge.errors import ErrorKind
from sapphireledge.settings import Settings
from sapphireledge.telemetry import LogEvent, MetricName

ROOT = Path(__file__).resolve().parent.parent
PAGES = (ROOT / "README.md", *sorted((ROOT / "docs").glob("*.md")))
BLOCK = re.compile(r"^ *```sh\n(.*?)^ *```", re.MULTILINE | re.DOTALL)
CODE = re.compile(r"`([^`\n]+)`")
FILE = re.compile(
    r"(?<![\w/.])((?:docs|examples|scripts|devtools|bench|tests|src|\.ci)/[\w./*-]*\w)"
)


def settings_sections():
    hints = get_type_hints(Settings)
    return {name: hint for name, hint in hints.items() if is_dataclass(hint)}


def command_lines(page):
    for block in BLOCK.findall(page.read_text(encoding="utf-8")):
        for line in block.replace("\\\n", " ").splitlines():
            if line.strip().startswith("sapphireledge "):
                yield shlex.split(line, comments=True)[1:]


def parse(arguments):
    """Parses a command line down to the last command without running it."""
    command = typer.main.get_command(app)
    ctx = command.make_context("sapphireledge", list(arguments))
    while hasattr(command, "resolve_command"):
        rest = [*ctx._protected_args, *ctx.args]
        name, command, rest = command.resolve_command(ctx, rest)
        ctx = command.make_context(name, rest, parent=ctx)
    return ctx


class PagesTest(unittest.TestCase):
    """Guards against pages that send a reader to something that does not exist."""

    def test_commands_parse(self):
        count = 0
        for page in PAGES:
            for arguments in command_lines(page):
                with self.subTest(page=page.name, arguments=arguments):
                    parse(arguments)
                    count += 1
        self.assertGreater(count, 10)

    def test_parse_refuses_what_does_not_exist(self):
        for arguments in (["aply"], ["list"], ["status", "--verbos"], ["quarantine", "drop"]):
            with self.subTest(arguments), self.assertRaises(Exception) as caught:
                parse(arguments)
            self.assertEqual(getattr(caught.exception, "exit_code", None), 2, caught.exception)

    def test_named_files_exist(self):
        for page in PAGES:
            for name in FILE.findall(page.read_text(encoding="utf-8")):
                with self.subTest(page=page.name, file=name):
                    self.assertTrue(any(ROOT.glob(name)))

    def test_named_settings_exist(self):
        sections = settings_sections()
        for page in PAGES:
            for code in CODE.findall(page.read_text(encoding="utf-8")):
                match = re.fullmatch(r"([a-z_]+)\.([a-z_]+)(?:[ =:].*)?", code)
                if match is None or match[1] not in sections:
                    continue
                with self.subTest(page=page.name, setting=code):
                    self.assertIn(match[2], [field.name for field in fields(sections[match[1]])])

    def test_named_events_and_metrics_exist(self):
        """The pages write the words log, metric or error before such names."""
        text = "\n".join(page.read_text(encoding="utf-8") for page in PAGES)
        for mark, names in (("log", LogEvent), ("metric", MetricName), ("error", ErrorKind)):
            found = re.findall(rf"\b{mark}s? ((?:`[a-z_]+`(?:, | and )?)+)", text)
            self.assertTrue(found, mark)
            for name in [n for group in found for n in CODE.findall(group)]:
                with self.subTest(mark=mark, name=name):
                    self.assertIn(name, {str(member) for member in names})


if __name__ == "__main__":
    unittest.main()
