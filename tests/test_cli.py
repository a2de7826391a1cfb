"""Tests of the command line, run as separate processes against a small fleet."""

from __future__ import annotations

import os
import re
import subprocess
import sys
import tempfile
import time
import unittest
from concurrent.futures import ThreadPoolExecutor
from datetime import datetime
from pathlib import Path

import msgspec
import typer.main
import uuid6
from typer.testing import CliRunner

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from devtools.caller import generate
from devtools.local_fleet import SECRET, EngineSpec, EntrySpec, LocalFleet, free_port
from sapphireledge.cli import app
from sapphireledge.errors import ERROR_ANSWERS, ErrorKind

ROOT = Path(__file__).resolve().parent.parent

PROGRAM = (sys.executable, "-c", "from sapphireledge.cli import main; main()")
"""The command line as the console script runs it."""

COMMAND_TIMEOUT = 20.0
"""Timeout of one command, in seconds."""

LEASE_TIMEOUT = 12.0
"""Timeout until an instance holds the lease for orders, in seconds."""

SHORT_LEASE = {"fleet": {"lease": 1.0, "order_timeout": 0.5}}

WORKSPACE = {"kind": "workspace", "spec": {"name": "club", "weight": 2.0}}
RANK = {
    "kind": "rank",
    "spec": {"name": "standard", "order": 1, "target": 9.0, "worth": 3, "share": 0.3},
}


def run(*arguments, server="", secret=SECRET, who="aroha"):
    env = {**os.environ, "SAPPHIRELEDGE_SECRET": secret, "COLUMNS": "60"}
    command = [*PROGRAM, "--who", who]
    command += ["--server", server] if server else []
    return subprocess.run(
        [*command, *arguments], capture_output=True, text=True, env=env, timeout=COMMAND_TIMEOUT
    )


def exit_code(kind):
    return ERROR_ANSWERS[kind].exit_code


def run_concurrently(call, arguments):
    """Runs independent calls in parallel and returns their results in order."""
    with ThreadPoolExecutor(4) as threads:
        return list(threads.map(call, arguments))


def command_paths(group, prefix=()):
    """Returns the path of every command and group of the command line."""
    found = [prefix]
    for name, command in getattr(group, "commands", {}).items():
        found += command_paths(command, (*prefix, name))
    return found


def setUpModule():
    folder = tempfile.TemporaryDirectory()
    unittest.addModuleCleanup(folder.cleanup)
    entries = tuple(EntrySpec(name, extra=SHORT_LEASE) for name in ("e1", "e2"))
    FleetCase.folder = Path(folder.name)
    FleetCase.fleet = LocalFleet(FleetCase.folder, entries, (EngineSpec("g1"),))
    unittest.addModuleCleanup(FleetCase.fleet.stop)
    FleetCase.fleet.start()


class FleetCase(unittest.TestCase):
    """Runs commands against the fleet that all tests of the module share."""

    folder: Path
    fleet: LocalFleet

    def run_on(self, entry, *arguments, **options):
        return run(*arguments, server=self.fleet.operators[entry], **options)

    def run_ok(self, *arguments, entry="e1"):
        result = self.run_on(entry, *arguments)
        self.assertEqual(result.returncode, 0, result.stderr)
        return result

    def run_json(self, *arguments, entry="e1"):
        """Decodes standard output, which must be exactly one JSON document."""
        return msgspec.json.decode(self.run_ok("--output", "json", *arguments, entry=entry).stdout)

    def assert_refused(self, kind, *arguments, entry="e1", **options):
        result = self.run_on(entry, *arguments, **options)
        self.assertEqual(result.returncode, exit_code(kind), result.stdout + result.stderr)
        self.assertIn(f"{kind}: ", result.stderr)
        self.assertEqual(result.stdout, "")
        return result.stderr

    def write_declarations(self, *declarations):
        folder = Path(tempfile.mkdtemp(dir=self.folder))
        for number, declaration in enumerate(declarations):
            (folder / f"{number}.json").write_bytes(msgspec.json.encode(declaration))
        return str(folder)


