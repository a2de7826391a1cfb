"""HTTP client connections whose responses are limited in size and in event loop time."""

from sapphireledge.limited_http.limited_connection import (
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    LimitedConnection,
)
from sapphireledge.limited_http.read_body import read_body
from sapphireledge.limited_http.response_too_long import ResponseTooLong

__all__ = [
    "MAX_BODY_BYTES",
    "MAX_HEAD_BYTES",
    "LimitedConnection",
    "ResponseTooLong",
    "read_body",
]
