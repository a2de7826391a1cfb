"""Form of an answer's end in the messages between instances."""

from __future__ import annotations

from sapphireledge.entry.running_answer import AnswerEnd
from sapphireledge.errors import ErrorKind, Failure, Ran

__all__ = ["decode_finish", "encode_finish"]

REFUSED = "refused:"
"""Marks a finish that is a refusal; engines do not use it as a reason."""


def encode_finish(end: AnswerEnd) -> str:
    """Formats the end of an answer.

    Args:
        end: How the answer ended.

    Returns:
        The finish reason, or the refusal with its kind, what ran and the reason.
    """
    if end.failure is None:
        return end.finish
    failure = end.failure
    return f"{REFUSED}{failure.kind}:{failure.ran}:{failure.reason}"


def decode_finish(finish: str) -> AnswerEnd:
    """Reads the end of an answer.

    Args:
        finish: Result of `encode_finish`, not empty.

    Returns:
        How the answer ended.
    """
    if not finish.startswith(REFUSED):
        return AnswerEnd(finish=finish)
    kind, ran, reason = finish.removeprefix(REFUSED).split(":", 2)
    return AnswerEnd(failure=Failure(ErrorKind(kind), reason, Ran(ran)))
