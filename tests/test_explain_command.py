"""Tests of the command explain against a daemon with engines and a service."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import msgspec

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from devtools.caller import generate  # noqa: E402
from devtools.local_fleet import (  # noqa: E402
    SECRET,
    EngineSpec,
    EntrySpec,
    LocalFleet,
    ServiceSpec,
)
from sapphireledge.errors import ERROR_ANSWERS, ErrorKind  # noqa: E402

PROGRAM = (sys.executable, "-c", "from sapphireledge.cli import main; main()")


def run(server, *arguments, secret=SECRET):
    env = {**os.environ, "SAPPHIRELEDGE_SECRET": secret, "COLUMNS": "60"}
    command = [*PROGRAM, "--who", "aroha", "--server", server, *arguments]
    return subprocess.run(command, capture_output=True, text=True, env=env, timeout=20)


class OwnInterfaceTest(unittest.TestCase):
    """Guards against a command that fails, sends a request or hides why it is refused."""

    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        engines = (EngineSpec("g1"), EngineSpec("g2"))
        services = (ServiceSpec("booking-1"),)
        cls.fleet = LocalFleet(Path(folder.name), (EntrySpec("e1"),), engines, services)
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start()

    def explain(self, *arguments):
        server = self.fleet.operators["e1"]
        result = run(server, "--output", "json", "explain", *arguments)
        self.assertEqual(result.returncode, 0, result.stderr)
        return msgspec.json.decode(result.stdout)

    def test_generation_with_terms_and_probabilities(self):
        generate(self.fleet.callers["e1"], max_tokens=4)
        before = [self.fleet.counts(name) for name in ("g1", "g2")]
        found = self.explain("--model", "drafter", "--prompt-tokens", "800")
        self.assertEqual((found["outcome"], found["instance"]), ("sent", "e1"))
        self.assertEqual([c["name"] for c in found["checks"] if not c["passed"]], [])
        servers = {server["name"]: server for server in found["servers"]}
        self.assertEqual(set(servers), {"g1", "g2"})
        self.assertAlmostEqual(sum(each["chance"] for each in servers.values()), 1.0)
        for each in servers.values():
            terms = {term["name"]: term["value"] for term in each["terms"]}
            self.assertEqual(terms["own_work"], 800.0)
            self.assertAlmostEqual(each["cost"], sum(terms.values()))
            self.assertGreaterEqual(each["report_age"], 0.0)
        after = [self.fleet.counts(name) for name in ("g1", "g2")]
        self.assertEqual([c["requests"] for c in after], [c["requests"] for c in before])

    def test_service_from_a_file(self):
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder, "request.json")
            file.write_text('{"service": "booking", "method": "GET", "path": "/x"}')
            found = self.explain("--file", str(file))
            self.assertEqual((found["outcome"], found["servers"][0]["name"]), ("sent", "booking-1"))
            file.write_text('{"key": "secret"}')
            result = run(self.fleet.operators["e1"], "explain", "--file", str(file))
            expected = ERROR_ANSWERS[ErrorKind.INVALID_REQUEST].exit_code
            self.assertEqual(result.returncode, expected)
            self.assertNotIn("Traceback", result.stderr)

    def test_refusals_name_their_step_and_kind(self):
        cases = {
            ("route", "unknown_model"): ("--model", "absent"),
            ("route", "not_found"): ("--service", "absent"),
            ("workspace", "unknown_workspace"): ("--model", "drafter", "--workspace", "absent"),
            ("rank", "invalid_request"): ("--model", "drafter", "--rank", "absent"),
        }
        for (check, kind), arguments in cases.items():
            with self.subTest(check=check, kind=kind):
                found = self.explain(*arguments)
                self.assertEqual((found["outcome"], found["error_kind"]), ("refused", kind))
                self.assertEqual((found["checks"][-1]["name"], found["servers"]), (check, []))

    def test_text_and_errors(self):
        server = self.fleet.operators["e1"]
        text = run(server, "explain", "--model", "drafter").stdout
        for words in (("outcome", "sent"), ("admission", "passed"), ("g1", "akl-a")):
            lines = text.splitlines()
            self.assertTrue(any(all(word in line for word in words) for line in lines), text)
        cases = (
            (ErrorKind.UNAUTHENTICATED, {"secret": "wrong"}, ("--model", "drafter")),
            (ErrorKind.INVALID_REQUEST, {}, ()),
            (ErrorKind.INVALID_REQUEST, {}, ("--model", "drafter", "--part", "=x")),
            (ErrorKind.INVALID_REQUEST, {}, ("--model", "drafter", "--prompt-tokens", "-1")),
            (ErrorKind.INVALID_REQUEST, {}, ("--model", "drafter", "--deadline", "nan")),
            (ErrorKind.INVALID_REQUEST, {}, ("--model", "drafter", "--last-event", "-2")),
        )
        for kind, options, arguments in cases:
            with self.subTest(kind=kind, arguments=arguments):
                result = run(server, "explain", *arguments, **options)
                self.assertEqual(result.returncode, ERROR_ANSWERS[kind].exit_code, result.stderr)
                self.assertIn(f"{kind}: ", result.stderr)


if __name__ == "__main__":
    unittest.main()
