"""Tests of experiment files, the command, its results and its report."""

from __future__ import annotations

import subprocess
import sys
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path
from unittest import mock

from experiment_case import make_experiment
from typer.testing import CliRunner

from sapphireledge.settings import load_checked_file
from sapphireledge_experiment import cli, run_experiment
from sapphireledge_experiment.report import compare_pairs, summarize
from sapphireledge_experiment.report.policy_summary import served_share
from sapphireledge_experiment.settings import Experiment

ROOT = Path(__file__).resolve().parent.parent
EXAMPLES = ROOT / "experiments"
SMALL = """{
  // a few seconds on a few machines
  name: "small", duration: 2.0, seeds: 2,
  fleet: {data_centres: 2, instances: 2, engines: 3, plain_servers: 1},
  kinds: [{name: "brief", rate: 3, prompt_tokens: 900, output_events: 20}],
  policies: [{name: "current"}, {name: "send/at once", hold: false}],%s
}"""


class FolderCase(unittest.TestCase):
    """Base for tests that write files."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, extra: str = "") -> Path:
        file = self.folder / "small.json"
        file.write_text(SMALL % extra, encoding="utf-8")
        return file

    def seed_files(self, folder: Path) -> dict[str, bytes]:
        return {file.name: file.read_bytes() for file in (folder / "seeds").iterdir()}


class ExperimentFileTest(FolderCase):
    """Guards against an experiment that plays something else than its file says."""

    def test_problems_name_file_field_and_bound(self):
        extra = "troubles: [{kind: 'engines_die', at: -1}, {kind: 'engines_di', at: 1, spare: 2}]"
        problems = [str(entry) for entry in load_checked_file(self.write(extra), Experiment)]
        self.assertTrue(any("troubles.0.at" in p and "0 s" in p for p in problems), problems)
        self.assertTrue(any("troubles.1.kind" in p for p in problems), problems)
        self.assertTrue(any("troubles.1.spare: is unknown" in p for p in problems), problems)

    def test_limits_of_a_policy_are_those_in_force(self):
        self.assertEqual(make_experiment().policies[0].placement.remote_cost, 0.2)
        file = self.folder / "e.json"
        text = SMALL.replace('{name: "current"}', '{name: "p", placement: {remote_costs: 1}}') % ""
        file.write_text(text, encoding="utf-8")
        problem, *_ = load_checked_file(file, Experiment)
        self.assertIn("policies.0.placement.remote_costs: is unknown", str(problem))

    def test_policies_of_one_name_are_rejected(self):
        with self.assertRaisesRegex(ValueError, "policies"):
            make_experiment(policies=(make_experiment().policies[0],) * 2)

    def test_shipped_files_are_valid(self):
        files = sorted(EXAMPLES.glob("*.json"))
        self.assertGreaterEqual(len(files), 8)
        for file in files:
            self.assertIsInstance(load_checked_file(file, Experiment), Experiment, file.name)


class RunTest(FolderCase):
    """Guards against results that depend on anything but the file and the seed."""

    def test_results_are_equal_bytes_with_any_number_of_jobs(self):
        experiment = make_experiment()
        for jobs in (1, 3):
            run_experiment.run_experiment(experiment, self.folder / f"{jobs}", jobs)
        one, three = (self.seed_files(self.folder / name) for name in ("1", "3"))
        self.assertEqual(len(one), 4)
        self.assertEqual(one, three)

    def test_finished_seeds_are_kept_and_not_played_again(self):
        experiment = make_experiment()
        run_experiment.run_experiment(experiment, self.folder, 1)
        files = self.seed_files(self.folder)
        (self.folder / "seeds" / "current-00001.json").unlink()
        progress: list[tuple[int, int]] = []
        run_experiment.run_experiment(
            experiment, self.folder, 1, lambda done, total: progress.append((done, total))
        )
        self.assertEqual(progress, [(3, 4), (4, 4)])
        self.assertEqual(self.seed_files(self.folder), files)

    def test_interrupt_keeps_the_finished_seeds(self):
        def interrupt(done, total):
            if done:
                raise KeyboardInterrupt

        experiment = make_experiment()
        is_complete = run_experiment.run_experiment(experiment, self.folder, 1, interrupt)
        self.assertFalse(is_complete)
        results = run_experiment.load_results(experiment, self.folder)
        self.assertGreaterEqual(sum(map(len, results.values())), 1)

    def test_folder_of_another_experiment_is_rejected(self):
        run_experiment.run_experiment(make_experiment(seeds=1), self.folder, 1)
        with self.assertRaisesRegex(ValueError, "another experiment"):
            run_experiment.run_experiment(make_experiment(duration=3.0), self.folder, 1)


class ReportTest(FolderCase):
    """Guards against figures that do not follow from the results."""

    def test_summary_and_difference(self):
        experiment = make_experiment()
        run_experiment.run_experiment(experiment, self.folder, 1)
        results = run_experiment.load_results(experiment, self.folder)
        summary = summarize("current", results["current"])
        self.assertAlmostEqual(sum(summary.shares.values()), 1.0, 3)
        shares = [served_share(result) for result in results["current"]]
        self.assertAlmostEqual(summary.served, sum(shares) / 2, 4)
        same = compare_pairs(results["current"], results["current"], served_share)
        self.assertEqual((same.mean, same.low, same.high), (0.0, 0.0, 0.0))
        other = compare_pairs(results["send-at-once"], results["current"], served_share)
        self.assertTrue(other.low <= other.mean <= other.high)

    def test_worth_is_weighted_by_kind_and_lateness(self):
        """Guards against a flood that looks harmless because most requests are cheap."""
        kinds = tuple(
            replace(kind, worth=worth, late_worth=0.25)
            for kind, worth in zip(make_experiment().kinds, (10.0, 1.0), strict=True)
        )
        experiment = make_experiment(kinds=kinds, seeds=1)
        run_experiment.run_experiment(experiment, self.folder, 1)
        result = run_experiment.load_results(experiment, self.folder)["current"][0]
        asked = earned = 0.0
        for kind in kinds:
            endings = result.endings_by_kind[kind.name]
            asked += kind.worth * sum(endings.values())
            earned += kind.worth * (endings.get("on_time", 0) + 0.25 * endings.get("late", 0))
        self.assertGreater(result.endings["late"], 0)
        self.assertAlmostEqual(result.worth_share, earned / asked, 5)

    def test_page_loads_nothing(self):
        outcome = CliRunner().invoke(
            cli.app, ["run", str(self.write()), "--jobs", "1", "--out", str(self.folder / "out")]
        )
        self.assertEqual(outcome.exit_code, 0, outcome.output)
        page = (self.folder / "out" / "report.html").read_text(encoding="utf-8")
        self.assertNotIn("http", page.replace("<!doctype html>", ""))
        self.assertIn("send/at once", page)


class CommandTest(FolderCase):
    """Guards against a command that hides why it does nothing."""

    def invoke(self, *arguments: str):
        return CliRunner().invoke(cli.app, arguments)

    def test_invalid_file_ends_with_the_code_of_the_closed_list(self):
        outcome = self.invoke("run", str(self.write("duration: -1")))
        self.assertEqual(
            outcome.exit_code, cli.ERROR_ANSWERS[cli.ErrorKind.INVALID_REQUEST].exit_code
        )
        self.assertIn("duration", outcome.output)

    def test_results_cannot_be_written_to_a_file(self):
        """Guards against a traceback where a message would do."""
        file = self.write()
        for option in ("--out", "--resume"):
            with self.subTest(option):
                outcome = self.invoke("run", str(file), option, str(file))
                code = cli.ERROR_ANSWERS[cli.ErrorKind.INVALID_REQUEST].exit_code
                self.assertEqual(outcome.exit_code, code)
                self.assertIn("is not a folder", outcome.output)

    def test_unknown_baseline_is_named(self):
        outcome = self.invoke("compare", str(self.write()), "--against", "none")
        self.assertNotEqual(outcome.exit_code, 0)
        self.assertIn("current", outcome.output)

    def test_compare_resume_and_report(self):
        file, out = str(self.write()), str(self.folder / "out")
        first = self.invoke("compare", file, "--against", "current", "--jobs", "1", "--out", out)
        self.assertEqual(first.exit_code, 0, first.output)
        self.assertIn("send/at once - current: served", first.output)
        self.assertNotEqual(self.invoke("run", file, "--jobs", "1", "--out", out).exit_code, 0)
        more = self.invoke("run", file, "--jobs", "1", "--seeds", "3", "--resume", out)
        self.assertIn("current, 3 seeds", more.output)
        self.assertIn("current, 3 seeds", self.invoke("report", out).output)

    def test_interrupt_says_what_is_kept(self):
        with mock.patch.object(cli, "run_experiment", return_value=False):
            outcome = self.invoke("run", str(self.write()), "--out", str(self.folder / "out"))
        self.assertEqual(outcome.exit_code, cli.INTERRUPTED)
        self.assertIn("--resume", outcome.output)


class IsolationTest(unittest.TestCase):
    """Guards against an instance that needs the planning tool or its libraries."""

    def test_no_process_of_a_deployment_imports_it(self):
        code = (
            "import sys, sapphireledge.cli, sapphireledge.daemon_runner\n"
            "import sapphireledge.platform.main\n"
            "names = {name.split('.')[0] for name in sys.modules}\n"
            "print(sorted(names & {'sapphireledge_experiment', 'numpy', 'scipy', 'matplotlib'}))"
        )
        shown = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True, timeout=60
        )
        self.assertEqual(shown.stdout.strip(), "[]")

    def test_sources_do_not_name_it(self):
        for folder in ("sapphireledge", "sapphireledge_standins"):
            for file in (ROOT / "src" / folder).rglob("*.py"):
                text = file.read_text(encoding="utf-8")
                self.assertNotIn("sapphireledge_experiment", text, file.name)


if __name__ == "__main__":
    unittest.main()
