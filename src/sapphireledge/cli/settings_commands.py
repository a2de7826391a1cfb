"""Commands that check and show settings files; they need no running instance."""

from __future__ import annotations

from dataclasses import fields, is_dataclass
from pathlib import Path
from typing import Annotated, Any

import typer

from sapphireledge.cli.output import OutputFormat, print_object
from sapphireledge.errors import ERROR_ANSWERS, ErrorKind
from sapphireledge.settings import Settings, load_settings

__all__ = ["app"]

app = typer.Typer(
    help="Settings files of instances.\n\n"
    "Example: sapphireledge settings check examples/ara-tika/akl-a-1.json",
    no_args_is_help=True,
)
"""The settings commands."""

SECRET_FIELDS = frozenset({"fleet_secret", "operator_secret"})
"""Fields whose values are hidden in the output."""

FileArgument = Annotated[Path, typer.Argument(help="Settings file, JSON with comments.")]


@app.command()
def check(ctx: typer.Context, file: FileArgument) -> None:
    """Checks a settings file and reports every problem.

    Example: sapphireledge settings check examples/ara-tika/akl-a-1.json
    """
    _load_or_exit(file)
    if ctx.obj.output is OutputFormat.JSON:
        print_object({"problems": []}, ctx.obj.output)
        return
    typer.echo(f"{file}: no problems")


@app.command()
def show(ctx: typer.Context, file: FileArgument) -> None:
    """Shows all settings with defaults and units.

    Example: sapphireledge settings show examples/ara-tika/akl-a-1.json
    """
    rows = dict(_flatten(_load_or_exit(file), ""))
    output = ctx.obj.output
    if output is OutputFormat.JSON:
        rows = {name: value for name, (value, _) in rows.items()}
        print_object(rows, output)
        return
    for name, (value, unit) in rows.items():
        typer.echo(f"{name} = {value!r}" + (f" {unit}" if unit else ""))


def _load_or_exit(file: Path) -> Settings:
    """Loads the file, or prints its problems and ends the command."""
    result = load_settings(file)
    if isinstance(result, Settings):
        return result
    for problem in result:
        typer.echo(str(problem), err=True)
    raise typer.Exit(ERROR_ANSWERS[ErrorKind.INVALID_REQUEST].exit_code)


def _flatten(section: Any, prefix: str) -> list[tuple[str, tuple[Any, str]]]:
    """Flattens nested settings into dotted names, each with its value and unit."""
    rows: list[tuple[str, tuple[Any, str]]] = []
    for field in fields(section):
        value = getattr(section, field.name)
        name = f"{prefix}{field.name}"
        if is_dataclass(value):
            rows.extend(_flatten(value, f"{name}."))
            continue
        if field.name in SECRET_FIELDS and value:
            value = "(set)"
        info = type(section).__pydantic_fields__[field.name]
        extra = info.json_schema_extra
        unit = str(extra.get("unit", "")) if isinstance(extra, dict) else ""
        rows.append((name, (value, unit)))
    return rows
