"""HTTP server of the stand-ins."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING

import uvicorn

if TYPE_CHECKING:
    from starlette.types import ASGIApp

__all__ = ["StandinServer"]

BACKLOG = 2048
"""Maximum number of connections waiting to be accepted."""


class _UvicornServer(uvicorn.Server):
    """uvicorn server that does not replace the signal handlers of its host process."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.ready = asyncio.Event()

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Installs no signal handlers, unlike the overridden method."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Sets `ready` once the server accepts connections."""
        await super().startup(sockets)
        self.ready.set()


class StandinServer:
    """Serves an application in the running event loop, for tests and load tools."""

    def __init__(self, app: ASGIApp, host: str = "127.0.0.1", port: int = 0) -> None:
        """Binds the port without serving; see `start`.

        Args:
            app: ASGI application.
            host: IP address to bind.
            port: TCP port, 0 for any free one.
        """
        self._app = app
        self._socket = create_listening_socket(host, port)
        self.port = self._socket.getsockname()[1]
        """TCP port that the server listens on."""

        self.address = f"{host}:{self.port}"
        """Address of the server, host:port."""

        self._server = _UvicornServer(create_server_config(app))
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Starts serving, until `stop` or `abort` is called."""
        self._task = asyncio.create_task(self._server.serve([self._socket]))
        await self._server.ready.wait()

    def abort(self) -> None:
        """Closes the port and aborts every connection, as if the process had crashed."""
        for server in getattr(self._server, "servers", []):
            server.close()
        self._socket.close()
        for connection in list(self._server.server_state.connections):
            connection.transport.abort()
        self._server.force_exit = True
        self._server.should_exit = True

    async def stop(self) -> None:
        """Aborts the server and waits until it has ended."""
        self.abort()
        if self._task is not None:
            await self._task


def create_listening_socket(host: str, port: int) -> socket.socket:
    """Binds a TCP port and listens, so that clients can connect as soon as the port is known.

    Args:
        host: IP address to bind.
        port: TCP port, 0 for any free one.

    Returns:
        The listening socket.
    """
    # asyncio sets TCP_NODELAY only on sockets created with an explicit protocol; without it, each
    # token could wait up to 40 ms for the acknowledgement of the previous one.
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(BACKLOG)
    return sock


def create_server_config(app: ASGIApp) -> uvicorn.Config:
    """Builds the uvicorn configuration of the engine and service stand-ins.

    Args:
        app: ASGI application.

    Returns:
        Configuration with the asyncio event loop and h11.
    """
    return uvicorn.Config(
        app,
        loop="asyncio",
        http="h11",
        interface="asgi3",
        ws="none",
        log_level="critical",
        access_log=False,
        backlog=BACKLOG,
        timeout_keep_alive=60,
        timeout_graceful_shutdown=1,
    )
