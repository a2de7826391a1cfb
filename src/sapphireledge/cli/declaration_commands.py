"""Commands for declarations: apply, diff, get, list, history, reapply, delete."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from sapphireledge.cli.declaration_files import DeclarationFile, read_declarations
from sapphireledge.cli.output import OutputFormat, print_blocks, print_object, print_rows
from sapphireledge.errors import ERROR_ANSWERS, ErrorKind

if TYPE_CHECKING:
    from sapphireledge.cli.connection import Connection

__all__ = ["register"]

PathsArgument = Annotated[
    list[Path], typer.Argument(exists=True, help="Files or directories of declarations.")
]
WhyOption = Annotated[str, typer.Option("--why", help="Reason recorded with the change.")]
WaitOption = Annotated[
    float, typer.Option("--wait", help="Seconds to wait until the change is in force everywhere.")
]

DIFF_COLUMNS = ("kind", "name", "version", "before", "after")
"""Fields of a diff entry shown in the text format."""


def register(app: typer.Typer) -> None:
    """Adds the declaration commands.

    Args:
        app: Command line to extend.
    """
    app.command()(apply)
    app.command()(diff)
    app.command("get")(get_declaration)
    app.command("list")(list_declarations)
    app.command()(history)
    app.command()(reapply)
    app.command()(delete)


def apply(
    ctx: typer.Context,
    paths: PathsArgument,
    why: WhyOption = "",
    dry_run: Annotated[
        bool, typer.Option("--dry-run", help="Only show what would change.")
    ] = False,
    wait: WaitOption = 0.0,
) -> None:
    """Applies declarations from files; applying the same files again changes nothing.

    Example: sapphireledge apply declarations/ --why "more weight for the Hamar club"
    """
    conn: Connection = ctx.obj
    files = _read_or_exit(paths)
    with conn.client(wait) as client:
        entries = client.diff(_declaration_structs(conn, files))
        if dry_run:
            print_blocks(entries, DIFF_COLUMNS, conn.output)
            return
        results = []
        for number, entry in enumerate(entries, 1):
            change = _new_change(conn, entry.kind, entry.name, entry.after, entry.version)
            result = client.apply(change, conn.author(why))
            results.append(result)
            progress = f"{number}/{len(entries)} {entry.kind}/{entry.name} version {result.version}"
            typer.echo(progress, err=True)
        version = max((result.version for result in results), default=0)
        in_force = client.wait_in_force(version, wait) if wait and results else []
    _print_applied(results, in_force, conn.output)
    if any(entry.config_version < version for entry in in_force):
        typer.echo(f"version {version} is not yet in force everywhere", err=True)
        raise typer.Exit(ERROR_ANSWERS[ErrorKind.DEADLINE_EXCEEDED].exit_code)


def diff(ctx: typer.Context, paths: PathsArgument) -> None:
    """Shows which declarations in files differ from the stored ones.

    Example: sapphireledge diff declarations/
    """
    conn: Connection = ctx.obj
    with conn.client() as client:
        entries = client.diff(_declaration_structs(conn, _read_or_exit(paths)))
    print_blocks(entries, DIFF_COLUMNS, conn.output)


def get_declaration(ctx: typer.Context, kind: str, name: str) -> None:
    """Shows one declaration with its version.

    Example: sapphireledge get rank urgent
    """
    conn: Connection = ctx.obj
    with conn.client() as client:
        print_object(client.get_declaration(kind, name), conn.output)


def list_declarations(ctx: typer.Context, kind: str) -> None:
    """Lists the declarations of one kind.

    Example: sapphireledge list workspace
    """
    conn: Connection = ctx.obj
    with conn.client() as client:
        rows = client.list_declarations(kind)
    print_rows(rows, ("kind", "name", "version", "spec"), conn.output)


def history(
    ctx: typer.Context,
    kind: str,
    name: str,
    limit: Annotated[int, typer.Option(min=1, help="Maximum number of changes shown.")] = 20,
) -> None:
    """Shows the accepted changes of an object, newest first.

    Example: sapphireledge history rank urgent
    """
    conn: Connection = ctx.obj
    with conn.client() as client:
        rows = client.history(kind, name, limit)
    columns = (
        "operation_id",
        "when_unix",
        "who",
        "why",
        "base_version",
        "version",
        "before",
        "after",
    )
    print_blocks(rows, columns, conn.output)


def reapply(
    ctx: typer.Context,
    record_id: str,
    base_version: Annotated[int, typer.Option(help="Version that this change is based on.")],
    why: WhyOption = "",
    operation_id: Annotated[
        str,
        typer.Option(help="Operation id of an earlier call to retry after its response was lost."),
    ] = "",
) -> None:
    """Applies the content of an earlier change again, as a new change.

    Example: sapphireledge reapply 3f6c... --base-version 812 --why "undo"
    """
    conn: Connection = ctx.obj
    operation = operation_id or conn.new_operation_id()
    # If the response is lost, the call can be retried safely only with the same operation id.
    typer.echo(f"operation id {operation}", err=True)
    with conn.client() as client:
        result = client.reapply(record_id, operation, base_version, conn.author(why))
    print_object(result, conn.output)


def delete(ctx: typer.Context, kind: str, name: str, why: WhyOption = "") -> None:
    """Deletes a declaration; its history is kept.

    Example: sapphireledge delete workspace old-club --why "closed"
    """
    conn: Connection = ctx.obj
    with conn.client() as client:
        current = client.get_declaration(kind, name)
        change = _new_change(conn, kind, name, "", current.version)
        print_object(client.apply(change, conn.author(why)), conn.output)


def _read_or_exit(paths: list[Path]) -> list[DeclarationFile]:
    """Reads the files, or ends the command if one is unreadable or malformed."""
    try:
        return read_declarations(paths)
    except ValueError as exc:
        typer.echo(f"{ErrorKind.INVALID_REQUEST}: {exc}", err=True)
        raise typer.Exit(ERROR_ANSWERS[ErrorKind.INVALID_REQUEST].exit_code) from exc


def _declaration_structs(conn: Connection, files: list[DeclarationFile]) -> list[Any]:
    """Converts declaration files to Thrift structs."""
    return [
        conn.schema.Declaration(kind=file.kind, name=file.name, spec=file.spec, version=0)
        for file in files
    ]


def _new_change(conn: Connection, kind: str, name: str, spec: str, base_version: int) -> Any:
    """Builds a change with a new operation id; an empty spec means deletion."""
    return conn.schema.Change(
        operation_id=conn.new_operation_id(),
        kind=kind,
        name=name,
        spec=spec,
        base_version=base_version,
        deleted=not spec,
    )


def _print_applied(results: list[Any], in_force: list[Any], output: OutputFormat) -> None:
    """Prints the results of `apply` and, with --wait, the version in force at each instance."""
    if output is OutputFormat.JSON:
        print_object({"results": results, "in_force": in_force}, output)
        return
    print_rows(results, ("operation_id", "version", "changed"), output)
    if in_force:
        print_rows(in_force, ("instance", "data_centre", "config_version", "reachable"), output)
