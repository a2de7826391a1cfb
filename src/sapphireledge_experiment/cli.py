"""The `sapphireledge-experiment` command, a planning tool that is not part of a deployment."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

from sapphireledge.errors import ERROR_ANSWERS, ErrorKind
from sapphireledge.settings import load_checked_file
from sapphireledge_experiment.report import compare_pairs, write_report
from sapphireledge_experiment.report.write_report import MEASURES
from sapphireledge_experiment.run_experiment import (
    EXPERIMENT_FILE,
    default_jobs,
    load_results,
    run_experiment,
)
from sapphireledge_experiment.settings import Experiment

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge_experiment.model import SeedResult

__all__ = ["app", "main"]

INTERRUPTED = 130
"""Exit code after an interrupt."""

app = typer.Typer(
    name="sapphireledge-experiment",
    help="Compares policies on a model of a fleet.\n\n"
    "Example: sapphireledge-experiment run experiments/calm.json",
    no_args_is_help=True,
)
"""The command line with all its commands."""

FileArgument = Annotated[Path, typer.Argument(help="Experiment file, JSON with comments.")]
SeedsOption = Annotated[int, typer.Option(min=0, help="Number of seeds; 0 for that of the file.")]
JobsOption = Annotated[int, typer.Option(min=0, help="Processes; 0 for half of the cores.")]
ResumeOption = Annotated[
    Path | None, typer.Option(help="Folder of an earlier run whose seeds are kept.")
]
OutOption = Annotated[
    Path | None, typer.Option(help="Folder of the results; by default a new one beside the file.")
]


@app.command()
def run(
    file: FileArgument,
    seeds: SeedsOption = 0,
    jobs: JobsOption = 0,
    resume: ResumeOption = None,
    out: OutOption = None,
) -> None:
    """Plays all policies of a file and writes a report.

    Example: sapphireledge-experiment run experiments/calm.json --seeds 10
    """
    experiment = _load(file, seeds)
    folder = _play(experiment, file, jobs, resume, out)
    _report(experiment, folder, experiment.policies[0].name)


@app.command()
def compare(
    file: FileArgument,
    against: Annotated[str, typer.Option(help="Name of the policy to compare with.")],
    seeds: SeedsOption = 0,
    jobs: JobsOption = 0,
    resume: ResumeOption = None,
    out: OutOption = None,
) -> None:
    """Plays all policies and shows their differences to one of them over the same seeds.

    Example: sapphireledge-experiment compare experiments/flood.json --against current
    """
    experiment = _load(file, seeds)
    names = [policy.name for policy in experiment.policies]
    if against not in names:
        _exit_invalid(f"--against: no policy is named {against}; the file has {', '.join(names)}")
    folder = _play(experiment, file, jobs, resume, out)
    results = _report(experiment, folder, against)
    for policy in names:
        if policy != against:
            for name, measure in MEASURES.items():
                difference = compare_pairs(results[policy], results[against], measure)
                typer.echo(f"{policy} - {against}: {name} {difference}")


@app.command()
def report(
    folder: Annotated[Path, typer.Argument(help="Folder of an earlier run.")],
) -> None:
    """Writes the report of the seeds in a folder again.

    Example: sapphireledge-experiment report calm-results
    """
    experiment = _load(folder / EXPERIMENT_FILE, len(list(folder.glob("seeds/*.json"))))
    _report(experiment, folder, experiment.policies[0].name)


def _load(file: Path, seeds: int) -> Experiment:
    """Loads a file, or prints its problems and ends the command."""
    loaded = load_checked_file(file, Experiment)
    if not isinstance(loaded, Experiment):
        for problem in loaded:
            typer.echo(str(problem), err=True)
        raise typer.Exit(ERROR_ANSWERS[ErrorKind.INVALID_REQUEST].exit_code)
    return replace(loaded, seeds=seeds) if seeds else loaded


def _exit_invalid(message: str) -> None:
    """Prints why an argument is invalid and ends the command."""
    typer.echo(message, err=True)
    raise typer.Exit(ERROR_ANSWERS[ErrorKind.INVALID_REQUEST].exit_code)


def _play(
    experiment: Experiment, file: Path, jobs: int, resume: Path | None, out: Path | None
) -> Path:
    """Plays what is missing in the folder of the results, and returns the folder."""
    folder = resume or out or Path(f"{file.stem}-results")
    if folder.exists() and not folder.is_dir():
        _exit_invalid(f"{folder} is not a folder")
    if resume is None and (folder / EXPERIMENT_FILE).exists():
        _exit_invalid(f"{folder} holds results; name it with --resume, or another one with --out")
    columns = (
        TextColumn(experiment.name),
        BarColumn(),
        MofNCompleteColumn(),
        TimeRemainingColumn(),
    )
    with Progress(*columns) as progress:
        task = progress.add_task("plays")

        def on_progress(done: int, total: int) -> None:
            progress.update(task, completed=done, total=total)

        is_complete = _run_checked(experiment, folder, jobs or default_jobs(), on_progress)
    if not is_complete:
        finished = len(list(folder.glob("seeds/*.json")))
        typer.echo(f"interrupted; {finished} plays are kept, go on with --resume {folder}")
        raise typer.Exit(INTERRUPTED)
    return folder


def _run_checked(
    experiment: Experiment, folder: Path, jobs: int, on_progress: Callable[[int, int], None]
) -> bool:
    """Runs the experiment; a folder with other results ends the command."""
    try:
        return run_experiment(experiment, folder, jobs, on_progress)
    except ValueError as exc:
        _exit_invalid(str(exc))
        raise


def _report(experiment: Experiment, folder: Path, baseline: str) -> dict[str, list[SeedResult]]:
    """Writes the report and prints the main figures."""
    results = {name: found for name, found in load_results(experiment, folder).items() if found}
    if baseline not in results:
        _exit_invalid(f"{folder} holds no results of {baseline}")
    page = write_report(experiment.name, results, baseline, folder)
    for policy, seeds in results.items():
        figures = ", ".join(
            f"{name} {sum(map(measure, seeds)) / len(seeds):.4f}"
            for name, measure in MEASURES.items()
        )
        typer.echo(f"{policy}, {len(seeds)} seeds: {figures}")
    typer.echo(f"report: {page}")
    return results


def main() -> None:
    """Runs the command."""
    app()


if __name__ == "__main__":
    main()
