"""Memory for complete response bodies."""

from __future__ import annotations

from sapphireledge.gateway.backend_response_error import BackendResponseError

__all__ = ["ResponseBuffer"]

MAX_BODY_BYTES = 4_194_304
"""Largest body of a response that is not a stream, as large as the largest request by default."""

MAX_TOTAL_BYTES = 16_777_216
"""Largest sum of the bodies that are being read, an eighth of the smallest machine's memory."""


class ResponseBuffer:
    """Collects one response body and limits it, alone and together with the others."""

    _total = 0

    def __init__(self) -> None:
        self._body = bytearray()

    def __enter__(self) -> ResponseBuffer:
        return self

    def __exit__(self, *_: object) -> None:
        ResponseBuffer._total -= len(self._body)
        self._body = bytearray()

    def append(self, data: bytes) -> None:
        """Adds bytes.

        Args:
            data: Next bytes of the body.

        Raises:
            BackendResponseError: The body is too large, or all bodies together are.
        """
        if len(self._body) + len(data) > MAX_BODY_BYTES:
            raise BackendResponseError(f"the response body is larger than {MAX_BODY_BYTES} bytes")
        if ResponseBuffer._total + len(data) > MAX_TOTAL_BYTES:
            raise BackendResponseError("no memory is left for response bodies")
        ResponseBuffer._total += len(data)
        self._body += data

    def content(self) -> bytes:
        """Returns the bytes added so far."""
        return bytes(self._body)
