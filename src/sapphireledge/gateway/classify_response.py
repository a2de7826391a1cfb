"""Classification of complete responses from backend servers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.gateway.outcome import MISDIRECTED, Outcome, OutcomeKind

if TYPE_CHECKING:
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.response_head import ResponseHead

__all__ = ["classify_response"]

NOT_EXECUTED_STATUSES = frozenset({408, MISDIRECTED, 429, 503})
"""Statuses that promise a caller that its request has not run and never will."""


def classify_response(server: BackendServer, head: ResponseHead, body: bytes) -> Outcome:
    """Determines from a response whether the request was executed and succeeded.

    Args:
        server: Backend server that responded.
        head: Head of the response.
        body: Complete body.

    Returns:
        The outcome of the attempt.
    """
    if head.not_executed or (head.status == MISDIRECTED and not head.signed):
        return Outcome(
            OutcomeKind.NOT_EXECUTED, server, f"rejected with status {head.status}", head
        )
    if head.encoded:
        return Outcome(OutcomeKind.LOST, server, "the response has an unexpected content encoding")
    if not head.signed:
        return Outcome(OutcomeKind.LOST, server, f"unsigned response with status {head.status}")
    if head.status in NOT_EXECUTED_STATUSES:
        reason = f"status {head.status} without the statement that the request was not executed"
        return Outcome(OutcomeKind.LOST, server, reason)
    if head.request_id is None and head.status < 300:
        return Outcome(OutcomeKind.LOST, server, "the response has no request id")
    kind = OutcomeKind.ANSWERED if head.status < 500 else OutcomeKind.FAILED
    return Outcome(kind, server, f"status {head.status}", head, body)
