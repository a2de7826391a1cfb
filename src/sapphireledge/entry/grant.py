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
    """Permission to run one attempt on one backend server; must be released once."""

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
        """Holds the place of an attempt.

        Args:
            work_id: Name of the work in the queue.
            choice: The chosen backend server.
            version: Model version that it runs.
            priority: Priority at the engine, 0 is the most urgent.
            client: Client of the engine.
            scheduler: Scheduler that handed the work out.
            on_release: Called once with this grant and the time.
        """
        self.work_id = work_id
        """Name of the work in the queue."""
        self.backend = choice.backend
        """Name of the backend server."""
        self.boot_id = choice.boot_id
        """Boot id of its engine as far as known."""
        self.version = version
        """Model version that it runs."""
        self.priority = priority
        """Priority at the engine."""
        self.client = client
        """Client of the engine."""
        self._choice = choice
        self._scheduler = scheduler
        self._on_release = on_release
        self._pending_tokens = 0
        self._released = False

    def describe(self) -> dict[str, Any]:
        """Describes the choice for the request's events.

        Returns:
            Backend server, score and expected cached tokens.
        """
        return {
            "backend": self.backend,
            "version": self.version,
            "score": round(self._choice.score, 1),
            "cached_tokens": round(self._choice.cached_tokens, 1),
        }

    def on_started(self, now: float) -> None:
        """Notes that the engine accepted the attempt.

        Args:
            now: Monotonic time in seconds.
        """
        self._scheduler.on_started(now, self.work_id)

    def charge_tokens(self, now: float, tokens: int) -> None:
        """Counts generated tokens; they are charged in groups.

        Args:
            now: Monotonic time in seconds.
            tokens: Tokens generated.
        """
        self._pending_tokens += tokens
        if self._pending_tokens >= CHARGE_BATCH:
            self._charge_pending(now)

    def release(self, now: float) -> None:
        """Gives the place back; repeated calls have no effect.

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
        """Charges the tokens counted since the last time."""
        if self._pending_tokens:
            self._scheduler.on_consumed(now, self.work_id, self._pending_tokens)
            self._pending_tokens = 0


CHARGE_BATCH = 16
"""Tokens that are charged together, so that the scheduler's cost is spread over them."""
