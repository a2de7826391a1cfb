"""Answers by error kind."""

from __future__ import annotations

from types import MappingProxyType
from typing import TYPE_CHECKING

from sapphireledge.errors.error_answer import ErrorAnswer
from sapphireledge.errors.error_kind import ErrorKind

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["ERROR_ANSWERS"]

ERROR_ANSWERS: Mapping[ErrorKind, ErrorAnswer] = MappingProxyType(
    {
        ErrorKind.INVALID_REQUEST: ErrorAnswer(400, 2, False),
        ErrorKind.UNAUTHENTICATED: ErrorAnswer(401, 3, False),
        ErrorKind.FORBIDDEN: ErrorAnswer(403, 4, False),
        ErrorKind.UNKNOWN_MODEL: ErrorAnswer(404, 5, False),
        ErrorKind.UNKNOWN_WORKSPACE: ErrorAnswer(403, 6, False),
        ErrorKind.TOO_LARGE: ErrorAnswer(413, 7, False),
        ErrorKind.WOULD_BE_LATE: ErrorAnswer(429, 8, True),
        ErrorKind.OVERLOADED: ErrorAnswer(503, 9, True),
        ErrorKind.NOT_CONFIGURED: ErrorAnswer(503, 10, True),
        ErrorKind.NO_BACKEND: ErrorAnswer(503, 11, True),
        ErrorKind.VERSION_GONE: ErrorAnswer(502, 12, False),
        ErrorKind.PLATFORM_UNAVAILABLE: ErrorAnswer(503, 13, True),
        ErrorKind.REQUEST_CONDEMNED: ErrorAnswer(422, 14, False),
        ErrorKind.IDEMPOTENCY_KEY_EXPIRED: ErrorAnswer(409, 15, False),
        ErrorKind.OUTCOME_UNKNOWN: ErrorAnswer(502, 16, False),
        ErrorKind.ANSWER_LOST: ErrorAnswer(410, 17, False),
        ErrorKind.ANSWER_DIVERGED: ErrorAnswer(409, 18, False),
        ErrorKind.ANSWER_MOVED: ErrorAnswer(503, 19, True),
        ErrorKind.DEADLINE_EXCEEDED: ErrorAnswer(504, 20, False),
        ErrorKind.SHUTTING_DOWN: ErrorAnswer(503, 21, True),
        ErrorKind.CONFLICT: ErrorAnswer(409, 22, False),
        ErrorKind.NOT_FOUND: ErrorAnswer(404, 23, False),
        ErrorKind.SERVICE_FAILED: ErrorAnswer(502, 24, False),
        ErrorKind.INTERNAL: ErrorAnswer(500, 25, False),
    }
)
"""Answer to each error kind; every kind has exactly one entry."""
