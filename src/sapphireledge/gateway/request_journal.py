"""Log lines and metrics of requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from sapphireledge.gateway.gateway_event import GatewayEvent
from sapphireledge.gateway.outcome import OutcomeKind

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from sapphireledge.errors import Failure
    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.caller_request import CallerRequest
    from sapphireledge.gateway.engine_selection import EngineSelection
    from sapphireledge.gateway.gateway_metrics import GatewayMetrics
    from sapphireledge.gateway.outcome import Outcome
    from sapphireledge.gateway.routing_table import RoutingTable

__all__ = ["RequestJournal"]


class RequestJournal:
    """Writes one line for each decision that touches a request."""

    def __init__(self, metrics: GatewayMetrics) -> None:
        self._metrics = metrics
        self._log = structlog.get_logger()

    def record_admission(self, admitted: AdmittedRequest, config_age: float) -> None:
        """Notes that a request passed the checks.

        Args:
            work: The request.
            config_age: Age of the confirmed configuration in seconds.
        """
        self._log.info(
            GatewayEvent.ADMITTED,
            request_id=admitted.request.request_id,
            route=admitted.route.name,
            service=admitted.service.name,
            workspace=admitted.workspace,
            rank=admitted.rank,
            config_version=admitted.version,
            config_age_s=round(config_age, 3),
            last_event=admitted.request.last_event,
        )

    def record_refusal(
        self,
        request: CallerRequest,
        failure: Failure,
        started: float,
        table: RoutingTable | None,
        config_age: float,
    ) -> None:
        """Notes an answer of the system's own.

        Args:
            request: The request.
            failure: Cause.
            started: Time in seconds at which the request was read.
            table: Routing table in force.
            config_age: Age of the confirmed configuration in seconds.
        """
        elapsed = asyncio.get_running_loop().time() - started
        self._metrics.answers.labels("refused", failure.kind.value).inc()
        self._log.info(
            GatewayEvent.REFUSED,
            request_id=request.request_id,
            kind=failure.kind,
            status=failure.answer.http_status,
            ran=failure.ran,
            reason=failure.reason,
            retry_after_s=failure.retry_after,
            held_s=round(elapsed, 3),
            config_version=None if table is None else table.version,
            config_age_s=round(config_age, 3) if config_age < float("inf") else None,
        )

    def record_response(self, admitted: AdmittedRequest, started: float, *, complete: bool) -> None:
        """Notes the end of an answer of a backend server.

        Args:
            work: The request.
            started: Time in seconds at which the request was read.
            complete: Whether the caller has the whole answer.
        """
        elapsed = asyncio.get_running_loop().time() - started
        outcome = "complete" if complete else "broken_off"
        self._metrics.answers.labels("answered", outcome).inc()
        self._metrics.answer_time.labels(admitted.route.replay.value).observe(elapsed)
        self._log.info(
            GatewayEvent.ANSWERED,
            request_id=admitted.request.request_id,
            outcome=outcome,
            held_s=round(elapsed, 3),
        )

    def record_cancellation(
        self, admitted: AdmittedRequest, started: float, *, by_caller: bool
    ) -> None:
        """Notes that a request ended before its answer was complete.

        Args:
            work: The request.
            started: Time in seconds at which the request was read.
            by_caller: Whether the caller closed its connection; otherwise the process ends.
        """
        elapsed = asyncio.get_running_loop().time() - started
        event = GatewayEvent.CALLER_LEFT if by_caller else GatewayEvent.CUT_BY_STOP
        self._metrics.answers.labels("cut_off", event.value).inc()
        self._log.info(
            event,
            request_id=admitted.request.request_id,
            held_s=round(elapsed, 3),
        )

    def record_attempt(
        self, admitted: AdmittedRequest, outcome: Outcome, number: int, started: float
    ) -> None:
        """Notes the outcome of one send.

        Args:
            work: The request.
            outcome: Outcome.
            number: Number of the send, from 1.
            started: Time in seconds at which it began.
        """
        now = asyncio.get_running_loop().time()
        self._metrics.attempts.labels(outcome.kind.value).inc()
        write = self._log.debug if outcome.kind is OutcomeKind.ANSWERED else self._log.info
        write(
            GatewayEvent.ATTEMPT_ENDED,
            request_id=admitted.request.request_id,
            attempt=number,
            outcome=outcome.kind,
            server=outcome.server.server_id,
            data_centre=outcome.server.data_centre,
            reason=outcome.reason,
            took_s=round(now - started, 3),
            left_s=round(admitted.deadline - now, 3),
        )

    def record_internal_error(self, request: CallerRequest, exc: Exception) -> None:
        """Notes a fault of the system itself.

        Args:
            request: The request.
            exc: What was raised.
        """
        self._metrics.answers.labels("broken_off", "internal").inc()
        self._log.error(GatewayEvent.INTERNAL_ERROR, request_id=request.request_id, exc_info=exc)

    def record_resume(
        self, admitted: AdmittedRequest, selection: EngineSelection, last_event: int | None
    ) -> None:
        """Notes that a stream goes on at another engine.

        Args:
            work: The request.
            plan: Engines of the next attempt.
            last_event: Number of the last delivered event, or None.
        """
        from_copy = selection.copy_source is not None
        self._metrics.resumes.labels("copy" if from_copy else "prompt").inc()
        self._log.info(
            GatewayEvent.STREAM_RESUMED,
            request_id=admitted.request.request_id,
            server=selection.server.server_id,
            last_event=last_event,
            from_copy=from_copy,
        )

    def record_engine_selection(
        self, admitted: AdmittedRequest, costs: Mapping[str, float], asked: int
    ) -> None:
        """Notes the inputs of a choice among engines.

        Args:
            work: The request.
            costs: Cost of each engine that reported, in prompts.
            asked: Engines that were asked.
        """
        self._log.info(
            GatewayEvent.ENGINE_CHOSEN,
            request_id=admitted.request.request_id,
            costs={name: round(cost, 2) for name, cost in costs.items()},
            silent=asked - len(costs),
        )

    def record_prompt_holders(
        self, admitted: AdmittedRequest, holders: Collection[str], asked: int
    ) -> None:
        """Notes which engines keep the prompt of a stream that its caller continues.

        Args:
            work: The request.
            holders: Engines that keep it.
            asked: Engines that were asked.
        """
        self._log.info(
            GatewayEvent.HOLDERS_FOUND,
            request_id=admitted.request.request_id,
            holders=sorted(holders),
            asked=asked,
        )

    def record_denied_retry(self, admitted: AdmittedRequest, reason: str) -> None:
        """Notes that the retry budget is spent.

        Args:
            work: The request.
            reason: Why a retry was wanted.
        """
        self._log.info(
            GatewayEvent.RETRY_DENIED,
            request_id=admitted.request.request_id,
            service=admitted.service.name,
            reason=reason,
        )
