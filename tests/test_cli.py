"""Tests of the command line as separate processes against a small fleet."""

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

CALL_LIMIT = 20.0
"""Time limit of one command, in seconds."""

LEASE_LIMIT = 12.0
"""Time limit until an instance may give orders, in seconds."""

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
        [*command, *arguments], capture_output=True, text=True, env=env, timeout=CALL_LIMIT
    )


def exit_code(kind):
    return ERROR_ANSWERS[kind].exit_code


def together(call, arguments):
    """Results of independent commands that run at the same time."""
    with ThreadPoolExecutor(4) as threads:
        return list(threads.map(call, arguments))


def commands(group, prefix=()):
    """Names of every command and group of the command line."""
    found = [prefix]
    for name, command in getattr(group, "commands", {}).items():
        found += commands(command, (*prefix, name))
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
    """Calls the fleet that all tests of the module share."""

    folder: Path
    fleet: LocalFleet

    def run_at(self, entry, *arguments, **options):
        return run(*arguments, server=self.fleet.operators[entry], **options)

    def succeed(self, *arguments, entry="e1"):
        result = self.run_at(entry, *arguments)
        self.assertEqual(result.returncode, 0, result.stderr)
        return result

    def json(self, *arguments, entry="e1"):
        """Standard output must be one document and nothing else."""
        return msgspec.json.decode(self.succeed("--output", "json", *arguments, entry=entry).stdout)

    def refuse(self, kind, *arguments, entry="e1", **options):
        result = self.run_at(entry, *arguments, **options)
        self.assertEqual(result.returncode, exit_code(kind), result.stdout + result.stderr)
        self.assertIn(f"{kind}: ", result.stderr)
        self.assertEqual(result.stdout, "")
        return result.stderr

    def write(self, *declarations):
        folder = Path(tempfile.mkdtemp(dir=self.folder))
        for number, declaration in enumerate(declarations):
            (folder / f"{number}.json").write_bytes(msgspec.json.encode(declaration))
        return str(folder)


