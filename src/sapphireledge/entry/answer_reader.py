"""Interface for reading an answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sapphireledge.entry.caller_request import CallerRequest
    from sapphireledge.errors import Failure

__all__ = ["AnswerReader"]


class AnswerReader(Protocol):
    """Reader of one answer from an offset on."""

    version: str
    """Model version, known after `open`."""

    async def open(self, req: CallerRequest, offset: int) -> Failure | None:
        """Begins to read; a failure needs no `close`."""
        ...

    async def wait(self, offset: int) -> None:
        """Waits until there is a token after an offset, or the end."""
        ...

    def pieces(self, start: int, stop: int | None) -> Sequence[str]:
        """Tokens that may be delivered."""
        ...

    def close(self) -> None:
        """Ends reading; repeated calls have no effect."""
        ...

    @property
    def available(self) -> int:
        """Number of tokens that may be delivered so far."""
        ...

    @property
    def is_drained(self) -> bool:
        """Whether no token will follow."""
        ...

    @property
    def failure(self) -> Failure | None:
        """Why the answer ended early, None while it goes on or if it is complete."""
        ...

    @property
    def finish_reason(self) -> str:
        """Finish reason of a complete answer."""
        ...
