"""Prints results as text or JSON."""

from __future__ import annotations

from datetime import UTC, datetime
from enum import StrEnum
from typing import Any

import msgspec
import typer
from rich.console import Console
from rich.measure import Measurement
from rich.table import Table
from rich.text import Text

__all__ = [
    "OutputFormat",
    "print_blocks",
    "print_object",
    "print_outcome",
    "print_rows",
    "to_plain",
]

UNIX_SUFFIX = "_unix"
"""Suffix of fields in Unix seconds; the text format shows them as ISO 8601 in UTC."""

MAX_WIDTH = 1_000_000
"""Upper limit of the table width, in characters."""


class OutputFormat(StrEnum):
    """Output format of the command line."""

    TEXT = "text"
    """Tables and lines to be read by people."""

    JSON = "json"
    """One JSON document to be read by programs."""


def to_plain(value: Any) -> Any:
    """Converts Thrift structs to dictionaries, recursively.

    Args:
        value: Struct, list, dictionary or plain value.

    Returns:
        The same content without Thrift structs.
    """
    if isinstance(value, list):
        return [to_plain(item) for item in value]
    if isinstance(value, dict):
        return {name: to_plain(item) for name, item in value.items()}
    spec = getattr(value, "thrift_spec", None)
    if spec is None:
        return value
    return {field[1]: to_plain(getattr(value, field[1])) for field in spec.values()}


def print_object(value: Any, output: OutputFormat) -> None:
    """Prints one result.

    Args:
        value: Thrift struct or plain value.
        output: Output format.
    """
    plain = to_plain(value)
    if output is OutputFormat.JSON:
        _print_json(plain)
        return
    for name, item in plain.items():
        typer.echo(f"{_label(name)}: {_format_value(name, item)}")


def print_outcome(outcome: str, output: OutputFormat) -> None:
    """Prints the outcome of a call that returns no data.

    Args:
        outcome: Outcome in one word.
        output: Output format.
    """
    if output is OutputFormat.JSON:
        _print_json({"outcome": outcome})
        return
    typer.echo(outcome)


def print_rows(rows: list[Any], columns: tuple[str, ...], output: OutputFormat) -> None:
    """Prints a list of results as a table with one line per result.

    Args:
        rows: Thrift structs.
        columns: Fields shown in the text format; JSON contains all fields.
        output: Output format.
    """
    plain = to_plain(rows)
    if output is OutputFormat.JSON:
        _print_json(plain)
        return
    table = Table(box=None)
    for column in columns:
        table.add_column(_label(column), no_wrap=True)
    for row in plain:
        table.add_row(*(Text(_format_value(column, row[column])) for column in columns))
    # A table limited to the terminal width would truncate cells; the terminal wraps long lines.
    console = Console(highlight=False)
    options = console.options.update(width=MAX_WIDTH)
    console.width = max(1, Measurement.get(console, options, table).maximum)
    console.print(table)


def print_blocks(rows: list[Any], columns: tuple[str, ...], output: OutputFormat) -> None:
    """Prints a list of results as blocks with one line per field.

    Args:
        rows: Thrift structs.
        columns: Fields shown in the text format; JSON contains all fields.
        output: Output format.
    """
    plain = to_plain(rows)
    if output is OutputFormat.JSON:
        _print_json(plain)
        return
    for number, row in enumerate(plain):
        if number:
            typer.echo()
        print_object({column: row[column] for column in columns}, output)


def _print_json(plain: Any) -> None:
    """Prints one JSON document."""
    typer.echo(msgspec.json.encode(plain).decode())


def _label(name: str) -> str:
    """Returns the label of a field in the text format, without the unit suffix of times."""
    return name.removesuffix(UNIX_SUFFIX)


def _format_value(name: str, value: Any) -> str:
    """Formats a value for the text format."""
    if name.endswith(UNIX_SUFFIX) and value is not None:
        return datetime.fromtimestamp(value, UTC).isoformat(timespec="milliseconds")
    if isinstance(value, list):
        return ", ".join(map(str, value))
    return "" if value is None else str(value)
