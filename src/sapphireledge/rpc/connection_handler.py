"""Interface of the handler of one server connection."""

from __future__ import annotations

from typing import Any, Protocol

__all__ = ["ConnectionHandler"]


class ConnectionHandler(Protocol):
    """Handler of the calls of one connection, with one coroutine per method of the service.

    Each connection has its own handler, which can therefore store the identity of the client.
    """

    async def hello(self, *args: Any) -> Any:
        """Authenticates the connection.

        Args:
            *args: Arguments of hello as declared in the schema.

        Returns:
            The reply of hello as declared in the schema.

        Raises:
            Exception: The exception declared in the schema; the server then closes the connection.
        """
        ...
