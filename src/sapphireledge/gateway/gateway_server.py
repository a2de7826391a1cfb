"""Listeners and the planned stop of one gateway process."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from sapphireledge.gateway.gateway_event import GatewayEvent
from sapphireledge.gateway.text_endpoint import TextEndpoint

if TYPE_CHECKING:
    from sapphireledge.gateway.gateway import Gateway
    from sapphireledge.gateway.gateway_metrics import GatewayMetrics

__all__ = ["GatewayServer"]

BACKLOG = 512
"""Connections that wait to be accepted; a full queue delays a caller by seconds."""

STOP_POLL_PERIOD = 0.05
"""Seconds between two looks at what is still in flight during a planned stop."""

STOP_MARGIN = 0.25
"""Seconds before the end of the stop limit at which the process ends in any case."""


class GatewayServer:
    """Listens for callers, readiness and metrics until it is told to stop."""

    def __init__(self, gateway: Gateway, metrics: GatewayMetrics) -> None:
        self._gateway = gateway
        self._metrics = metrics
        self._stop = asyncio.Event()
        self._log = structlog.get_logger()

    def request_stop(self) -> None:
        """Asks for a planned stop; repeated calls have no further effect."""
        if not self._stop.is_set():
            self._gateway.begin_stop()
            self._log.info(GatewayEvent.STOPPING, in_flight=self._gateway.in_flight)
            self._stop.set()

    async def run(self) -> None:
        """Serves until a planned stop is complete."""
        cfg = self._gateway.cfg
        loop = asyncio.get_running_loop()
        ready = TextEndpoint(lambda: (200 if self._gateway.is_ready else 503, b""))
        metrics = TextEndpoint(lambda: (200, self._metrics.render()))
        callers = await loop.create_server(
            self._gateway.create_protocol, cfg.listen_host, cfg.listen_port, backlog=BACKLOG
        )
        endpoints = [
            await asyncio.start_server(ready.serve, cfg.ready_host, cfg.ready_port),
            await asyncio.start_server(metrics.serve, cfg.listen_host, cfg.metrics_port),
        ]
        self._log.info(GatewayEvent.STARTED, instance=cfg.instance, port=cfg.listen_port)
        await self._stop.wait()
        await self._drain(loop.time())
        self._log.info(GatewayEvent.STOPPED, in_flight=self._gateway.in_flight)
        for server in (callers, *endpoints):
            server.close()

    async def _drain(self, started: float) -> None:
        """Waits until the balancer has left and every answer is complete."""
        cfg = self._gateway.cfg
        loop = asyncio.get_running_loop()
        deadline = started + cfg.stop_limit - STOP_MARGIN
        drain_end = min(deadline, started + cfg.drain_time)
        while loop.time() < deadline:
            if loop.time() >= drain_end:
                self._gateway.close_idle()
                if not self._gateway.in_flight:
                    return
            await asyncio.sleep(STOP_POLL_PERIOD)