class DeclarationCommandsTest(FleetCase):
    """Guards against changes that are made unasked, lost, untraceable or silently overwritten."""

    def test_apply_twice_changes_nothing_the_second_time(self):
        folder = self.write(WORKSPACE, RANK)
        shown = self.json("diff", folder)
        self.assertEqual({entry["name"] for entry in shown}, {"club", "standard"})
        self.assertEqual(self.json("apply", "--dry-run", folder), shown)
        self.assertEqual(self.json("diff", folder), shown, "--dry-run changed something")
        first = self.succeed("--output", "json", "apply", folder, "--why", "season", "--wait", "9")
        document = msgspec.json.decode(first.stdout)
        self.assertEqual([entry["changed"] for entry in document["results"]], [True, True])
        highest = max(entry["version"] for entry in document["results"])
        self.assertEqual({entry["instance"] for entry in document["in_force"]}, {"e1", "e2"})
        self.assertTrue(all(e["config_version"] >= highest for e in document["in_force"]))
        self.assertIn("2/2 ", first.stderr)
        again = self.json("apply", folder, "--wait", "9")
        self.assertEqual(again, {"results": [], "in_force": []})
        self.assertEqual(self.json("diff", folder), [])

    def test_get_list_history_and_reapply(self):
        name, note = "long", "a reason that is longer than a narrow terminal " * 3
        specs = [{"name": name, "weight": weight} for weight in (1.5, 2.5)]
        for spec in specs:
            self.succeed(
                "apply", self.write({"kind": "workspace", "spec": spec}), "--why", note.strip()
            )
        reads = (("get", "workspace", name), ("list", "workspace"), ("history", "workspace", name))
        got, listed, (newest, oldest) = together(lambda read: self.json(*read, entry="e2"), reads)
        self.assertEqual(msgspec.json.decode(got["spec"]), specs[1])
        self.assertIn(got, listed)
        self.assertEqual((newest["version"], newest["who"]), (got["version"], "aroha"))
        self.assertEqual((newest["previous"], oldest["before"]), (oldest["operation_id"], ""))
        self.check_history_text(newest, note.strip())
        restored = self.json(
            "reapply", oldest["operation_id"], "--base-version", str(got["version"])
        )
        self.assertTrue(restored["changed"])
        self.assertEqual(msgspec.json.decode(self.json("get", "workspace", name)["spec"]), specs[0])
        stale = self.refuse(
            ErrorKind.CONFLICT,
            *("reapply", newest["operation_id"], "--base-version", str(oldest["version"])),
        )
        for version in (restored["version"], oldest["version"]):
            self.assertIn(str(version), stale)
        self.assertRegex(stale, r"operation id [0-9a-f-]{36}\n")
        self.succeed("delete", "workspace", name, "--why", "closed")
        listed, history = together(lambda read: self.json(*read), reads[1:])
        self.assertNotIn(name, [row["name"] for row in listed])
        self.assertEqual(len(history), 4)

    def check_history_text(self, record, note):
        lines = self.succeed("history", "workspace", record["name"]).stdout.splitlines()
        for expected in (f"why: {note}", f"after: {record['after']}"):
            self.assertIn(expected, lines)
        when, *_ = [line.removeprefix("when: ") for line in lines if line.startswith("when: ")]
        self.assertTrue(when.endswith("+00:00"), when)
        self.assertAlmostEqual(
            datetime.fromisoformat(when).timestamp(), record["when_unix"], delta=0.001
        )

    def test_diff_text_has_whole_declarations(self):
        spec = {"name": "wide" * 15, "weight": 3.0, "token_hashes": ["0123456789abcdef" * 4] * 3}
        text = self.succeed("diff", self.write({"kind": "workspace", "spec": spec})).stdout
        (after,) = [line for line in text.splitlines() if line.startswith("after: ")]
        self.assertEqual(msgspec.json.decode(after.removeprefix("after: ")), spec)

    def test_racing_operators_lose_no_change(self):
        """Two changes of the same version: one is accepted, the other names both versions."""
        reads = (("get", "rank", "urgent"), ("history", "rank", "urgent"))
        base, (record, *_) = together(lambda read: self.json(*read), reads)
        arguments = ("reapply", record["operation_id"], "--base-version", str(base["version"] - 1))
        error = self.refuse(ErrorKind.CONFLICT, *arguments)
        self.assertIn(f"based on version {base['version'] - 1}", error)
        self.assertIn(f"in force {base['version']}", error)
        self.assertEqual(self.json("get", "rank", "urgent"), base)

    def test_broken_declaration_is_refused_whole(self):
        cases = {
            "spec.name: must be a string": {"kind": "rank", "spec": {}},
            "exactly the fields kind and spec": {"kind": "rank"},
            "weight": {"kind": "workspace", "spec": {"name": "club", "weight": -1}},
            "wieght": {"kind": "workspace", "spec": {"name": "club", "wieght": 1}},
        }
        before = self.json("list", "workspace")
        errors = together(
            lambda declaration: self.refuse(
                ErrorKind.INVALID_REQUEST, "apply", self.write(declaration)
            ),
            cases.values(),
        )
        for expected, error in zip(cases, errors, strict=True):
            with self.subTest(expected):
                self.assertIn(expected, error)
        self.assertEqual(self.json("list", "workspace"), before)

    def test_unknown_objects_and_kinds(self):
        cases = (
            (ErrorKind.NOT_FOUND, "get", "rank", "absent"),
            (ErrorKind.NOT_FOUND, "history", "rank", "absent"),
            (ErrorKind.INVALID_REQUEST, "list", "ranks"),
        )
        together(lambda case: self.refuse(*case), cases)


