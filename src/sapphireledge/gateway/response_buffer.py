"""Memory for response bodies that are read completely."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.gateway.backend_response_error import BackendResponseError
from sapphireledge.limits import RESPONSE_BUDGET, BufferShare

if TYPE_CHECKING:
    from typing import Self

__all__ = ["MAX_BODY_BYTES", "ResponseBuffer"]

MAX_BODY_BYTES = 4_194_304
"""Largest body of a response that is not a stream, as large as the largest request by default."""


class ResponseBuffer:
    """Collects one response body and limits it, alone and together with the others."""

    def __init__(self, max_bytes: int = MAX_BODY_BYTES) -> None:
        """Creates an empty buffer.

        Args:
            max_bytes: Largest body in bytes.
        """
        self._max_bytes = max_bytes
        self._body = bytearray()
        self._share = BufferShare(RESPONSE_BUDGET)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self._share.release()
        self._body = bytearray()

    def append(self, data: bytes) -> None:
        """Adds bytes.

        Args:
            data: Next bytes of the body.

        Raises:
            BackendResponseError: The body is too large, or all bodies together are.
        """
        if len(self._body) + len(data) > self._max_bytes:
            raise BackendResponseError(f"the response body is larger than {self._max_bytes} bytes")
        if not self._share.try_resize(len(self._body) + len(data)):
            raise BackendResponseError("no memory is left for response bodies")
        self._body += data

    def content(self) -> bytes:
        """Returns the bytes added so far."""
        return bytes(self._body)