class DeclarationCommandsTest(FleetCase):
    """Guards against changes that are unrequested, lost, untraceable or silently overwritten."""

    def test_apply_twice_changes_nothing_the_second_time(self):
        folder = self.write_declarations(WORKSPACE, RANK)
        shown = self.run_json("diff", folder)
        self.assertEqual({entry["name"] for entry in shown}, {"club", "standard"})
        self.assertEqual(self.run_json("apply", "--dry-run", folder), shown)
        self.assertEqual(self.run_json("diff", folder), shown, "--dry-run changed a declaration")
        first = self.run_ok("--output", "json", "apply", folder, "--why", "season", "--wait", "9")
        document = msgspec.json.decode(first.stdout)
        self.assertEqual([entry["changed"] for entry in document["results"]], [True, True])
        highest = max(entry["version"] for entry in document["results"])
        self.assertEqual({entry["instance"] for entry in document["in_force"]}, {"e1", "e2"})
        self.assertTrue(all(e["config_version"] >= highest for e in document["in_force"]))
        self.assertIn("2/2 ", first.stderr)
        again = self.run_json("apply", folder, "--wait", "9")
        self.assertEqual(again, {"results": [], "in_force": []})
        self.assertEqual(self.run_json("diff", folder), [])

    def test_get_list_history_and_reapply(self):
        name, reason = "long", "a reason that is longer than a narrow terminal " * 3
        specs = [{"name": name, "weight": weight} for weight in (1.5, 2.5)]
        for spec in specs:
            self.run_ok(
                "apply",
                self.write_declarations({"kind": "workspace", "spec": spec}),
                "--why",
                reason.strip(),
            )
        reads = (("get", "workspace", name), ("list", "workspace"), ("history", "workspace", name))
        got, listed, (newest, oldest) = run_concurrently(
            lambda read: self.run_json(*read, entry="e2"), reads
        )
        self.assertEqual(msgspec.json.decode(got["spec"]), specs[1])
        self.assertIn(got, listed)
        self.assertEqual((newest["version"], newest["who"]), (got["version"], "aroha"))
        self.assertEqual((newest["previous"], oldest["before"]), (oldest["operation_id"], ""))
        self.assert_history_text(newest, reason.strip())
        restored = self.run_json(
            "reapply", oldest["operation_id"], "--base-version", str(got["version"])
        )
        self.assertTrue(restored["changed"])
        self.assertEqual(
            msgspec.json.decode(self.run_json("get", "workspace", name)["spec"]), specs[0]
        )
        stale = self.assert_refused(
            ErrorKind.CONFLICT,
            *("reapply", newest["operation_id"], "--base-version", str(oldest["version"])),
        )
        for version in (restored["version"], oldest["version"]):
            self.assertIn(str(version), stale)
        self.assertRegex(stale, r"operation id [0-9a-f-]{36}\n")
        self.run_ok("delete", "workspace", name, "--why", "closed")
        listed, history = run_concurrently(lambda read: self.run_json(*read), reads[1:])
        self.assertNotIn(name, [row["name"] for row in listed])
        self.assertEqual(len(history), 4)

    def assert_history_text(self, record, reason):
        lines = self.run_ok("history", "workspace", record["name"]).stdout.splitlines()
        for expected in (f"why: {reason}", f"after: {record['after']}"):
            self.assertIn(expected, lines)
        when, *_ = [line.removeprefix("when: ") for line in lines if line.startswith("when: ")]
        self.assertTrue(when.endswith("+00:00"), when)
        self.assertAlmostEqual(
            datetime.fromisoformat(when).timestamp(), record["when_unix"], delta=0.001
        )

    def test_diff_text_is_not_truncated(self):
        spec = {"name": "wide" * 15, "weight": 3.0, "token_hashes": ["0123456789abcdef" * 4] * 3}
        text = self.run_ok(
            "diff", self.write_declarations({"kind": "workspace", "spec": spec})
        ).stdout
        (after,) = [line for line in text.splitlines() if line.startswith("after: ")]
        self.assertEqual(msgspec.json.decode(after.removeprefix("after: ")), spec)

    def test_conflicting_change_is_refused_with_both_versions(self):
        """A change based on an old version is refused with both versions and changes nothing."""
        reads = (("get", "rank", "urgent"), ("history", "rank", "urgent"))
        base, (record, *_) = run_concurrently(lambda read: self.run_json(*read), reads)
        arguments = ("reapply", record["operation_id"], "--base-version", str(base["version"] - 1))
        error = self.assert_refused(ErrorKind.CONFLICT, *arguments)
        self.assertIn(f"based on version {base['version'] - 1}", error)
        self.assertIn(f"in force {base['version']}", error)
        self.assertEqual(self.run_json("get", "rank", "urgent"), base)

    def test_malformed_declaration_changes_nothing(self):
        cases = {
            "spec.name: must be a string": {"kind": "rank", "spec": {}},
            "exactly the fields kind and spec": {"kind": "rank"},
            "weight": {"kind": "workspace", "spec": {"name": "club", "weight": -1}},
            "wieght": {"kind": "workspace", "spec": {"name": "club", "wieght": 1}},
        }
        before = self.run_json("list", "workspace")
        errors = run_concurrently(
            lambda declaration: self.assert_refused(
                ErrorKind.INVALID_REQUEST, "apply", self.write_declarations(declaration)
            ),
            cases.values(),
        )
        for expected, error in zip(cases, errors, strict=True):
            with self.subTest(expected):
                self.assertIn(expected, error)
        self.assertEqual(self.run_json("list", "workspace"), before)

    def test_unknown_objects_and_kinds(self):
        cases = (
            (ErrorKind.NOT_FOUND, "get", "rank", "absent"),
            (ErrorKind.NOT_FOUND, "history", "rank", "absent"),
            (ErrorKind.INVALID_REQUEST, "list", "ranks"),
        )
        run_concurrently(lambda case: self.assert_refused(*case), cases)


