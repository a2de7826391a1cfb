"""HTTP server of the caller interface."""

from __future__ import annotations

import contextlib
import socket
from functools import partial
from typing import TYPE_CHECKING

import uvicorn

from sapphireledge.entry.caller_protocol import CallerProtocol
from sapphireledge.limits import ACCEPT_BATCH, QUEUE_LENGTH

if TYPE_CHECKING:
    from starlette.types import ASGIApp

    from sapphireledge.limits import CallerLedger
    from sapphireledge.settings import CallerSettings

__all__ = ["CallerServer"]

KEEP_ALIVE_TIMEOUT = 30
"""Seconds after which an idle caller connection is closed."""

CLOSE_LIMIT = 1
"""Seconds after a graceful shutdown's drain in which callers can still read the ends of answers."""


class CallerServer(uvicorn.Server):
    """Serves the caller interface; `serve` runs it until `should_exit` is set."""

    def __init__(self, app: ASGIApp, cfg: CallerSettings, ledger: CallerLedger) -> None:
        """Creates the server.

        Args:
            app: Application of the caller interface.
            cfg: Limits of single requests.
            ledger: Limits of all connections together.
        """
        protocol = partial(CallerProtocol, ledger=ledger)
        config = uvicorn.Config(
            app,
            loop="asyncio",
            http=protocol,  # type: ignore[arg-type]
            ws="none",
            lifespan="off",
            access_log=False,
            log_config=None,
            # asyncio accepts as many connections in one pass of the event loop.
            backlog=ACCEPT_BATCH,
            timeout_keep_alive=KEEP_ALIVE_TIMEOUT,
            timeout_graceful_shutdown=CLOSE_LIMIT,
            h11_max_incomplete_event_size=cfg.max_header,
        )
        super().__init__(config)
        # The daemon handles signals: uvicorn would close streams that must be completed during a
        # graceful shutdown.
        self.capture_signals = contextlib.nullcontext

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Starts to accept connections, with a long accept queue."""
        await super().startup(sockets)
        for sock in sockets or ():
            sock.listen(QUEUE_LENGTH)
