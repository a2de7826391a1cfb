"""HTTP server of a stand-in."""

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
"""Connections that wait to be accepted."""


class _UvicornServer(uvicorn.Server):
    """Server that leaves the signal handlers of a surrounding process alone."""

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.ready = asyncio.Event()

    @contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Installs no handler."""
        yield

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Reports when the port is open."""
        await super().startup(sockets)
        self.ready.set()


class StandinServer:
    """Serves an application in the running event loop, for tests and load tools."""

    def __init__(self, app: ASGIApp, host: str = "127.0.0.1", port: int = 0) -> None:
        """Binds the port; `start` begins to serve.

        Args:
            app: ASGI application.
            host: IP number to bind.
            port: TCP port, 0 for a free one.
        """
        self._app = app
        self._socket = create_listening_socket(host, port)
        self.port = self._socket.getsockname()[1]
        """Port that the server listens on."""

        self.address = f"{host}:{self.port}"
        """"host:port" of the server."""

        self._server = _UvicornServer(create_server_config(app))
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Serves until `stop` or `abort`."""
        self._task = asyncio.create_task(self._server.serve([self._socket]))
        await self._server.ready.wait()

    def abort(self) -> None:
        """Closes the port and resets every connection, as the death of a process does."""
        for server in getattr(self._server, "servers", []):
            server.close()
        self._socket.close()
        for connection in list(self._server.server_state.connections):
            connection.transport.abort()
        self._server.force_exit = True
        self._server.should_exit = True

    async def stop(self) -> None:
        """Ends the server and every connection."""
        self.abort()
        if self._task is not None:
            await self._task


def create_listening_socket(host: str, port: int) -> socket.socket:
    """Binds a TCP port and listens, so that a caller told of the port can connect at once.

    Args:
        host: IP number to bind.
        port: TCP port, 0 for a free one.

    Returns:
        The bound socket.
    """
    # asyncio sets TCP_NODELAY only where the protocol is named; without it, each token would wait
    # up to 40 ms for the acknowledgement of the one before.
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(BACKLOG)
    return sock


def create_server_config(app: ASGIApp) -> uvicorn.Config:
    """Builds the server configuration that every stand-in uses.

    Args:
        app: ASGI application.

    Returns:
        Configuration with the asyncio loop and h11.
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
