"""Descriptions of a stream for the placement rule and for the waiting line."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.core.placement import PendingStream
from sapphireledge.core.waiting import WaitingWork

if TYPE_CHECKING:
    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.gateway_context import GatewayContext
    from sapphireledge.gateway.stream_progress import StreamProgress

__all__ = ["describe_pending", "describe_work", "is_repeat"]


def describe_pending(
    context: GatewayContext, admitted: AdmittedRequest, progress: StreamProgress, now: float
) -> PendingStream:
    """Describes a stream to the placement rule.

    Args:
        context: Components of the instance.
        admitted: The request.
        progress: Progress of the stream so far.
        now: Event loop time in seconds.

    Returns:
        The stream.
    """
    estimator = context.first_event_estimator(admitted.service.name)
    target = admitted.route.target or admitted.route.time_limit
    last_progress = progress.last_event_at or admitted.request.received_at
    return PendingStream(
        prompt_tokens=admitted.request.prompt_tokens,
        output_tokens=admitted.request.output_tokens,
        rank_distance=max(0, admitted.rank - admitted.service.first_rank),
        # A prompt takes longer than the pauses allowed between events.
        due_at=now if progress.delivered else admitted.request.received_at + target,
        leaves_at=last_progress + admitted.route.event_patience,
        deadline=admitted.deadline,
        has_run=progress.may_have_executed,
        # Callers that resume a stream at this instance have received its first events, too.
        delivered=progress.delivered if progress.last_event is None else progress.last_event + 1,
        typical_tokens=estimator.typical_tokens,
    )


def describe_work(
    context: GatewayContext, admitted: AdmittedRequest, progress: StreamProgress, now: float
) -> WaitingWork:
    """Describes a stream to the waiting line.

    Args:
        context: Components of the instance.
        admitted: The request.
        progress: Progress of the stream so far.
        now: Event loop time in seconds.

    Returns:
        The stream as it waits now.
    """
    request = admitted.request
    stream = describe_pending(context, admitted, progress, now)
    first_event = context.first_event_estimator(admitted.service.name)
    generation = context.generation_estimator(admitted.service.name)
    return WaitingWork(
        rank=admitted.rank,
        due_at=stream.due_at,
        leaves_at=stream.leaves_at,
        deadline=stream.deadline,
        first_event_time=first_event.estimate(0.0),
        generation_time=generation.estimate(request.output_tokens),
        workspace=admitted.workspace,
        tokens=request.prompt_tokens + request.output_tokens,
        route_rank=admitted.route.rank,
        delivered=stream.delivered,
        has_run=stream.has_run,
    )


def is_repeat(admitted: AdmittedRequest, progress: StreamProgress) -> bool:
    """Checks whether an engine has been sent a stream before, here or at another instance.

    Args:
        admitted: The request.
        progress: Progress of the stream so far.

    Returns:
        Whether it has.
    """
    return bool(progress.contacted) or admitted.request.last_event is not None
