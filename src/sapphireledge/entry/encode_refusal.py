"""Refusal of a request that the application has not received completely."""

from __future__ import annotations

import h11

from sapphireledge.entry.answer_format import build_failure_headers, encode_failure
from sapphireledge.errors import ErrorKind, Failure

__all__ = ["encode_refusal"]

RETRY_AFTER = 1.0
"""Seconds after which a request for which no memory was left may be sent again."""


def encode_refusal(conn: h11.Connection, reason: str) -> bytes:
    """Encodes a refusal as not run, after which the connection is closed.

    Args:
        conn: Parser of the connection, on which no response has begun.
        reason: Reason for the caller.

    Returns:
        The response.
    """
    failure = Failure(ErrorKind.OVERLOADED, reason, retry_after=RETRY_AFTER)
    body = encode_failure(failure)
    fields = build_failure_headers(failure) | {
        "content-type": "application/json",
        "content-length": str(len(body)),
        "connection": "close",
    }
    headers = [(name.encode(), value.encode()) for name, value in fields.items()]
    status = failure.answer.http_status
    response = h11.Response(status_code=status, headers=headers, reason=b"")
    events = (response, h11.Data(data=body), h11.EndOfMessage())
    return b"".join(conn.send(event) or b"" for event in events)
