"""Names of the platform's headers, in lower case as the HTTP parser gives them."""

from __future__ import annotations

__all__ = [
    "COPY_SOURCE",
    "COPY_TARGET",
    "EXPECTED_SERVER",
    "HOP_BY_HOP",
    "LAST_EVENT",
    "NOT_EXECUTED",
    "NOT_FORWARDED",
    "PREFIX_PARTS",
    "REQUEST_ID",
    "SIGNATURE",
    "TIME_LEFT",
    "TOKEN_COUNTS",
    "URGENCY",
    "WORKSPACE",
]

REQUEST_ID = b"x-sapphireledge-request-id"
TIME_LEFT = b"x-sapphireledge-deadline-ms"
"""Milliseconds that are left, not a point in time."""

LAST_EVENT = b"last-event-id"
TOKEN_COUNTS = b"x-sapphireledge-token-count"
"""Prompt tokens and the largest number of generated tokens, separated by a comma."""

PREFIX_PARTS = b"x-sapphireledge-prefix-hash"
"""Parts of the prompt with their token counts; not a hash of a prefix."""

SIGNATURE = b"x-sapphireledge-server-seal"
NOT_EXECUTED = b"x-sapphireledge-not-executed"
EXPECTED_SERVER = b"x-sapphireledge-expect-instance"
"""Identity of the backend server; `instance` here is not an entry instance."""

WORKSPACE = b"x-sapphireledge-tenant"
URGENCY = b"x-sapphireledge-urgency-class"
COPY_TARGET = b"x-sapphireledge-kv-backup"
COPY_SOURCE = b"kv-from"
RESERVATION = b"x-sapphireledge-hold"
PIN = b"x-sapphireledge-pin-ms"
FETCH_SOURCE = b"kv-fetch"
EXPECTED_VERSION = b"x-sapphireledge-expect-version"

NOT_FORWARDED = frozenset(
    {
        TIME_LEFT,
        LAST_EVENT,
        EXPECTED_SERVER,
        WORKSPACE,
        URGENCY,
        COPY_TARGET,
        COPY_SOURCE,
        RESERVATION,
        PIN,
        FETCH_SOURCE,
        EXPECTED_VERSION,
        b"authorization",
    }
)
"""Headers that are never passed on as the caller sent them."""

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
"""Headers that concern one connection only, and the body length, which is set anew."""
