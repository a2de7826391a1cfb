"""Listeners and graceful shutdown of a gateway process."""

from __future__ import annotations

import asyncio
import errno
from functools import partial
from typing import TYPE_CHECKING, Any

import structlog

from sapphireledge.gateway.gateway_event import GatewayEvent
from sapphireledge.gateway.text_endpoint import TextEndpoint
from sapphireledge.limits import CallerLedger, LimitReason, start_listener

if TYPE_CHECKING:
    from sapphireledge.gateway.gateway import Gateway
    from sapphireledge.gateway.gateway_metrics import GatewayMetrics

__all__ = ["GatewayServer"]

NO_DESCRIPTORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
"""Errors for which asyncio stops accepting connections for a second."""

STOP_POLL_INTERVAL = 0.05
"""Seconds between checks for requests in flight during a graceful shutdown."""

ANSWER_MARGIN = 0.5
"""Seconds before the stop limit at which requests without any response get one of the gateway."""

STOP_MARGIN = 0.25
"""Seconds before the stop limit at which the process exits even with requests in flight."""


class GatewayServer:
    """Serves callers, the readiness probe and metrics until a stop is requested."""

    def __init__(self, gateway: Gateway, metrics: GatewayMetrics) -> None:
        self._gateway = gateway
        self._metrics = metrics
        self._stop = asyncio.Event()
        self._log = structlog.get_logger()

    def request_stop(self) -> None:
        """Begins a graceful shutdown; further calls have no effect."""
        if not self._stop.is_set():
            self._gateway.begin_stop()
            self._log.info(GatewayEvent.STOPPING, in_flight=self._gateway.in_flight)
            self._stop.set()

    async def run(self) -> None:
        """Runs the listeners until a graceful shutdown is complete."""
        cfg = self._gateway.cfg
        loop = asyncio.get_running_loop()
        budgets = cfg.callers
        on_limited = self._gateway.telemetry.record_caller_limit
        ready = TextEndpoint(
            lambda: (200 if self._gateway.is_ready else 503, b""),
            CallerLedger(budgets.readiness, on_limited),
        )
        metrics = TextEndpoint(
            lambda: (200, self._metrics.render()), CallerLedger(budgets.metrics, on_limited)
        )
        loop.set_exception_handler(self._on_loop_error)
        start = partial(loop.create_server, self._gateway.create_protocol)
        callers = await start_listener(start, cfg.listen_host, cfg.listen_port)
        endpoints = [
            await ready.listen(cfg.ready_host, cfg.ready_port),
            await metrics.listen(cfg.listen_host, cfg.metrics_port),
        ]
        if cfg.peer_port is not None:
            start = partial(
                loop.create_server, partial(self._gateway.create_protocol, is_peer=True)
            )
            endpoints.append(await start_listener(start, cfg.listen_host, cfg.peer_port))
        self._log.info(GatewayEvent.STARTED, instance=cfg.instance, port=cfg.listen_port)
        await self._stop.wait()
        await self._drain(loop.time())
        self._log.info(GatewayEvent.STOPPED, in_flight=self._gateway.in_flight)
        for server in (callers, *endpoints):
            server.close()

    def _on_loop_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Counts pauses of listeners, which asyncio ends after a second, and logs other errors."""
        exc = context.get("exception")
        if isinstance(exc, OSError) and exc.errno in NO_DESCRIPTORS:
            self._gateway.telemetry.record_caller_limit(LimitReason.NO_DESCRIPTORS)
            return
        loop.default_exception_handler(context)

    async def _drain(self, started: float) -> None:
        """Waits for the drain time and then for every request, at most until the stop limit.

        A request of which only a part has arrived counts: the caller may not send it again. After
        the requests without a response are ended, at least one interval is left for their
        responses, even if the process was not scheduled until the time to exit.
        """
        cfg = self._gateway.cfg
        loop = asyncio.get_running_loop()
        answer_at = started + cfg.stop_limit - ANSWER_MARGIN
        exit_at = started + cfg.stop_limit - STOP_MARGIN
        drain_end = min(exit_at, started + cfg.drain_time)
        unanswered_ended = False
        while True:
            now = loop.time()
            if now >= drain_end:
                self._gateway.close_idle()
                if self._gateway.is_idle:
                    return
            if now >= answer_at and not unanswered_ended:
                self._gateway.end_unanswered()
                unanswered_ended = True
            elif now >= exit_at:
                return
            await asyncio.sleep(STOP_POLL_INTERVAL)
