"""Lifecycle of an entry instance."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, ClassVar

import structlog
from transitions import Machine

from sapphireledge.errors import ErrorKind, Failure
from sapphireledge.telemetry import LogEvent

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge.settings import Settings

__all__ = ["Lifecycle"]


class Lifecycle:
    """Lifecycle states of the process: starting, ready, draining, stopped.

    A drain first only turns the readiness check off. New work is refused after `balancer_delay`,
    by which time the platform's load balancer sends no more.
    """

    STATES: ClassVar[list[str]] = ["starting", "ready", "draining", "stopped"]
    """All states, in order."""

    state: str
    """Current state, set by `transitions`."""

    def __init__(self, cfg: Settings) -> None:
        """Creates the lifecycle in state starting.

        Args:
            cfg: Settings of the instance.
        """
        self._cfg = cfg.lifecycle
        self._log = structlog.get_logger()
        self._refusing = False
        self.is_cut_off: Callable[[], bool] = lambda: False
        """Whether the instance reaches no engine, while others may."""

        self.drain_requested = asyncio.Event()
        """Set once a graceful shutdown is requested."""
        self._machine = Machine(
            self, states=self.STATES, initial="starting", auto_transitions=False
        )
        self._machine.add_transition("_to_ready", "starting", "ready")
        self._machine.add_transition("_to_draining", ["starting", "ready"], "draining")
        self._machine.add_transition("_to_stopped", "draining", "stopped")

    @property
    def is_available(self) -> bool:
        """Whether the load balancer should send new requests."""
        return self.state == "ready" and not self.is_cut_off()

    @property
    def refuses_new_work(self) -> bool:
        """Whether new work is refused because the instance is shutting down."""
        return self._refusing

    def refuse_new_work(self) -> Failure | None:
        """Refuses new work before the instance is configured and while it drains.

        Returns:
            The refusal, or None.
        """
        if self.refuses_new_work:
            reason = "the instance is shutting down"
            return Failure(ErrorKind.SHUTTING_DOWN, reason, retry_after=1.0)
        if self.state == "starting":
            reason = "the instance has no configuration yet"
            return Failure(ErrorKind.NOT_CONFIGURED, reason, retry_after=1.0)
        return None

    def mark_ready(self) -> None:
        """Marks the instance as ready, unless a shutdown has begun."""
        if self.state == "starting":
            self._to_ready()
            self._log.info(LogEvent.INSTANCE_READY)

    def request_drain(self) -> None:
        """Requests a graceful shutdown; idempotent."""
        if self.state in ("starting", "ready"):
            self._to_draining()
            self._log.info(LogEvent.INSTANCE_DRAINING)
            self.drain_requested.set()

    async def refuse_after_balancer_delay(self) -> None:
        """Waits until the load balancer has seen that readiness is off, then refuses new work."""
        await asyncio.sleep(self._cfg.balancer_delay)
        self._refusing = True

    def mark_stopped(self) -> None:
        """Marks the instance as stopped."""
        self._to_stopped()
        self._log.info(LogEvent.INSTANCE_STOPPED)
