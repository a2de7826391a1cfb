"""Permission to run one attempt on one backend server."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge.backends import EngineClient
    from sapphireledge.core.admission import RankScheduler
    from sapphireledge.core.routing import RouteChoice

__all__ = ["Grant"]


class Grant:
    """Permission to run one attempt on one backend server; must be released when it ends."""

    def __init__(
        self,
        work_id: str,
        choice: RouteChoice,
        version: str,
        priority: int,
        client: EngineClient,
        scheduler: RankScheduler,
        on_release: Callable[[Grant, float], None],
    ) -> None:
        """Creates the grant of an attempt.

        Args:
            work_id: Identifier of the attempt in the queue.
            choice: The chosen backend server.
            version: Model version for the attempt.
            priority: Priority at the engine, 0 is the most urgent.
            client: Client of the engine.
            scheduler: Scheduler that admitted the attempt.
            on_release: Called once with this grant and the monotonic time of its release.
        """
        self.work_id = work_id
        """Identifier of the attempt in the queue."""
        self.backend = choice.backend
        """Name of the backend server."""
        self.boot_id = choice.boot_id
        """Boot id of its engine, empty if unknown."""
        self.version = version
        """Model version for the attempt."""
        self.priority = priority
        """Priority at the engine, 0 is the most urgent."""
        self.client = client
        """Client of the engine."""
        self._choice = choice
        self._scheduler = scheduler
        self._on_release = on_release
        self._pending_tokens = 0
        self._released = False

    def describe(self) -> dict[str, Any]:
        """Describes the routing choice for the event log.

        Returns:
            Backend server, model version, score and expected cached tokens.
        """
        return {
            "backend": self.backend,
            "version": self.version,
            "score": round(self._choice.score, 1),
            "cached_tokens": round(self._choice.cached_tokens, 1),
        }

    def on_started(self, now: float) -> None:
        """Reports to the scheduler that the engine accepted the attempt.

        Args:
            now: Monotonic time in seconds.
        """
        self._scheduler.on_started(now, self.work_id)

    def charge_tokens(self, now: float, tokens: int) -> None:
        """Charges generated tokens to the workspace, in batches of `CHARGE_BATCH`.

        Args:
            now: Monotonic time in seconds.
            tokens: Tokens generated.
        """
        self._pending_tokens += tokens
        if self._pending_tokens >= CHARGE_BATCH:
            self._charge_pending(now)

    def release(self, now: float) -> None:
        """Releases the grant; idempotent.

        Args:
            now: Monotonic time in seconds.
        """
        if self._released:
            return
        self._released = True
        self._charge_pending(now)
        self._scheduler.on_ended(now, self.work_id)
        self._on_release(self, now)

    def _charge_pending(self, now: float) -> None:
        """Charges the tokens that are not charged yet."""
        if self._pending_tokens:
            self._scheduler.on_consumed(now, self.work_id, self._pending_tokens)
            self._pending_tokens = 0


CHARGE_BATCH = 16
"""Tokens charged per scheduler call, which amortises the cost of the call."""
