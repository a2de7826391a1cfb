"""Interface of the methods behind one server connection."""

from __future__ import annotations

from typing import Any, Protocol

__all__ = ["ConnectionHandler"]


class ConnectionHandler(Protocol):
    """Serves the calls of one connection; has one coroutine method per method of the service.

    A handler is made for each connection, so it can keep who said hello.
    """

    async def hello(self, *args: Any) -> Any:
        """Authenticates the connection.

        Args:
            *args: Arguments of the schema's hello.

        Returns:
            The reply of the schema's hello.

        Raises:
            Exception: The exception that the schema declares; the connection is closed after it.
        """
        ...
