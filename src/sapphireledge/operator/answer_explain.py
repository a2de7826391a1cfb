"""Answers a call of `explain`."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.core.explanation import Question
from sapphireledge.core.placement import PromptPart
from sapphireledge.errors import ErrorKind, Failure
from sapphireledge.operator.messages import (
    ExplainChance,
    ExplainCheck,
    ExplainResult,
    ExplainServer,
    ExplainTerm,
    ExplainWaiting,
)
from sapphireledge.operator.to_exception import to_exception

if TYPE_CHECKING:
    from typing import Any

    from sapphireledge.core.explanation import ExplainedServer, Explanation
    from sapphireledge.operator.explainer import Explainer

__all__ = ["answer_explain"]

MAX_TEXT = 2_048
"""Longest text of a question, in characters."""

MAX_PARTS = 64
"""Most parts of the prompt of a question."""

MAX_TOKENS = 10_000_000
"""Largest number of tokens in a question."""

MAX_DEADLINE = 86_400.0
"""Longest deadline in a question in seconds, one day."""

UNKNOWN = -1.0
"""Value of a number that is not known."""


async def answer_explain(explainer: Explainer, instance: str, request: Any) -> Any:
    """Answers where a request would go; raises `OperatorError` if it cannot be answered.

    Args:
        explainer: Explains requests of this instance.
        instance: Name of this instance.
        request: An ExplainRequest message.

    Returns:
        An ExplainResult message.
    """
    question = _parse_question(request)
    if isinstance(question, Failure):
        raise to_exception(question)
    explanation = await explainer.explain(question)
    if isinstance(explanation, Failure):
        raise to_exception(explanation)
    return _result_message(instance, explanation)


def _parse_question(request: Any) -> Question | Failure:
    """Validates the message."""
    if request is None:
        return Failure(ErrorKind.INVALID_REQUEST, "request: is required")
    texts = {
        name: getattr(request, name) or ""
        for name in ("host", "path", "method", "workspace", "rank", "model", "first_attempt")
    }
    # "service" is a reserved word in the schema.
    texts["service"] = request.service_name or ""
    parts = request.parts or []
    tokens = [request.prompt_tokens or 0, request.output_tokens or 0]
    tokens += [part.tokens or 0 for part in parts]
    deadline, last_event = request.deadline or 0.0, request.last_event or 0
    too_long = [name for name, text in texts.items() if len(text) > MAX_TEXT]
    if too_long:
        reason = f"{too_long[0]}: must have at most {MAX_TEXT} characters"
    elif len(parts) > MAX_PARTS or any(len(part.part_id or "") > MAX_TEXT for part in parts):
        reason = f"parts: must be at most {MAX_PARTS}, each id of at most {MAX_TEXT} characters"
    elif not all(0 <= count <= MAX_TOKENS for count in tokens):
        reason = f"tokens: must be from 0 to {MAX_TOKENS}"
    elif not 0.0 <= deadline <= MAX_DEADLINE:
        reason = f"deadline: must be from 0 to {MAX_DEADLINE:.0f} s"
    elif last_event < 0:
        reason = "last_event: must not be negative"
    else:
        return Question(
            **{**texts, "method": texts["method"] or "POST"},
            prompt_tokens=tokens[0],
            output_tokens=tokens[1],
            parts=tuple(PromptPart(part.part_id or "", part.tokens or 0) for part in parts),
            deadline=deadline or None,
            last_event=last_event if request.resumes else None,
            fresh=bool(request.fresh),
        )
    return Failure(ErrorKind.INVALID_REQUEST, reason)


def _result_message(instance: str, explanation: Explanation) -> Any:
    """Converts an explanation to its message."""
    failure = explanation.failure
    return ExplainResult(
        instance=instance,
        outcome=str(explanation.outcome),
        error_kind="" if failure is None else str(failure.kind),
        reason=explanation.reason,
        route=explanation.route,
        service_name=explanation.service,
        workspace=explanation.workspace,
        rank=explanation.rank,
        kind=explanation.kind,
        estimate=UNKNOWN if explanation.estimate is None else explanation.estimate,
        is_late=explanation.is_late,
        position=-1 if explanation.position is None else explanation.position,
        waiting=[ExplainWaiting(rank, count) for rank, count in explanation.waiting.items()],
        checks=[ExplainCheck(c.name, c.passed, c.detail) for c in explanation.checks],
        servers=[_server_message(server) for server in explanation.servers],
        chances=[ExplainChance(c.name, c.probability) for c in explanation.chances],
        unknown=list(explanation.unknown),
        shared_load=explanation.shared_load,
    )


def _server_message(server: ExplainedServer) -> Any:
    """Converts a server to its message."""
    return ExplainServer(
        name=server.name,
        data_centre=server.data_centre,
        version=server.version,
        role=str(server.role),
        reason=server.reason,
        report_age=UNKNOWN if server.report_age is None else server.report_age,
        terms=[ExplainTerm(name, value) for name, value in server.terms.items()],
        cost=UNKNOWN if server.cost is None else server.cost,
        chance=UNKNOWN if server.chance is None else server.chance,
    )
