"""Command that explains where a request would go: explain."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import msgspec
import typer

from sapphireledge.cli.output import OutputFormat, print_object, print_rows
from sapphireledge.errors import ERROR_ANSWERS, ErrorKind

if TYPE_CHECKING:
    from sapphireledge.cli.connection import Connection

__all__ = ["register"]

HostOption = Annotated[str, typer.Option(help="Host of the request (gateway).")]
PathOption = Annotated[str, typer.Option(help="Path of the request.")]
MethodOption = Annotated[str, typer.Option(help="HTTP method.")]
WorkspaceOption = Annotated[str, typer.Option(help="Workspace by name; never a key.")]
RankOption = Annotated[str, typer.Option(help="Rank.")]
ModelOption = Annotated[str, typer.Option(help="Model (own interface).")]
ServiceOption = Annotated[str, typer.Option(help="Plain service, or one of the route's.")]
PromptOption = Annotated[int | None, typer.Option(help="Length of the prompt in tokens.")]
OutputOption = Annotated[int | None, typer.Option(help="Largest output in tokens.")]
PartOption = Annotated[
    list[str] | None, typer.Option(help="Part of the prompt in order, ID or ID=TOKENS.")
]
DeadlineOption = Annotated[float | None, typer.Option(help="Seconds that the caller waits.")]
LastEventOption = Annotated[
    int | None, typer.Option(help="Last event that the caller received, if it resumes.")
]
FirstAttemptOption = Annotated[
    str, typer.Option(help="Request id that brought the first event, if it resumes (gateway).")
]
FreshOption = Annotated[
    bool, typer.Option("--fresh", help="Fetch the load reports that a placement asks for.")
]
FileOption = Annotated[
    Path | None, typer.Option(help="JSON file with the request; options replace its fields.")
]

SERVER_COLUMNS = ("name", "data_centre", "version", "role", "cost", "chance", "report_age")
"""Fields of a server shown in the text format, before the terms of its cost and the reason."""

HEAD_FIELDS = ("instance", "outcome", "error_kind", "reason", "route", "service_name", "workspace")
"""Fields of the result shown first in the text format, if they have a value."""


FIELDS = (
    "host",
    "path",
    "method",
    "workspace",
    "rank",
    "model",
    "prompt_tokens",
    "output_tokens",
    "deadline",
    "last_event",
    "first_attempt",
    "fresh",
)
"""Fields of a request that the message has under the same name."""


class _Part(msgspec.Struct, forbid_unknown_fields=True):
    """Part of a prompt in a file."""

    part_id: str
    tokens: int = 0


class _Request(msgspec.Struct, forbid_unknown_fields=True):
    """Request in a file; the fields are described at ExplainRequest in schema/operator.thrift."""

    host: str = ""
    path: str = ""
    method: str = "POST"
    workspace: str = ""
    rank: str = ""
    model: str = ""
    service: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: list[_Part] = []
    deadline: float = 0.0
    last_event: int | None = None
    first_attempt: str = ""
    fresh: bool = False


def register(app: typer.Typer) -> None:
    """Adds the command.

    Args:
        app: Command line to extend.
    """
    app.command()(explain)


def explain(
    ctx: typer.Context,
    host: HostOption = "",
    path: PathOption = "",
    method: MethodOption = "",
    workspace: WorkspaceOption = "",
    rank: RankOption = "",
    model: ModelOption = "",
    service: ServiceOption = "",
    prompt_tokens: PromptOption = None,
    output_tokens: OutputOption = None,
    part: PartOption = None,
    deadline: DeadlineOption = None,
    last_event: LastEventOption = None,
    first_attempt: FirstAttemptOption = "",
    fresh: FreshOption = False,
    file: FileOption = None,
) -> None:
    """Explains where a request would go now and why, without sending it.

    Example: sapphireledge explain --model judge --workspace default --prompt-tokens 800
    """
    conn: Connection = ctx.obj
    request = _read_request(file)
    given = {
        **{name: value for name, value in ctx.params.items() if name not in ("file", "part")},
        "parts": [_parse_part(text) for text in part or ()],
    }
    for name, value in given.items():
        if value is not None and value is not False and value not in ("", []):
            setattr(request, name, value)
    with conn.client() as client:
        result = client.explain(_to_message(conn, request))
    if conn.output is OutputFormat.JSON:
        print_object(result, conn.output)
    else:
        _print_text(result)


def _to_message(conn: Connection, request: _Request) -> Any:
    """Converts a request to its message."""
    parts = [conn.schema.PromptPart(each.part_id, each.tokens) for each in request.parts]
    return conn.schema.ExplainRequest(
        **{name: getattr(request, name) for name in FIELDS},
        service_name=request.service,
        parts=parts,
        resumes=request.last_event is not None,
    )


def _read_request(file: Path | None) -> _Request:
    """Reads the request from a file, or ends the command if it cannot be read."""
    if file is None:
        return _Request()
    try:
        return msgspec.json.decode(file.read_bytes(), type=_Request)
    except (OSError, msgspec.DecodeError) as exc:
        _fail(f"--file: {exc}")


def _parse_part(text: str) -> _Part:
    """Parses ID or ID=TOKENS."""
    part_id, separator, tokens = text.rpartition("=")
    if not separator:
        return _Part(text)
    if not part_id or not tokens.isdecimal():
        _fail(f"--part: {text!r} must have the form ID or ID=TOKENS")
    return _Part(part_id, int(tokens))


def _fail(reason: str) -> Any:
    """Ends the command because of an unusable option."""
    typer.echo(f"{ErrorKind.INVALID_REQUEST}: {reason}", err=True)
    raise typer.Exit(ERROR_ANSWERS[ErrorKind.INVALID_REQUEST].exit_code)


def _print_text(result: Any) -> None:
    """Prints an explanation as text; what is not known is left out."""
    for name in HEAD_FIELDS:
        if getattr(result, name):
            typer.echo(f"{name}: {getattr(result, name)}")
    if result.kind:
        typer.echo(f"rank: {result.rank}, {result.kind}")
    if result.estimate >= 0:
        late = ", late" if result.is_late else ""
        typer.echo(f"estimate: {result.estimate:.2f} s{late}")
    if result.position >= 0:
        typer.echo(f"position: behind {result.position} requests")
    if result.waiting:
        lengths = ", ".join(f"{each.waiting} of rank {each.rank}" for each in result.waiting)
        typer.echo(f"waiting: {lengths}")
    for chance in result.chances:
        typer.echo(f"chance: {chance.name}: {chance.probability:.2f}")
    if result.shared_load:
        typer.echo(f"shared load: {result.shared_load}")
    for unknown in result.unknown:
        typer.echo(f"not known: {unknown}")
    typer.echo()
    print_rows(
        [
            {"check": c.name, "result": "passed" if c.passed else "refused", "reason": c.detail}
            for c in result.checks
        ],
        ("check", "result", "reason"),
        OutputFormat.TEXT,
    )
    if result.servers:
        typer.echo()
        _print_servers(result.servers)


def _print_servers(servers: list[Any]) -> None:
    """Prints the servers with the terms of their cost."""
    terms = list(dict.fromkeys(term.name for server in servers for term in server.terms))
    rows = []
    for server in servers:
        row = {name: _format_number(getattr(server, name)) for name in SERVER_COLUMNS}
        values = {term.name: f"{term.value:.2f}" for term in server.terms}
        rows.append({**row, **{name: values.get(name, "") for name in terms}, "why": server.reason})
    shown = [name for name in SERVER_COLUMNS if any(row[name] for row in rows)]
    print_rows(rows, (*shown, *terms, "why"), OutputFormat.TEXT)


def _format_number(value: Any) -> str:
    """Formats a field of a server; a negative number is not known."""
    if isinstance(value, float):
        return "" if value < 0 else f"{value:.2f}"
    return value or ""
