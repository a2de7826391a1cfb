"""Output of results as text or JSON."""

from __future__ import annotations

from enum import StrEnum
from typing import Any

import msgspec
import typer
from rich.console import Console
from rich.table import Table

__all__ = ["OutputFormat", "print_object", "print_rows", "to_plain"]


class OutputFormat(StrEnum):
    """Form of the output."""

    TEXT = "text"
    """Tables and lines for people."""

    JSON = "json"
    """One JSON document for programs."""


def to_plain(value: Any) -> Any:
    """Turns a Thrift struct into maps and lists.

    Args:
        value: Struct, list or plain value.

    Returns:
        The same content without Thrift types.
    """
    if isinstance(value, list):
        return [to_plain(item) for item in value]
    spec = getattr(value, "thrift_spec", None)
    if spec is None:
        return value
    return {field[1]: to_plain(getattr(value, field[1])) for field in spec.values()}


def print_object(value: Any, output: OutputFormat) -> None:
    """Prints one result.

    Args:
        value: Thrift struct or plain value.
        output: Form of the output.
    """
    plain = to_plain(value)
    if output is OutputFormat.JSON:
        typer.echo(msgspec.json.encode(plain).decode())
        return
    for name, part in plain.items():
        typer.echo(f"{name}: {part}")


def print_rows(rows: list[Any], columns: tuple[str, ...], output: OutputFormat) -> None:
    """Prints a list of results.

    Args:
        rows: Thrift structs.
        columns: Fields shown in the text form; JSON has all fields.
        output: Form of the output.
    """
    plain = to_plain(rows)
    if output is OutputFormat.JSON:
        typer.echo(msgspec.json.encode(plain).decode())
        return
    table = Table(*columns, box=None)
    for row in plain:
        table.add_row(*(str(row[column]) for column in columns))
    Console(width=140).print(table)
