"""Counts attempts for the orders that are running."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.gateway.loop_lag import LoopLag
from sapphireledge.gateway.rollout_attempt import RolloutAttempt
from sapphireledge.gateway.version_selection import VersionSelection

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge.core.rollout import AnswerQuality
    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.backend_registry import BackendRegistry
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.rollout_telemetry import RolloutTelemetry

__all__ = ["AttemptCounting"]


class AttemptCounting(VersionSelection):
    """Counts attempts for the orders that are running, beside the selection of their servers."""

    def __init__(
        self, registry: BackendRegistry, telemetry: RolloutTelemetry, *, is_used: bool
    ) -> None:
        """Creates a counting without an attempt.

        Args:
            registry: Known backend servers.
            telemetry: Log lines and metrics.
            is_used: Whether versions are rolled out at all.
        """
        super().__init__(registry)
        self._telemetry = telemetry
        self._is_used = is_used
        self._lag = LoopLag()

    def begin(
        self,
        admitted: AdmittedRequest,
        server: BackendServer,
        *,
        is_retry: bool,
        move: Callable[[], None] | None = None,
    ) -> RolloutAttempt | None:
        """Counts an attempt at a server, before its connection; `finish` follows.

        Args:
            admitted: The request.
            server: The server.
            is_retry: Whether the request was sent to a server before.
            move: Ends the attempt so that its stream begins at another version, None if it cannot.

        Returns:
            The attempt for `finish`, None if roll-outs are not used.
        """
        if not self._is_used:
            return None
        versions = self._versions(admitted.service.name)
        now = asyncio.get_running_loop().time()
        attempt = RolloutAttempt(admitted.route.name, server, now, move, is_retry)
        versions.attempts.add(attempt)
        if versions.rollout is not None:
            versions.rollout.on_sent(now, attempt.route, server.version, is_retry=is_retry)
        return attempt

    def on_first_event(self, attempt: RolloutAttempt, seconds: float) -> None:
        """Takes in the first event of a stream.

        Args:
            attempt: The attempt, as returned by `begin`.
            seconds: Seconds from sending to the event.
        """
        server = attempt.server
        versions = self._versions(server.service)
        if versions.rollout is None:
            return
        now = asyncio.get_running_loop().time()
        compared = self._compared(attempt, seconds)
        versions.rollout.on_first_event(
            now, attempt.route, server.version, compared, server=server.server_id
        )

    def finish(
        self,
        attempt: RolloutAttempt | None,
        quality: AnswerQuality,
        seconds: float | None,
        *,
        is_sent: bool = True,
    ) -> None:
        """Counts the end of an attempt.

        Args:
            attempt: The attempt, as returned by `begin`.
            quality: What the end says about the version.
            seconds: Time of a complete answer that is compared between versions.
            is_sent: Whether the request was sent; only then does it count as exposure.
        """
        if attempt is None:
            return
        server = attempt.server
        versions = self._versions(server.service)
        versions.attempts.discard(attempt)
        if versions.rollout is None:
            return
        if not is_sent:
            versions.rollout.on_withdrawn(attempt.route, server.version, is_retry=attempt.is_retry)
            return
        now = asyncio.get_running_loop().time()
        compared = self._compared(attempt, seconds)
        versions.rollout.on_result(
            now, attempt.route, server.version, quality, compared, server=server.server_id
        )
        self._telemetry.record_answer(server, quality)

    def _compared(self, attempt: RolloutAttempt, seconds: float | None) -> float | None:
        """Returns a time that is compared between versions, None if something else affects it."""
        if attempt.server.is_warming or self._lag.was_late(attempt.begun_at):
            return None
        return seconds