class FleetCommandsTest(FleetCase):
    """Guards against a wrong status and against orders sent by two instances."""

    def test_status_as_text_and_json(self):
        document = self.run_json("status")
        self.assertEqual({entry["instance"] for entry in document["entries"]}, {"e1", "e2"})
        self.assertEqual([backend["name"] for backend in document["backends"]], ["g1"])
        self.assertTrue(document["platform_reachable"])
        lines = self.run_ok("status").stdout.splitlines()
        self.assertEqual(lines[0], "platform reachable: yes")
        for words in (("e1", "akl-a", "ready"), ("g1", "akl-a", "drafting"), ("urgent", "0")):
            self.assertTrue(any(all(word in line for word in words) for line in lines), words)

    def test_order_on_lease_holder_and_on_other_instance(self):
        arguments = ("order", "g1", "load_model", "--model", "drafter", "--version", "v2")
        results = self.order_until_accepted(arguments)
        (holder,) = [name for name, result in results.items() if result.returncode == 0]
        (other,) = set(results) - {holder}
        given = msgspec.json.decode(results[holder].stdout)
        self.assertIn(given["outcome"], ("done", "unchanged"))
        self.assertGreater(given["fencing_number"], 0)
        calls = (
            lambda: self.run_json(*arguments, entry=holder)["outcome"],
            lambda: self.assert_refused(ErrorKind.CONFLICT, *arguments, entry=other),
            lambda: self.assert_refused(
                ErrorKind.NOT_FOUND, "order", "absent", *arguments[2:], entry=holder
            ),
            lambda: self.assert_refused(
                ErrorKind.INVALID_REQUEST, "order", "g1", "load_model", entry=holder
            ),
        )
        outcome, error, *_ = run_concurrently(lambda call: call(), calls)
        self.assertEqual(outcome, "unchanged")
        self.assertIn(holder, error)
        self.assertNotIn("None", error)
        self.assertNotIn("in force", error)

    def order_until_accepted(self, arguments):
        end = time.monotonic() + LEASE_TIMEOUT
        while True:
            with ThreadPoolExecutor(2) as threads:
                jobs = {
                    name: threads.submit(self.run_on, name, "--output", "json", *arguments)
                    for name in ("e1", "e2")
                }
                results = {name: job.result() for name, job in jobs.items()}
            if any(result.returncode == 0 for result in results.values()):
                return results
            self.assertLess(time.monotonic(), end, [r.stderr for r in results.values()])

    def test_replay(self):
        request_id = str(uuid6.uuid7())
        answer = generate(self.fleet.callers["e1"], request_id=request_id, max_tokens=5)
        self.assertTrue(answer.done)
        document = self.run_json("replay", f"default~{request_id}", entry="e2")
        self.assertTrue(document["same"])
        names = [event["name"] for event in document["events"]]
        self.assertEqual((names[0], names[-1]), ("created", "finished"))
        text = self.run_ok("replay", f"default~{request_id}").stdout
        self.assertTrue(text.endswith("reproduced: yes\n"), text)
        for event in document["events"]:
            self.assertIn(event["input"], text, "the table truncated the input of an event")
        self.assertRegex(text, r" 20\d\d-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}\+00:00 ")
        self.assert_refused(ErrorKind.NOT_FOUND, "replay", "default~absent")

    def test_quarantine_without_suspects(self):
        calls = (
            lambda: self.assertEqual(self.run_json("quarantine", "list"), []),
            lambda: self.assertIn("fingerprint", self.run_ok("quarantine", "list").stdout),
            lambda: self.assert_refused(ErrorKind.NOT_FOUND, "quarantine", "lift", "0" * 16),
        )
        run_concurrently(lambda call: call(), calls)

    def test_wrong_secret(self):
        self.assert_refused(ErrorKind.UNAUTHENTICATED, "status", secret="wrong")


