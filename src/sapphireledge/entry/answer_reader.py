"""Interface for reading the tokens of an answer."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

    from sapphireledge.entry.caller_request import CallerRequest
    from sapphireledge.errors import Failure

__all__ = ["AnswerReader"]


class AnswerReader(Protocol):
    """Reads the tokens of one answer, from an offset."""

    version: str
    """Model version, empty while unknown; set before `wait` returns with a token."""

    software: str | None
    """Software version, None while unknown; set before `wait` returns with a token."""

    async def open(self, req: CallerRequest, offset: int) -> Failure | None:
        """Checks the caller's position and starts reading; after a failure no `close` is needed."""
        ...

    async def wait(self, offset: int) -> None:
        """Waits for the token at an offset, or for the end of the answer."""
        ...

    def pieces(self, start: int, stop: int | None) -> Sequence[str]:
        """Returns the tokens of a range, one text each; `stop` None means all available ones."""
        ...

    def close(self) -> None:
        """Stops reading; idempotent."""
        ...

    @property
    def available(self) -> int:
        """Number of tokens available for delivery."""
        ...

    @property
    def is_drained(self) -> bool:
        """Whether the answer has ended and no further token becomes available."""
        ...

    @property
    def failure(self) -> Failure | None:
        """Why the answer ended early; None while it is running or if it completed."""
        ...

    @property
    def finish_reason(self) -> str:
        """Finish reason of an answer that completed."""
        ...
