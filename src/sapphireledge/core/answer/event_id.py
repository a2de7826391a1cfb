"""Position in an answer with the digest of the text before it."""

from __future__ import annotations

import re
from dataclasses import dataclass

from sapphireledge.errors import ErrorKind, Failure

__all__ = ["EventId"]

_PATTERN = re.compile(r"(0|[1-9][0-9]{0,17})\.([0-9a-f]{2,128})", re.ASCII)


@dataclass(frozen=True, slots=True)
class EventId:
    """Position in an answer with the digest of the text before it."""

    offset: int
    """Number of tokens before the position."""

    digest: str
    """Keyed digest in hexadecimal."""

    def __str__(self) -> str:
        return f"{self.offset}.{self.digest}"

    @classmethod
    def parse(cls, value: str) -> EventId | Failure:
        """Parses the form `<offset>.<digest>`.

        Args:
            value: Value of a Last-Event-ID header.

        Returns:
            The event id, or the failure `invalid_request`.
        """
        match = _PATTERN.fullmatch(value)
        if match is None:
            return Failure(ErrorKind.INVALID_REQUEST, "Last-Event-ID is not <offset>.<digest>")
        return cls(int(match[1]), match[2])