class GracefulShutdownTest(FleetCase):
    """Guards against a drain that does not start or ends with an error."""

    def test_drain(self):
        self.addCleanup(self.fleet.start_entry, "e2")
        stopped = self.run_json("drain", "--why", "new image", entry="e2")
        self.assertEqual(stopped, {"outcome": "draining"})
        self.assertEqual(self.fleet.wait_exit("e2", 10), 0)
        log = self.fleet.log_path("e2").read_text(encoding="utf-8")
        self.assertIn("instance_draining", log)
        self.assertIn("new image", log)


class CommandLineTest(unittest.TestCase):
    """Guards against errors that do not name the fault, and help pages without an example."""

    def test_unreachable_server(self):
        server = f"127.0.0.1:{free_port()}"
        result = run("status", server=server)
        self.assertEqual((result.returncode, result.stdout), (1, ""))
        self.assertIn(f"no answer from {server}", result.stderr)
        self.assertNotIn("Traceback", result.stderr)

    def test_malformed_connection_options(self):
        cases = {
            "--server": ("--server", "localhost"),
            "port 1 to 65535": ("--server", "127.0.0.1:99999"),
            "--secret-file": ("--secret-file", "/nonexistent"),
        }
        results = run_concurrently(lambda options: run(*options, "status"), cases.values())
        for expected, result in zip(cases, results, strict=True):
            with self.subTest(expected):
                self.assertEqual(result.returncode, exit_code(ErrorKind.INVALID_REQUEST))
                self.assertIn(expected, result.stderr)
                self.assertNotIn("Traceback", result.stderr)

    def test_help_of_every_command_has_an_example(self):
        names = command_paths(typer.main.get_command(app))
        self.assertGreater(len(names), 15)
        for name in names:
            with self.subTest(name):
                page = CliRunner().invoke(app, [*name, "--help"], prog_name="sapphireledge")
                self.assertEqual(page.exit_code, 0, page.output)
                example = " ".join(("Example: sapphireledge", *name))
                text = re.sub(r"(--\w+ \S+ )+", "", re.sub(r"\s+", " ", page.output))
                self.assertIn(example, text)

    def test_settings_check_names_file_field_value_and_bounds(self):
        good = ROOT / "examples" / "ara-tika" / "akl-a-1.json"
        result = run("--output", "json", "settings", "check", str(good))
        self.assertEqual(msgspec.json.decode(result.stdout), {"problems": []}, result.stderr)
        with tempfile.TemporaryDirectory() as folder:
            bad = Path(folder) / "bad.json"
            cfg = {"instance": "a", "fleet": {"lease": -7}, "resume": {"gap_flor": 1}}
            bad.write_bytes(msgspec.json.encode(cfg))
            result = run("settings", "check", str(bad))
        self.assertEqual(result.returncode, exit_code(ErrorKind.INVALID_REQUEST))
        lines = result.stderr.splitlines()
        (lease,) = [line for line in lines if "fleet.lease" in line]
        self.assertRegex(lease, rf"{re.escape(str(bad))}: fleet\.lease: .*greater than.* s \(")
        self.assertIn("value -7", lease)
        self.assertTrue(any("did you mean gap_floor?" in line for line in lines), lines)
        self.assertTrue(any("data_centre: is required" in line for line in lines), lines)


if __name__ == "__main__":
    unittest.main()
