"""Commands for the running fleet: status, drain, order, replay."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import typer

from sapphireledge.cli.output import OutputFormat, print_object, print_outcome, print_rows
from sapphireledge.core.fleet import OrderAction
from sapphireledge.errors import ERROR_ANSWERS, ErrorKind

if TYPE_CHECKING:
    from sapphireledge.cli.connection import Connection

__all__ = ["register"]

WhyOption = Annotated[str, typer.Option("--why", help="Reason recorded with the change.")]


def register(app: typer.Typer) -> None:
    """Adds the fleet commands.

    Args:
        app: Command line to extend.
    """
    app.command()(status)
    app.command()(drain)
    app.command()(order)
    app.command()(replay)


def status(ctx: typer.Context) -> None:
    """Shows instances, backend servers, ranks and workspaces.

    Example: sapphireledge --output json status
    """
    conn: Connection = ctx.obj
    with conn.client() as client:
        result = client.status()
    if conn.output is OutputFormat.JSON:
        print_object(result, conn.output)
        return
    typer.echo(f"platform reachable: {'yes' if result.platform_reachable else 'no'}")
    entry_columns = ("instance", "data_centre", "state", "config_version", "requests_running")
    print_rows(result.entries, entry_columns, conn.output)
    backend_columns = (
        "name",
        "data_centre",
        "role",
        "model",
        "version",
        "state",
        "running",
        "slots",
    )
    print_rows(result.backends, backend_columns, conn.output)
    print_rows(result.ranks, ("name", "running", "queued", "tokens", "refused"), conn.output)
    print_rows(result.workspaces, ("name", "weight", "usage"), conn.output)


def drain(ctx: typer.Context, why: WhyOption = "") -> None:
    """Starts a graceful shutdown of the instance that --server names.

    Example: sapphireledge --server 127.0.0.1:7300 drain --why "new image"
    """
    conn: Connection = ctx.obj
    with conn.client() as client:
        client.drain(conn.new_operation_id(), conn.author(why))
    print_outcome("draining", conn.output)


def order(
    ctx: typer.Context,
    backend: str,
    action: OrderAction,
    model: Annotated[str, typer.Option(help="Model name.")] = "",
    version: Annotated[str, typer.Option(help="Model version.")] = "",
    adapter: Annotated[str, typer.Option(help="Adapter name.")] = "",
    role: Annotated[str, typer.Option(help="New role.")] = "",
    why: WhyOption = "",
) -> None:
    """Sends one order to an engine.

    Example: sapphireledge order engine-3 load_model --model judge --version 7 --why "trial"
    """
    conn: Connection = ctx.obj
    request = conn.schema.OrderRequest(
        operation_id=conn.new_operation_id(),
        backend=backend,
        action=str(action),
        model=model,
        version=version,
        adapter=adapter,
        role=role,
    )
    with conn.client() as client:
        print_object(client.order(request, conn.author(why)), conn.output)


def replay(ctx: typer.Context, request_id: str) -> None:
    """Shows the events of a request and replays its decisions on the recorded inputs.

    A request is identified by its workspace and its X-Request-Id, joined by "~".

    Example: sapphireledge replay "default~01976f0a-..."
    """
    conn: Connection = ctx.obj
    with conn.client() as client:
        result = client.replay(request_id)
    if conn.output is OutputFormat.JSON:
        print_object(result, conn.output)
    else:
        columns = ("sequence", "time_unix", "instance", "name", "input", "decisions", "difference")
        print_rows(result.events, columns, conn.output)
        for gap in result.gaps:
            typer.echo(f"gap: {gap}")
        typer.echo(f"reproduced: {'yes' if result.same else 'no'}")
    if not result.same:
        raise typer.Exit(ERROR_ANSWERS[ErrorKind.INTERNAL].exit_code)
