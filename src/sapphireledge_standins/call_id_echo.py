"""ASGI application that repeats the id of each call in its response."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from starlette.types import ASGIApp, Message, Receive, Scope, Send

__all__ = ["CallIdEcho"]

CALL_ID = b"x-call-id"


class CallIdEcho:
    """Adds the id of a call to the response of another application."""

    def __init__(self, app: ASGIApp) -> None:
        """Wraps an application.

        Args:
            app: Application that builds the responses.
        """
        self._app = app

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handles one request."""
        ids = [pair for pair in scope.get("headers", ()) if pair[0] == CALL_ID]

        async def send_with_id(message: Message) -> None:
            if message["type"] == "http.response.start":
                message = {**message, "headers": [*message.get("headers", ()), *ids]}
            await send(message)

        await self._app(scope, receive, send_with_id if ids else send)
