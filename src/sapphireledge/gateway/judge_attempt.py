"""What the end of an attempt says about the version of its server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.core.quarantine import ClearVerdict
from sapphireledge.core.rollout import AnswerQuality
from sapphireledge.gateway.outcome import OutcomeKind
from sapphireledge.gateway.replay_rule import ReplayRule

if TYPE_CHECKING:
    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.attempt_progress import AttemptProgress
    from sapphireledge.gateway.crash_guard import CrashGuard
    from sapphireledge.gateway.outcome import Outcome

__all__ = ["compare_seconds", "is_first_run", "judge_attempt"]

FIRST_ERROR_STATUS = 400
"""Lowest status of an answer that counts as a failure; rejected requests meet both versions."""

COMPARED_EVENTS = 50
"""Events of a stream whose generation is compared, so that a slow start and slow events count
about the same whatever the length of the stream."""


def judge_attempt(
    crashes: CrashGuard,
    admitted: AdmittedRequest,
    outcome: Outcome | None,
    attempt: AttemptProgress,
    seconds: float,
) -> AnswerQuality:
    """Determines what the end of an attempt says about the version of its server.

    Args:
        crashes: Attributes crashes of servers to requests.
        admitted: The request.
        outcome: Outcome of the attempt, None if it was cancelled.
        attempt: Its progress.
        seconds: Seconds that it took.

    Returns:
        The quality of the answer.
    """
    if outcome is None or outcome.kind is OutcomeKind.OUT_OF_TIME:
        # Callers leave servers that are several times too slow before these answer.
        is_overdue = attempt.is_sent and not attempt.events and seconds >= admitted.route.target
        return AnswerQuality.FAILED if is_overdue else AnswerQuality.UNKNOWN
    if outcome.is_moved or outcome.kind is OutcomeKind.NOT_EXECUTED:
        return AnswerQuality.UNKNOWN
    if outcome.kind is OutcomeKind.LOST:
        is_clear = isinstance(crashes.judge(admitted), ClearVerdict)
        return AnswerQuality.FAILED if is_clear else AnswerQuality.UNKNOWN
    is_error = outcome.head is not None and outcome.head.status >= FIRST_ERROR_STATUS
    return AnswerQuality.FAILED if is_error else AnswerQuality.GOOD


def compare_seconds(
    admitted: AdmittedRequest, attempt: AttemptProgress, number: int, now: float
) -> float | None:
    """Computes the time of a complete answer that is compared between versions.

    Args:
        admitted: The request.
        attempt: Progress of the attempt that was answered.
        number: Number of the attempt, from 1.
        now: Event loop time in seconds.

    Returns:
        Seconds, None if they cannot be compared: a resumed stream begins in its middle.
    """
    if attempt.sent_at is None:
        return None
    if admitted.route.replay is not ReplayRule.EVENT_STREAM:
        return now - attempt.sent_at
    if not is_first_run(admitted, number) or attempt.first_event_at is None:
        return None
    assert attempt.last_event_at is not None
    pause = (attempt.last_event_at - attempt.first_event_at) / max(1, attempt.events - 1)
    return attempt.first_event_at - attempt.sent_at + COMPARED_EVENTS * pause


def is_first_run(admitted: AdmittedRequest, number: int) -> bool:
    """Whether a stream begins with its first event, so that its times can be compared.

    Args:
        admitted: The request.
        number: Number of the attempt, from 1.

    Returns:
        Whether it does.
    """
    return number == 1 and admitted.request.last_event is None
