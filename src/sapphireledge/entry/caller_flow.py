"""Flow control of a caller connection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from uvicorn.protocols.http.flow_control import FlowControl

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

__all__ = ["CallerFlow"]


class CallerFlow(FlowControl):
    """Flow control that reports when the application can take more of a request."""

    def __init__(self, transport: asyncio.Transport, on_resumed: Callable[[], None]) -> None:
        super().__init__(transport)
        self._on_resumed = on_resumed

    def resume_reading(self) -> None:
        """Marks that the application can take more."""
        if self.read_paused:
            self.read_paused = False
            self._on_resumed()
