"""Commands for the quarantine of requests that crash backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import typer

from sapphireledge.cli.output import print_outcome, print_rows

if TYPE_CHECKING:
    from sapphireledge.cli.connection import Connection

__all__ = ["app"]

app = typer.Typer(
    help="Requests that crash backend servers.\n\nExample: sapphireledge quarantine list",
    no_args_is_help=True,
)
"""The quarantine commands."""


@app.command("list")
def list_entries(ctx: typer.Context) -> None:
    """Lists suspect and condemned requests by fingerprint.

    Example: sapphireledge quarantine list
    """
    conn: Connection = ctx.obj
    with conn.client() as client:
        rows = client.quarantine_list()
    print_rows(rows, ("fingerprint", "deaths", "state", "since_unix", "backends"), conn.output)


@app.command()
def lift(
    ctx: typer.Context,
    fingerprint: str,
    why: Annotated[str, typer.Option("--why", help="Reason recorded with the change.")] = "",
) -> None:
    """Lifts the quarantine of a request, so that it is accepted again.

    Example: sapphireledge quarantine lift 9f0c... --why "engine fixed"
    """
    conn: Connection = ctx.obj
    with conn.client() as client:
        client.quarantine_lift(fingerprint, conn.new_operation_id(), conn.author(why))
    print_outcome("lifted", conn.output)