class FleetCommandsTest(FleetCase):
    """Guards against operators who see a wrong state or orders that are given by two instances."""

    def test_status_as_text_and_json(self):
        document = self.json("status")
        self.assertEqual({entry["instance"] for entry in document["entries"]}, {"e1", "e2"})
        self.assertEqual([backend["name"] for backend in document["backends"]], ["g1"])
        self.assertTrue(document["platform_reachable"])
        lines = self.succeed("status").stdout.splitlines()
        self.assertEqual(lines[0], "platform reachable: yes")
        for words in (("e1", "akl-a", "ready"), ("g1", "akl-a", "drafting"), ("urgent", "0")):
            self.assertTrue(any(all(word in line for word in words) for line in lines), words)

    def test_order_at_the_holder_and_elsewhere(self):
        arguments = ("order", "g1", "load_model", "--model", "drafter", "--version", "v2")
        results = self.order_until_given(arguments)
        (holder,) = [name for name, result in results.items() if result.returncode == 0]
        (other,) = set(results) - {holder}
        given = msgspec.json.decode(results[holder].stdout)
        self.assertIn(given["outcome"], ("done", "unchanged"))
        self.assertGreater(given["fencing_number"], 0)
        calls = (
            lambda: self.json(*arguments, entry=holder)["outcome"],
            lambda: self.refuse(ErrorKind.CONFLICT, *arguments, entry=other),
            lambda: self.refuse(
                ErrorKind.NOT_FOUND, "order", "absent", *arguments[2:], entry=holder
            ),
            lambda: self.refuse(
                ErrorKind.INVALID_REQUEST, "order", "g1", "load_model", entry=holder
            ),
        )
        outcome, error, *_ = together(lambda call: call(), calls)
        self.assertEqual(outcome, "unchanged")
        self.assertIn(holder, error)
        self.assertNotIn("None", error)
        self.assertNotIn("in force", error)

    def order_until_given(self, arguments):
        end = time.monotonic() + LEASE_LIMIT
        while True:
            with ThreadPoolExecutor(2) as threads:
                jobs = {
                    name: threads.submit(self.run_at, name, "--output", "json", *arguments)
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
        document = self.json("replay", f"default~{request_id}", entry="e2")
        self.assertTrue(document["same"])
        names = [event["name"] for event in document["events"]]
        self.assertEqual((names[0], names[-1]), ("created", "finished"))
        text = self.succeed("replay", f"default~{request_id}").stdout
        self.assertTrue(text.endswith("reproduced: yes\n"), text)
        for event in document["events"]:
            self.assertIn(event["input"], text, "the table cut the input of an event")
        self.assertRegex(text, r" 20\d\d-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}\+00:00 ")
        self.refuse(ErrorKind.NOT_FOUND, "replay", "default~absent")

    def test_quarantine_without_suspects(self):
        calls = (
            lambda: self.assertEqual(self.json("quarantine", "list"), []),
            lambda: self.assertIn("fingerprint", self.succeed("quarantine", "list").stdout),
            lambda: self.refuse(ErrorKind.NOT_FOUND, "quarantine", "lift", "0" * 16),
        )
        together(lambda call: call(), calls)

    def test_wrong_secret(self):
        self.refuse(ErrorKind.UNAUTHENTICATED, "status", secret="wrong")


class PlannedStopTest(FleetCase):
    """Guards against a planned stop that is not started or ends with an error."""

    def test_drain(self):
        self.addCleanup(self.fleet.start_entry, "e2")
        stopped = self.json("drain", "--why", "new image", entry="e2")
        self.assertEqual(stopped, {"outcome": "draining"})
        self.assertEqual(self.fleet.wait_exit("e2", 10), 0)
        log = self.fleet.log_path("e2").read_text(encoding="utf-8")
        self.assertIn("instance_draining", log)
        self.assertIn("new image", log)


class CommandLineTest(unittest.TestCase):
    """Guards against errors that do not say what is wrong, and help without an example."""

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
        results = together(lambda options: run(*options, "status"), cases.values())
        for expected, result in zip(cases, results, strict=True):
            with self.subTest(expected):
                self.assertEqual(result.returncode, exit_code(ErrorKind.INVALID_REQUEST))
                self.assertIn(expected, result.stderr)
                self.assertNotIn("Traceback", result.stderr)

    def test_help_of_every_command_has_an_example(self):
        names = commands(typer.main.get_command(app))
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
