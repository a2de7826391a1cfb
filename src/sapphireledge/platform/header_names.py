"""Names of the platform's headers, in lower case as the HTTP parser returns them."""

from __future__ import annotations

__all__ = [
    "EXPECTED_SERVER",
    "HOP_BY_HOP",
    "LAST_EVENT",
    "LEAVING",
    "NOT_EXECUTED",
    "NOT_FORWARDED",
    "PREFIX_PARTS",
    "RATE_LIMIT",
    "REJECTION_LIMIT",
    "REPLICA_SOURCE",
    "REPLICA_TARGET",
    "REQUEST_ID",
    "RESUMES",
    "SIGNATURE",
    "TIME_LEFT",
    "TOKEN_COUNTS",
    "URGENCY",
    "WORKSPACE",
]

REQUEST_ID = b"x-sapphireledge-request-id"
TIME_LEFT = b"x-sapphireledge-deadline-ms"
"""Remaining time in milliseconds, not a point in time."""

LAST_EVENT = b"last-event-id"
RESUMES = b"resumes"
"""Request id of the caller's attempt that brought the first event of the stream."""

TOKEN_COUNTS = b"x-sapphireledge-token-count"
"""Prompt tokens and maximum number of generated tokens, separated by a comma."""

PREFIX_PARTS = b"x-sapphireledge-prefix-hash"
"""Parts of the prompt with their token counts; not a hash of a prefix."""

SIGNATURE = b"x-sapphireledge-server-seal"
NOT_EXECUTED = b"x-sapphireledge-not-executed"
EXPECTED_SERVER = b"x-sapphireledge-expect-instance"
"""Id of the expected backend server; `instance` does not mean an entry instance here."""

WORKSPACE = b"x-sapphireledge-tenant"
URGENCY = b"x-sapphireledge-urgency-class"
REPLICA_TARGET = b"x-sapphireledge-kv-backup"
"""Address of the standby server to which a generation is replicated."""

REPLICA_SOURCE = b"kv-from"
"""Address of a server that holds a replica, a slash and the request id."""

RATE_LIMIT = b"server-limit"
"""Requests per second that the server takes from all instances together."""

REJECTION_LIMIT = b"server-brittle"
"""Rejections per second, for want of room, above which the server crashes."""

LEAVING = b"server-leaving"
"""Set to 1 by a server that shuts down."""

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
        REPLICA_TARGET,
        REPLICA_SOURCE,
        RESERVATION,
        PIN,
        FETCH_SOURCE,
        EXPECTED_VERSION,
        b"authorization",
    }
)
"""Headers that are never forwarded as the caller sent them."""

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
"""Hop-by-hop headers, and the content length, which is set again for each connection."""
