"""Connection of the command line to the operator interface of an instance."""

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
"""Environment variable with the secret, read if no secret file is given."""

MAX_PORT = 65535
"""Highest valid TCP port."""

UNREACHABLE_EXIT_CODE = 1
"""Exit code if the server did not answer; the outcome of a change is then unknown."""


@dataclass(frozen=True)
class Connection:
    """Connection options of the command line."""

    server: str
    """Address of the operator interface, IP:port."""

    secret_file: Path | None
    """File that contains the secret; None to read it from the environment."""

    who: str
    """Name recorded with each change; empty to use the login name."""

    timeout: float
    """Timeout of one call in seconds."""

    output: OutputFormat
    """Output format."""

    @property
    def schema(self) -> Any:
        """Thrift module of the operator schema."""
        return load_schema("operator")

    def author(self, why: str) -> Any:
        """Builds the author of a change.

        Args:
            why: Reason for the change.

        Returns:
            The Author struct.
        """
        return self.schema.Author(who=self._user_name(), why=why)

    @staticmethod
    def new_operation_id() -> str:
        """Generates an operation id, by which a repeated call is recognised.

        Returns:
            A random UUID.
        """
        return str(uuid.uuid4())

    @contextmanager
    def client(self, extra_time: float = 0.0) -> Iterator[Any]:
        """Connects and authenticates; every error ends the command with its exit code.

        Args:
            extra_time: Seconds added to the timeout, for calls that wait on the server.

        Yields:
            The authenticated Thrift client.
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
        """Reads the secret from the file or the environment."""
        if self.secret_file is not None:
            try:
                return self.secret_file.read_text(encoding="utf-8").strip()
            except (OSError, UnicodeDecodeError) as exc:
                _fail(f"--secret-file: {exc}", ErrorKind.INVALID_REQUEST)
        return os.environ.get(SECRET_VARIABLE, "")

    def _user_name(self) -> str:
        """Returns the operator's name, by default the login name."""
        if self.who:
            return self.who
        try:
            return getpass.getuser()
        except (OSError, KeyError):
            _fail("--who: is required, the login has no name", ErrorKind.INVALID_REQUEST)


def _fail_with_operator_error(exc: Any) -> NoReturn:
    """Prints an `OperatorError` and ends the command with the exit code of its kind."""
    detail = ""
    # Version 0 means that the object does not exist, so a version conflict has at least one nonzero
    # version; conflicts of other kinds have none.
    if exc.kind == ErrorKind.CONFLICT and (exc.base_version or exc.current_version):
        detail = f" (based on version {exc.base_version}, in force {exc.current_version})"
    try:
        kind = ErrorKind(exc.kind)
    except ValueError:
        kind = ErrorKind.INTERNAL
    _fail(f"{exc.reason}{detail}", kind)


def _fail(reason: str, kind: ErrorKind) -> NoReturn:
    """Prints a reason and ends the command with the exit code of the error kind."""
    typer.echo(f"{kind}: {reason}", err=True)
    raise typer.Exit(ERROR_ANSWERS[kind].exit_code)
