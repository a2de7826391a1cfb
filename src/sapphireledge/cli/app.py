"""The `sapphireledge` command."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from sapphireledge.cli import (
    declaration_commands,
    explain_command,
    fleet_commands,
    quarantine_commands,
    settings_commands,
)
from sapphireledge.cli.connection import Connection
from sapphireledge.cli.output import OutputFormat

__all__ = ["app", "main"]

app = typer.Typer(
    name="sapphireledge",
    help="Operates a sapphireledge fleet through the operator interface of any instance.\n\n"
    "Example: sapphireledge --server 127.0.0.1:7300 --who aroha status",
    no_args_is_help=True,
)
"""The command line with all its commands."""

app.add_typer(settings_commands.app, name="settings")
app.add_typer(quarantine_commands.app, name="quarantine")
declaration_commands.register(app)
fleet_commands.register(app)
explain_command.register(app)


@app.callback()
def connect(
    ctx: typer.Context,
    server: Annotated[
        str,
        typer.Option(
            envvar="SAPPHIRELEDGE_SERVER", help="Address of the operator interface, IP:port."
        ),
    ] = "127.0.0.1:7300",
    secret_file: Annotated[
        Path | None,
        typer.Option(
            envvar="SAPPHIRELEDGE_SECRET_FILE", help="File that contains the operators' secret."
        ),
    ] = None,
    who: Annotated[
        str, typer.Option(envvar="SAPPHIRELEDGE_WHO", help="Name recorded with each change.")
    ] = "",
    timeout: Annotated[float, typer.Option(help="Time limit of one call, in seconds.")] = 10.0,
    output: Annotated[OutputFormat, typer.Option(help="Output format.")] = OutputFormat.TEXT,
) -> None:
    """Stores the connection options in the context for the commands."""
    ctx.obj = Connection(server, secret_file, who, timeout, output)


def main() -> None:
    """Runs the command line; entry point of the console script."""
    app()
