"""Meaning of a complete answer of a backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.gateway.outcome import MISDIRECTED, Outcome, OutcomeKind

if TYPE_CHECKING:
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.reply_head import ReplyHead

__all__ = ["classify_response"]


def classify_response(server: BackendServer, head: ReplyHead, body: bytes) -> Outcome:
    """Decides what an answer says about the execution of the request.

    Args:
        server: Backend server that answered.
        head: Head of the answer.
        body: Whole body.

    Returns:
        The outcome.
    """
    if head.not_executed or (head.status == MISDIRECTED and not head.signed):
        return Outcome(OutcomeKind.NOT_EXECUTED, server, f"refused with status {head.status}", head)
    if head.encoded:
        return Outcome(OutcomeKind.LOST, server, "the body has a content encoding")
    if not head.signed:
        return Outcome(OutcomeKind.LOST, server, f"unsigned answer with status {head.status}")
    if head.request_id is None and head.status < 300:
        return Outcome(OutcomeKind.LOST, server, "the answer names no request")
    kind = OutcomeKind.ANSWERED if head.status < 500 else OutcomeKind.FAILED
    return Outcome(kind, server, f"status {head.status}", head, body)
