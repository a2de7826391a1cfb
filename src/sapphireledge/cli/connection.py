"""Connection of the command line to an instance."""

from __future__ import annotations

import getpass
import os
import uuid
from contextlib import contextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NoReturn

import typer
from thriftpy2.rpc import make_client
from thriftpy2.thrift import TException
from thriftpy2.transport import TTransportException

from sapphireledge.errors import ERROR_ANSWERS, ErrorKind
from sapphireledge.rpc import load_schema

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from sapphireledge.cli.output import OutputFormat

__all__ = ["Connection"]

SECRET_VARIABLE = "SAPPHIRELEDGE_SECRET"
"""Environment variable that holds the secret if no file is named."""

MAX_PORT = 65535
"""Highest TCP port."""

UNREACHABLE_EXIT_CODE = 1
"""Exit code when no answer came; the outcome of a change is then unknown."""


@dataclass(frozen=True)
class Connection:
    """How to reach the operator interface."""

    server: str
    """Address, IP:port."""

    secret_file: Path | None
    """File that holds the secret."""

    who: str
    """Name recorded with each change; empty for the name of the login."""

    timeout: float
    """Time limit of one call, in seconds."""

    output: OutputFormat
    """Form of the output."""

    @property
    def schema(self) -> Any:
        """The module of the operator schema."""
        return load_schema("operator")

    def author(self, why: str) -> Any:
        """Makes the author record of a change.

        Args:
            why: Reason of the change.

        Returns:
            The Thrift struct.
        """
        return self.schema.Author(who=self._user_name(), why=why)

    @staticmethod
    def new_operation_id() -> str:
        """Makes an operation id.

        Returns:
            A random UUID.
        """
        return str(uuid.uuid4())

    @contextmanager
    def client(self, extra_time: float = 0.0) -> Iterator[Any]:
        """Connects, authenticates and turns every error into an exit code.

        Args:
            extra_time: Seconds that a waiting call adds to the time limit.

        Yields:
            The Thrift client.
        """
        host, _, port = self.server.rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
            reason = f"--server: {self.server!r} must have the form IP:port, port 1 to {MAX_PORT}"
            _fail(reason, ErrorKind.INVALID_REQUEST)
        secret, who = self._read_secret(), self._user_name()
        client = None
        try:
            client = make_client(
                self.schema.Operator,
                host,
                int(port),
                timeout=int((self.timeout + extra_time) * 1000),
            )
            client.hello(secret, who)
            yield client
        except self.schema.OperatorError as exc:
            _fail_with_operator_error(exc)
        except (TTransportException, OSError, TException) as exc:
            typer.echo(f"no answer from {self.server}: {exc}", err=True)
            raise typer.Exit(UNREACHABLE_EXIT_CODE) from exc
        finally:
            if client is not None:
                client.close()

    def _read_secret(self) -> str:
        """Reads the secret."""
        if self.secret_file is not None:
            try:
                return self.secret_file.read_text(encoding="utf-8").strip()
            except (OSError, UnicodeDecodeError) as exc:
                _fail(f"--secret-file: {exc}", ErrorKind.INVALID_REQUEST)
        return os.environ.get(SECRET_VARIABLE, "")

    def _user_name(self) -> str:
        """Names the person."""
        if self.who:
            return self.who
        try:
            return getpass.getuser()
        except (OSError, KeyError):
            _fail("--who: is required, the login has no name", ErrorKind.INVALID_REQUEST)


def _fail_with_operator_error(exc: Any) -> NoReturn:
    """Ends the command with the exit code of an operator error."""
    detail = ""
    # Version 0 stands for an object that does not exist, so a known conflict has one other than 0.
    if exc.kind == ErrorKind.CONFLICT and (exc.base_version or exc.current_version):
        detail = f" (based on version {exc.base_version}, in force {exc.current_version})"
    try:
        kind = ErrorKind(exc.kind)
    except ValueError:
        kind = ErrorKind.INTERNAL
    _fail(f"{exc.reason}{detail}", kind)


def _fail(reason: str, kind: ErrorKind) -> NoReturn:
    """Ends the command with the exit code of an error kind."""
    typer.echo(f"{kind}: {reason}", err=True)
    raise typer.Exit(ERROR_ANSWERS[kind].exit_code)
